package presence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
)

var start = time.Unix(1000, 0)

const bound = time.Second

func TestPresent(t *testing.T) {
	answered := presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7}
	with := func(change func(o *presence.Observation)) presence.Observation {
		o := answered
		change(&o)
		return o
	}
	type observation struct {
		at time.Duration
		presence.Observation
	}
	for _, c := range []struct {
		name         string
		observations []observation
		failed       time.Duration
		at           time.Duration
		want         bool
	}{
		{"never observed", nil, 0, 0, false},
		{"just observed", []observation{{0, answered}}, 0, 0, true},
		{"observed within the bound", []observation{{0, answered}}, 0, bound, true},
		{"observed too long ago", []observation{{0, answered}}, 0, bound + 1, false},
		{"an old observation that arrived now", []observation{{bound, with(func(o *presence.Observation) { o.Age = 1500 })}}, 0, bound, false},
		{"another incarnation", []observation{{0, with(func(o *presence.Observation) { o.Incarnation = "j" })}}, 0, 0, false},
		{"another epoch", []observation{{0, with(func(o *presence.Observation) { o.Epoch = 6 })}}, 0, 0, false},
		{"leaving by its own report", []observation{{0, with(func(o *presence.Observation) { o.Leaving = true })}}, 0, 0, false},
		{"refused after an answer", []observation{{0, answered}, {100 * time.Millisecond, presence.Observation{Sight: presence.ProbeRefused}}}, 0, 200 * time.Millisecond, false},
		{"answer after a refusal", []observation{{0, presence.Observation{Sight: presence.ProbeRefused}}, {100 * time.Millisecond, answered}}, 0, 200 * time.Millisecond, true},
		{"one watcher without an answer does not outweigh the other's answer", []observation{{0, answered}, {100 * time.Millisecond, presence.Observation{Sight: presence.ProbeTimedOut}}}, 0, 200 * time.Millisecond, true},
		{"an older refusal that arrives later", []observation{{100 * time.Millisecond, answered}, {200 * time.Millisecond, presence.Observation{Sight: presence.ProbeRefused, Age: 150}}}, 0, 200 * time.Millisecond, true},
		{"a failed request after an answer", []observation{{0, answered}}, 100 * time.Millisecond, 200 * time.Millisecond, false},
		{"an answer after the failed request", []observation{{0, answered}, {300 * time.Millisecond, answered}}, 100 * time.Millisecond, 300 * time.Millisecond, true},
		{"an answer from before the failure that arrives after it", []observation{{0, answered}, {300 * time.Millisecond, with(func(o *presence.Observation) { o.Age = 250 })}}, 100 * time.Millisecond, 300 * time.Millisecond, false},
	} {
		table := presence.NewTable()
		record := table.Cell("w")
		for _, s := range c.observations {
			record.Observe(start.Add(s.at), &s.Observation)
		}
		if c.failed != 0 {
			record.Fail(start.Add(c.failed))
		}
		m := presence.Member{Cell: record, Incarnation: "i", Epoch: 7}
		if got := m.Present(start.Add(c.at), bound); got != c.want {
			t.Errorf("%s: present %t, want %t", c.name, got, c.want)
		}
	}
}

func daemons(n int, hall ident.Hall) []presence.Watcher {
	var list []presence.Watcher
	for i := range n {
		list = append(list, presence.Watcher{Name: ident.Daemon(fmt.Sprint(hall, i)), Hall: hall})
	}
	return list
}

func TestWatchers(t *testing.T) {
	sameHall, otherHall := daemons(4, "near"), daemons(4, "far")
	all := append(append([]presence.Watcher{}, sameHall...), otherHall...)
	const vms = 1000
	watched := map[ident.Daemon]int{}
	moved := 0
	removed := sameHall[2].Name
	var remaining []presence.Watcher
	for _, w := range all {
		if w.Name != removed {
			remaining = append(remaining, w)
		}
	}
	for i := range vms {
		vm := ident.VM(fmt.Sprint("w", i))
		got := presence.Watchers(vm, "near", all)
		if len(got) != 2 || got[0] == got[1] || got[0][:4] != "near" || got[1][:4] != "near" {
			t.Fatalf("%s is watched by %v", vm, got)
		}
		after := presence.Watchers(vm, "near", remaining)
		for _, w := range got {
			watched[w]++
			if w != removed && w != after[0] && w != after[1] {
				moved++
			}
		}
	}
	for _, w := range sameHall {
		if n := watched[w.Name]; n < vms/2*8/10 || n > vms/2*12/10 {
			t.Errorf("%s watches %d of %d VMs", w.Name, n, vms)
		}
	}
	if moved != 0 {
		t.Errorf("%d VMs of remaining daemons have other watchers", moved)
	}
	if diff := cmp.Diff([]ident.Daemon{"far0"}, presence.Watchers("w", "near", otherHall[:1])); diff != "" {
		t.Errorf("watchers with one daemon, of another hall (-want +got):\n%s", diff)
	}
	if got := presence.Watchers("w", "near", nil); len(got) != 0 {
		t.Errorf("no daemon is live, but the watchers are %v", got)
	}
}

func TestMembers(t *testing.T) {
	m := presence.NewMembers(time.Second)
	m.Update(presence.Peer{Name: "a", Incarnation: "1", Revision: 5, LastContact: start})
	m.Update(presence.Peer{Name: "b", Incarnation: "1", Revision: 5, LastContact: start.Add(-2 * time.Second)})
	m.Update(presence.Peer{Name: "a", Incarnation: "1", Revision: 3, LastContact: start})
	if p, _ := m.Get("a"); p.Revision != 5 {
		t.Errorf("a late heartbeat set the revision back to %d, want 5", p.Revision)
	}
	m.Update(presence.Peer{Name: "a", Incarnation: "2", Revision: 1, LastContact: start})
	if p, _ := m.Get("a"); p.Revision != 1 {
		t.Errorf("a restarted daemon has revision %d, want 1 as it reported", p.Revision)
	}
	if live := m.Live(start); len(live) != 1 || live[0].Name != "a" {
		t.Errorf("live daemons: %v, want only a", live)
	}
	if all := m.All(); len(all) != 2 {
		t.Errorf("all daemons: %v, want a and b", all)
	}
}
