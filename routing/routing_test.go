package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/routing"
)

var now = time.Unix(1000, 0)

const bound = time.Second

// place is one target with what its first member reports.
type place struct {
	*routing.Target
	cells []*presence.VMRecord
}

func (p *place) report(at time.Time, running int) {
	for _, c := range p.cells {
		c.Observe(at, &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Slots: 4, Running: running})
	}
}

func newPlace(name ident.Group, members int) *place {
	p := &place{Target: routing.NewTarget()}
	p.Group, p.Epoch, p.Model, p.Hall, p.Head = name, 7, "m", "h", string(name)
	for range members {
		c := &presence.VMRecord{}
		p.cells = append(p.cells, c)
		p.Members = append(p.Members, presence.Member{Cell: c, Incarnation: "i", Epoch: 7})
	}
	p.report(now, 0)
	return p
}

func newTable(seed uint64, places ...*place) *routing.Table {
	t := routing.NewTable("h", bound)
	t.Random = rand.New(rand.NewPCG(seed, 1)).IntN
	var targets []*routing.Target
	for _, p := range places {
		targets = append(targets, p.Target)
	}
	t.Replace(targets, []ident.Model{"m", "declared"})
	return t
}

func TestOnlyWholeGroupsWithRoomAreTaken(t *testing.T) {
	for _, c := range []struct {
		name   string
		model  ident.Model
		change func(p *place)
		want   routing.Outcome
	}{
		{"whole and idle", "m", func(*place) {}, routing.Chosen},
		{"no such model", "x", func(*place) {}, routing.UnknownModel},
		{"declared and without a group", "declared", func(*place) {}, routing.NotWhole},
		{"one member refused", "m", func(p *place) {
			p.cells[1].Observe(now.Add(1), &presence.Observation{Sight: presence.ProbeRefused})
		}, routing.NotWhole},
		{"one member silent for too long", "m", func(p *place) {
			*p.cells[1] = presence.VMRecord{}
			p.cells[1].Observe(now, &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Age: 1001})
		}, routing.NotWhole},
		{"one member started anew", "m", func(p *place) {
			p.cells[1].Observe(now.Add(1), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "j", Epoch: 7})
		}, routing.NotWhole},
		{"full by report", "m", func(p *place) { p.report(now.Add(1), 4) }, routing.Full},
		{"the head has just failed", "m", func(p *place) { p.FailHead(now.Add(1)) }, routing.NotWhole},
	} {
		p := newPlace("g", 2)
		table := newTable(1, p)
		c.change(p)
		target, got := table.Reserve(now.Add(2), &routing.Request{Model: c.model})
		if got != c.want || (target != nil) != (c.want == routing.Chosen) {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func TestOwnRequestsCountExactly(t *testing.T) {
	p := newPlace("g", 1)
	table := newTable(1, p)
	var taken []*routing.Target
	for {
		target, verdict := table.Reserve(now, &routing.Request{Model: "m"})
		if verdict != routing.Chosen {
			break
		}
		taken = append(taken, target)
	}
	if len(taken) != 4 {
		t.Errorf("%d requests taken, the target has 4 slots and reports none in use", len(taken))
	}
	table.Release(taken[0])
	if _, verdict := table.Reserve(now, &routing.Request{Model: "m"}); verdict != routing.Chosen {
		t.Errorf("after one ended: verdict %d", verdict)
	}
}

func TestTheFailedTargetIsAvoidedIfThereIsAnother(t *testing.T) {
	one, two := newPlace("one", 1), newPlace("two", 1)
	for _, c := range []struct {
		places []*place
		want   ident.Group
	}{{[]*place{one, two}, "two"}, {[]*place{one}, "one"}} {
		table := newTable(3, c.places...)
		for range 4 {
			target, verdict := table.Reserve(now, &routing.Request{Model: "m", Avoid: one.Target})
			if verdict != routing.Chosen || target.Group != c.want {
				t.Fatalf("%d targets: verdict %d", len(c.places), verdict)
			}
			table.Release(target)
		}
	}
}

// Twenty entry VMs see the same lagged report that calls one group idle; they must not all send there.
func TestEntriesDoNotHerd(t *testing.T) {
	counts := map[ident.Group]int{}
	const entries, groups = 200, 10
	for seed := range uint64(entries) {
		var places []*place
		for i := range groups {
			p := newPlace(ident.Group(fmt.Sprint("g", i)), 1)
			p.report(now.Add(1), 2)
			places = append(places, p)
		}
		places[0].report(now.Add(2), 0)
		target, _ := newTable(seed, places...).Reserve(now.Add(3), &routing.Request{Model: "m"})
		counts[target.Group]++
	}
	if n := counts["g0"]; n > entries/3 || n < entries/groups {
		t.Errorf("%d of %d entries chose the group that seems idle: %v", n, entries, counts)
	}
}

func TestPrefixes(t *testing.T) {
	long := strings.Repeat("x", 5000)
	a, b := routing.Prefixes([]byte(long+"a")), routing.Prefixes([]byte(long[:1500]+strings.Repeat("y", 3500)))
	if diff := cmp.Diff(a[:3], b[:3]); diff != "" {
		t.Errorf("the same 1024 bytes hash differently:\n%s", diff)
	}
	if len(a) != 5 || a[3] == b[3] {
		t.Errorf("%d and %d hashes, the fourth is %x and %x", len(a), len(b), a[3], b[3])
	}
	if got := routing.Prefixes([]byte("short")); got != nil {
		t.Errorf("a short prompt has prefixes %v", got)
	}
}

func TestPromptsReturnToWhereTheirPrefixIs(t *testing.T) {
	prompt := []byte(strings.Repeat("forecast ", 1000))
	ask := func() *routing.Request {
		return &routing.Request{Model: "m", Prefixes: routing.Prefixes(prompt), PromptTokens: 100_000}
	}
	for _, c := range []struct {
		name   string
		change func(table *routing.Table, first *routing.Target, places []*place)
		same   bool
	}{
		{"nothing happened", func(*routing.Table, *routing.Target, []*place) {}, true},
		{"the engine dropped the blocks", func(table *routing.Table, first *routing.Target, _ []*place) {
			for _, p := range routing.Prefixes(prompt) {
				table.Record.Removed(first, p)
			}
		}, false},
		{"another engine dropped the blocks", func(table *routing.Table, first *routing.Target, places []*place) {
			for _, p := range places {
				if p.Target != first {
					table.Record.Removed(p.Target, routing.Prefixes(prompt)[3])
				}
			}
		}, true},
		{"events were missed", func(table *routing.Table, first *routing.Target, _ []*place) { table.Record.Invalidate(first) }, false},
		{"it is full", func(_ *routing.Table, first *routing.Target, places []*place) {
			for _, p := range places {
				if p.Target == first {
					p.report(now.Add(1), 4)
				}
			}
		}, false},
	} {
		same := 0
		const tries = 40
		for seed := range uint64(tries) {
			var places []*place
			for i := range 20 {
				places = append(places, newPlace(ident.Group(fmt.Sprint("g", i)), 1))
			}
			table := newTable(seed, places...)
			first, _ := table.Reserve(now, ask())
			table.Release(first)
			c.change(table, first, places)
			again, _ := table.Reserve(now.Add(2), ask())
			if again == first {
				same++
			}
		}
		if c.same && same != tries || !c.same && same > tries/3 {
			t.Errorf("%s: %d of %d prompts went to the same group", c.name, same, tries)
		}
	}
}

// A slow group gets fewer requests, but not none, so that its recovery shows.
func TestASlowGroupIsTriedAgain(t *testing.T) {
	slow, fast := newPlace("slow", 1), newPlace("fast", 1)
	table := newTable(5, slow, fast)
	for range 20 {
		slow.RecordPace(now, 6)
	}
	share := func(at time.Time) int {
		slow.report(at, 0)
		fast.report(at, 0)
		n := 0
		for range 200 {
			target, _ := table.Reserve(at, &routing.Request{Model: "m"})
			if target == slow.Target {
				n++
			}
			table.Release(target)
		}
		return n
	}
	if n := share(now.Add(time.Second)); n < 20 || n > 80 {
		t.Errorf("the slow group got %d of 200", n)
	}
	if n := share(now.Add(5 * time.Minute)); n < 60 {
		t.Errorf("after five minutes without a measurement it got %d of 200", n)
	}
}

func TestAdaptersAndHalls(t *testing.T) {
	with, without, far := newPlace("with", 1), newPlace("without", 1), newPlace("far", 1)
	with.Adapters = []string{"alps"}
	far.Hall = "elsewhere"
	count := func(ask *routing.Request, places ...*place) map[ident.Group]int {
		table := newTable(7, places...)
		got := map[ident.Group]int{}
		for range 100 {
			target, _ := table.Reserve(now, ask)
			got[target.Group]++
			table.Release(target)
		}
		return got
	}
	if got := count(&routing.Request{Model: "m", Adapter: "alps"}, with, without); got["with"] < 65 {
		t.Errorf("the group with the adapter got %v", got)
	}
	if got := count(&routing.Request{Model: "m"}, without, far); got["without"] < 65 {
		t.Errorf("the group of the own hall got %v", got)
	}
}
