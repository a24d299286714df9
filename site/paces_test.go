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

// engines answers for upstreams: with their pace, or not at all.
type engines struct {
	mu    sync.Mutex
	paces map[ident.Incarnation]float64
	asked []ident.Incarnation
}

func (e *engines) ask(_ context.Context, address string, id ident.Incarnation) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, id)
	pace, ok := e.paces[id]
	if !ok || address != string(id)+":1" {
		return 0, errors.New("no answer")
	}
	return pace, nil
}

// taken returns who was asked since the last call.
func (e *engines) taken() []ident.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := slices.Sorted(slices.Values(e.asked))
	e.asked = nil
	return list
}

func TestPaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{paces: map[ident.Incarnation]float64{"a": 1, "b": 6, "c": 1, "d": 1, "e": 1, "f": 1}}
		p := site.NewPaces(e.ask)
		table := httproute.NewTable(&httproute.Config{Services: []httproute.Service{{Name: "s", Engine: &httproute.Engine{
			Slots: 25, Stride: 5, Step: 6 * time.Millisecond, PerSequence: 240 * time.Microsecond, FarFactor: 3,
			Models: []httproute.Model{{Name: "m", Size: 2, Pace: 1}},
		}}}})
		group := func(name ident.Group, far bool, members ...ident.Incarnation) roster.Group {
			return roster.Group{Name: name, Service: "s", Model: "m", Members: members, Phase: roster.PhaseOpen, Far: far}
		}
		groups := []roster.Group{group("slow", false, "a", "b"), group("usual", false, "c", "d"), group("far", true, "e", "f")}
		stands := false
		look := func(stalled time.Duration) map[ident.Incarnation]float64 {
			w := &replicaset.Snapshot{Now: time.Now(), Observations: map[ident.Group]replicaset.Observation{"usual": {StalledFor: stalled, StallConfirmed: stands}}}
			for _, id := range []ident.Incarnation{"a", "b", "c", "d", "e", "f"} {
				w.Upstreams = append(w.Upstreams, roster.Upstream{ID: id, Address: string(id) + ":1"})
			}
			p.Look(w, groups, table)
			synctest.Wait()
			return w.Slowdowns
		}
		expect := func(what string, want []ident.Incarnation, paces, wantPaces map[ident.Incarnation]float64) {
			t.Helper()
			if diff := cmp.Diff(want, e.taken()); diff != "" {
				t.Errorf("%s: asked (-want +got):\n%s", what, diff)
			}
			if diff := cmp.Diff(wantPaces, paces); diff != "" {
				t.Errorf("%s: known (-want +got):\n%s", what, diff)
			}
		}
		none := map[ident.Incarnation]float64{}
		slow := map[ident.Incarnation]float64{"b": 6}
		// At a full group events come each 135 ms, across domains each 405 ms.
		p.Note(time.Now(), []relay.Observation{
			{Group: "slow", Events: 10, Pauses: 3 * time.Second}, {Group: "usual", Events: 10, Pauses: time.Second}, {Group: "far", Events: 10, Pauses: 3 * time.Second},
		})
		expect("long pauses", []ident.Incarnation{"a", "b"}, look(0), none)
		expect("a moment later", nil, look(0), slow)
		expect("a group that stands still", []ident.Incarnation{"c", "d"}, look(300*time.Millisecond), slow)
		time.Sleep(500 * time.Millisecond)
		expect("one that goes on standing still", []ident.Incarnation{"c", "d"}, look(800*time.Millisecond), slow)
		time.Sleep(time.Second)
		expect("one that is slow", []ident.Incarnation{"b"}, look(0), slow)
		time.Sleep(time.Second)
		e.paces["b"] = 1
		expect("one that is slow no more", []ident.Incarnation{"b"}, look(0), slow)
		expect("a moment after it said so", nil, look(0), none)
		time.Sleep(3 * time.Second)
		e.paces["b"] = 6
		p.Note(time.Now(), []relay.Observation{{Group: "slow", Events: 10, Pauses: 3 * time.Second}})
		expect("long pauses again", []ident.Incarnation{"a", "b"}, look(0), none)
		expect("slow again", nil, look(0), slow)
		delete(e.paces, "b")
		time.Sleep(2 * time.Second)
		expect("one that does not answer", []ident.Incarnation{"b"}, look(0), slow)
		time.Sleep(time.Second)
		expect("one that has not answered for long", nil, look(0), none)
		// What a member tells first may be older than the stop, so it is asked again soon.
		stands = true
		expect("one that entries found to stand still", []ident.Incarnation{"c", "d"}, look(0), none)
		time.Sleep(500 * time.Millisecond)
		expect("one that does so still", []ident.Incarnation{"c", "d"}, look(0), none)
	})
}
