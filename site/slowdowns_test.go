package site_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/site"
)

// engines answers for upstreams: with their slowdown, or not at all.
type engines struct {
	mu        sync.Mutex
	slowdowns map[ident.Incarnation]float64
	queried   []ident.Incarnation
}

func (e *engines) query(_ context.Context, address string, id ident.Incarnation) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queried = append(e.queried, id)
	slowdown, ok := e.slowdowns[id]
	if !ok || address != string(id)+":1" {
		return 0, errors.New("no answer")
	}
	return slowdown, nil
}

// takeQueried returns the upstreams that were queried since the last call.
func (e *engines) takeQueried() []ident.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := slices.Sorted(slices.Values(e.queried))
	e.queried = nil
	return list
}

func TestSlowdownQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{slowdowns: map[ident.Incarnation]float64{"a": 1, "b": 6, "c": 1, "d": 1, "e": 1, "f": 1}}
		tracker := site.NewSlowdownTracker(e.query)
		table := httproute.NewTable(&httproute.Config{Services: []httproute.Service{{Name: "s", Engine: &httproute.Engine{
			Slots: 25, StepsPerIteration: 5, StepTime: 6 * time.Millisecond, StepTimePerSequence: 240 * time.Microsecond, CrossDomainSlowdown: 3,
			Models: []httproute.Model{{Name: "m", Size: 2, TimeFactor: 1}},
		}}}})
		group := func(name ident.Group, far bool, members ...ident.Incarnation) roster.Group {
			return roster.Group{Name: name, Service: "s", Model: "m", Members: members, Phase: roster.PhaseOpen, Far: far}
		}
		groups := []roster.Group{group("slow", false, "a", "b"), group("usual", false, "c", "d"), group("far", true, "e", "f")}
		stalled := false
		evaluate := func(stalledFor time.Duration) map[ident.Incarnation]float64 {
			snapshot := &replicaset.Snapshot{Now: time.Now(), Observations: map[ident.Group]replicaset.Observation{"usual": {StalledFor: stalledFor, StallConfirmed: stalled}}}
			for _, id := range []ident.Incarnation{"a", "b", "c", "d", "e", "f"} {
				snapshot.Upstreams = append(snapshot.Upstreams, roster.Upstream{ID: id, Address: string(id) + ":1"})
			}
			tracker.Evaluate(snapshot, groups, table)
			synctest.Wait()
			return snapshot.Slowdowns
		}
		expect := func(step string, want []ident.Incarnation, got, wantSlowdowns map[ident.Incarnation]float64) {
			t.Helper()
			if diff := cmp.Diff(want, e.takeQueried()); diff != "" {
				t.Errorf("%s: queried (-want +got):\n%s", step, diff)
			}
			if diff := cmp.Diff(wantSlowdowns, got); diff != "" {
				t.Errorf("%s: slowdowns (-want +got):\n%s", step, diff)
			}
		}
		none := map[ident.Incarnation]float64{}
		slow := map[ident.Incarnation]float64{"b": 6}
		// At a full group the event gap is 135 ms, across domains 405 ms.
		tracker.AddGaps(time.Now(), []relay.Observation{
			{Group: "slow", Events: 10, Pauses: 3 * time.Second}, {Group: "usual", Events: 10, Pauses: time.Second}, {Group: "far", Events: 10, Pauses: 3 * time.Second},
		})
		expect("long gaps", []ident.Incarnation{"a", "b"}, evaluate(0), none)
		expect("a moment later", nil, evaluate(0), slow)
		expect("a stalled group", []ident.Incarnation{"c", "d"}, evaluate(300*time.Millisecond), slow)
		time.Sleep(500 * time.Millisecond)
		expect("a group that is still stalled", []ident.Incarnation{"c", "d"}, evaluate(800*time.Millisecond), slow)
		time.Sleep(time.Second)
		expect("a slow upstream", []ident.Incarnation{"b"}, evaluate(0), slow)
		time.Sleep(time.Second)
		e.slowdowns["b"] = 1
		expect("an upstream that is no longer slow", []ident.Incarnation{"b"}, evaluate(0), slow)
		expect("a moment after its answer", nil, evaluate(0), none)
		time.Sleep(3 * time.Second)
		e.slowdowns["b"] = 6
		tracker.AddGaps(time.Now(), []relay.Observation{{Group: "slow", Events: 10, Pauses: 3 * time.Second}})
		expect("long gaps again", []ident.Incarnation{"a", "b"}, evaluate(0), none)
		expect("slow again", nil, evaluate(0), slow)
		delete(e.slowdowns, "b")
		time.Sleep(2 * time.Second)
		expect("an upstream that does not answer", []ident.Incarnation{"b"}, evaluate(0), slow)
		time.Sleep(time.Second)
		expect("an upstream that has not answered for long", nil, evaluate(0), none)
		// A member's first answer may be older than the stall, so the member is queried again soon.
		stalled = true
		expect("a group that entries found stalled", []ident.Incarnation{"c", "d"}, evaluate(0), none)
		time.Sleep(500 * time.Millisecond)
		expect("a group that entries still find stalled", []ident.Incarnation{"c", "d"}, evaluate(0), none)
	})
}
