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

// testTarget is a target with the records of its members.
type testTarget struct {
	*routing.Target
	records []*presence.VMRecord
}

func (p *testTarget) report(at time.Time, running int) {
	for _, c := range p.records {
		c.Observe(at, &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Slots: 4, Running: running})
	}
}

func newTestTarget(name ident.Group, members int) *testTarget {
	p := &testTarget{Target: routing.NewTarget()}
	p.Group, p.Epoch, p.Model, p.Hall, p.Head = name, 7, "m", "h", string(name)
	for range members {
		c := &presence.VMRecord{}
		p.records = append(p.records, c)
		p.Members = append(p.Members, presence.Member{Cell: c, Incarnation: "i", Epoch: 7})
	}
	p.report(now, 0)
	return p
}

func newTable(seed uint64, testTargets ...*testTarget) *routing.Table {
	t := routing.NewTable("h", bound)
	t.Random = rand.New(rand.NewPCG(seed, 1)).IntN
	var targets []*routing.Target
	for _, p := range testTargets {
		targets = append(targets, p.Target)
	}
	t.Replace(targets, []ident.Model{"m", "declared"})
	return t
}

func TestOnlyCompleteGroupsWithCapacityAreChosen(t *testing.T) {
	for _, c := range []struct {
		name   string
		model  ident.Model
		change func(p *testTarget)
		want   routing.Outcome
	}{
		{"complete and idle", "m", func(*testTarget) {}, routing.Chosen},
		{"unknown model", "x", func(*testTarget) {}, routing.UnknownModel},
		{"declared model without a group", "declared", func(*testTarget) {}, routing.NotWhole},
		{"one member refused a probe", "m", func(p *testTarget) {
			p.records[1].Observe(now.Add(1), &presence.Observation{Sight: presence.ProbeRefused})
		}, routing.NotWhole},
		{"one member not observed for too long", "m", func(p *testTarget) {
			*p.records[1] = presence.VMRecord{}
			p.records[1].Observe(now, &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Age: 1001})
		}, routing.NotWhole},
		{"one member restarted", "m", func(p *testTarget) {
			p.records[1].Observe(now.Add(1), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "j", Epoch: 7})
		}, routing.NotWhole},
		{"full by report", "m", func(p *testTarget) { p.report(now.Add(1), 4) }, routing.Full},
		{"the head has just failed", "m", func(p *testTarget) { p.FailHead(now.Add(1)) }, routing.NotWhole},
	} {
		p := newTestTarget("g", 2)
		table := newTable(1, p)
		c.change(p)
		target, got := table.Reserve(now.Add(2), &routing.Request{Model: c.model})
		if got != c.want || (target != nil) != (c.want == routing.Chosen) {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
}

func TestOwnRequestsCountExactly(t *testing.T) {
	p := newTestTarget("g", 1)
	table := newTable(1, p)
	var reserved []*routing.Target
	for {
		target, outcome := table.Reserve(now, &routing.Request{Model: "m"})
		if outcome != routing.Chosen {
			break
		}
		reserved = append(reserved, target)
	}
	if len(reserved) != 4 {
		t.Errorf("%d requests reserved, want 4: the target has 4 slots and reports none in use", len(reserved))
	}
	table.Release(reserved[0])
	if _, outcome := table.Reserve(now, &routing.Request{Model: "m"}); outcome != routing.Chosen {
		t.Errorf("after one request ended: outcome %d, want Chosen", outcome)
	}
}

func TestFailedTargetIsAvoidedIfThereIsAnother(t *testing.T) {
	one, two := newTestTarget("one", 1), newTestTarget("two", 1)
	for _, c := range []struct {
		testTargets []*testTarget
		want        ident.Group
	}{{[]*testTarget{one, two}, "two"}, {[]*testTarget{one}, "one"}} {
		table := newTable(3, c.testTargets...)
		for range 4 {
			target, outcome := table.Reserve(now, &routing.Request{Model: "m", Avoid: one.Target})
			if outcome != routing.Chosen || target.Group != c.want {
				t.Fatalf("%d targets: outcome %d", len(c.testTargets), outcome)
			}
			table.Release(target)
		}
	}
}

// 200 entries have the same delayed report that shows one group as idle, and must not all send their requests to that group.
func TestEntriesDoNotAllChooseTheSameGroup(t *testing.T) {
	counts := map[ident.Group]int{}
	const entries, groups = 200, 10
	for seed := range uint64(entries) {
		var testTargets []*testTarget
		for i := range groups {
			p := newTestTarget(ident.Group(fmt.Sprint("g", i)), 1)
			p.report(now.Add(1), 2)
			testTargets = append(testTargets, p)
		}
		testTargets[0].report(now.Add(2), 0)
		target, _ := newTable(seed, testTargets...).Reserve(now.Add(3), &routing.Request{Model: "m"})
		counts[target.Group]++
	}
	if n := counts["g0"]; n > entries/3 || n < entries/groups {
		t.Errorf("%d of %d entries chose the reported idle group: %v", n, entries, counts)
	}
}

func TestPrefixes(t *testing.T) {
	long := strings.Repeat("x", 5000)
	a, b := routing.Prefixes([]byte(long+"a")), routing.Prefixes([]byte(long[:1500]+strings.Repeat("y", 3500)))
	if diff := cmp.Diff(a[:3], b[:3]); diff != "" {
		t.Errorf("prefixes of the same 1024 bytes have different hashes:\n%s", diff)
	}
	if len(a) != 5 || a[3] == b[3] {
		t.Errorf("%d and %d hashes, want 5; the fourth hashes are %x and %x, want different ones", len(a), len(b), a[3], b[3])
	}
	if got := routing.Prefixes([]byte("short")); got != nil {
		t.Errorf("a short prompt has prefixes %v, want none", got)
	}
}

func TestPromptsReturnToTheTargetWithTheirPrefix(t *testing.T) {
	prompt := []byte(strings.Repeat("forecast ", 1000))
	newRequest := func() *routing.Request {
		return &routing.Request{Model: "m", Prefixes: routing.Prefixes(prompt), PromptTokens: 100_000}
	}
	for _, c := range []struct {
		name   string
		change func(table *routing.Table, first *routing.Target, testTargets []*testTarget)
		same   bool
	}{
		{"no event", func(*routing.Table, *routing.Target, []*testTarget) {}, true},
		{"the engine removed the prefixes", func(table *routing.Table, first *routing.Target, _ []*testTarget) {
			for _, p := range routing.Prefixes(prompt) {
				table.Record.Removed(first, p)
			}
		}, false},
		{"another engine removed a prefix", func(table *routing.Table, first *routing.Target, testTargets []*testTarget) {
			for _, p := range testTargets {
				if p.Target != first {
					table.Record.Removed(p.Target, routing.Prefixes(prompt)[3])
				}
			}
		}, true},
		{"events were missed", func(table *routing.Table, first *routing.Target, _ []*testTarget) { table.Record.Invalidate(first) }, false},
		{"the target is full", func(_ *routing.Table, first *routing.Target, testTargets []*testTarget) {
			for _, p := range testTargets {
				if p.Target == first {
					p.report(now.Add(1), 4)
				}
			}
		}, false},
	} {
		same := 0
		const attempts = 40
		for seed := range uint64(attempts) {
			var testTargets []*testTarget
			for i := range 20 {
				testTargets = append(testTargets, newTestTarget(ident.Group(fmt.Sprint("g", i)), 1))
			}
			table := newTable(seed, testTargets...)
			first, _ := table.Reserve(now, newRequest())
			table.Release(first)
			c.change(table, first, testTargets)
			again, _ := table.Reserve(now.Add(2), newRequest())
			if again == first {
				same++
			}
		}
		if c.same && same != attempts || !c.same && same > attempts/3 {
			t.Errorf("%s: %d of %d prompts were sent to the same group", c.name, same, attempts)
		}
	}
}

// A slow group gets fewer requests, but still some, so that its recovery is detected.
func TestSlowGroupIsTriedAgain(t *testing.T) {
	slow, fast := newTestTarget("slow", 1), newTestTarget("fast", 1)
	table := newTable(5, slow, fast)
	for range 20 {
		slow.RecordPace(now, 6)
	}
	countSlow := func(at time.Time) int {
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
	if n := countSlow(now.Add(time.Second)); n < 20 || n > 80 {
		t.Errorf("the slow group got %d of 200 requests, want 20 to 80", n)
	}
	if n := countSlow(now.Add(5 * time.Minute)); n < 60 {
		t.Errorf("after five minutes without answers the slow group got %d of 200 requests, want at least 60", n)
	}
}

func TestAdaptersAndHalls(t *testing.T) {
	with, without, far := newTestTarget("with", 1), newTestTarget("without", 1), newTestTarget("far", 1)
	with.Adapters = []string{"alps"}
	far.Hall = "elsewhere"
	count := func(request *routing.Request, testTargets ...*testTarget) map[ident.Group]int {
		table := newTable(7, testTargets...)
		got := map[ident.Group]int{}
		for range 100 {
			target, _ := table.Reserve(now, request)
			got[target.Group]++
			table.Release(target)
		}
		return got
	}
	if got := count(&routing.Request{Model: "m", Adapter: "alps"}, with, without); got["with"] < 65 {
		t.Errorf("requests by group: %v, want at least 65 at the group with the adapter", got)
	}
	if got := count(&routing.Request{Model: "m"}, without, far); got["without"] < 65 {
		t.Errorf("requests by group: %v, want at least 65 at the group of the own hall", got)
	}
}
