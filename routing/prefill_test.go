package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/routing"
)

// The prefill table simulates the prompts of conversations that are sent to groups,
// each of which caches a bounded number of conversations. A prefill is repeated if
// the chosen group does not have a conversation cached that was sent before.

const (
	prefillGroups        = 20
	prefillConversations = 300
	prefillCached        = 16 // conversations that a group caches; all groups together cache 320
	prefillRequests      = 6000
	prefillEventLag      = 40 // requests until an eviction is published
)

// engineCache holds the conversations that one group caches, least recently used first.
type engineCache struct{ order []int }

// use reports whether conversation c was cached, makes it the most recently used, and returns the evicted conversation, or -1.
func (e *engineCache) use(c int) (hit bool, evicted int) {
	evicted = -1
	for i, held := range e.order {
		if held == c {
			e.order = append(append(e.order[:i:i], e.order[i+1:]...), c)
			return true, evicted
		}
	}
	e.order = append(e.order, c)
	if len(e.order) > prefillCached {
		evicted = e.order[0]
		e.order = e.order[1:]
	}
	return false, evicted
}

// eviction is a cache event that is published at request number due.
type eviction struct {
	due, conversation int
	target            *routing.Target
}

// repeatedPrefill returns the fraction of known prompts that the chosen group did not have cached, if lostPercent of the events are lost.
func repeatedPrefill(seed uint64, lostPercent int, choose func(table *routing.Table, testTargets []*testTarget, n int, request *routing.Request) *testTarget) float64 {
	random := rand.New(rand.NewPCG(seed, 5))
	var testTargets []*testTarget
	byTarget := map[*routing.Target]*engineCache{}
	for i := range prefillGroups {
		p := newTestTarget(ident.Group(fmt.Sprint("g", i)), 1)
		testTargets = append(testTargets, p)
		byTarget[p.Target] = &engineCache{}
	}
	table := newTable(seed, testTargets...)
	prompts := make([][]uint64, prefillConversations)
	for i := range prompts {
		prompts[i] = routing.Prefixes([]byte(fmt.Sprintf("conversation %d ", i) + strings.Repeat("x", 3000)))
	}
	var events []eviction
	seen := map[int]bool{}
	repeats, misses := 0, 0
	for n := range prefillRequests {
		for len(events) > 0 && events[0].due <= n {
			e := events[0]
			events = events[1:]
			if random.IntN(100) < lostPercent {
				table.Record.Invalidate(e.target)
				continue
			}
			for _, p := range prompts[e.conversation] {
				table.Record.Removed(e.target, p)
			}
		}
		c := random.IntN(prefillConversations)
		p := choose(table, testTargets, n, &routing.Request{Model: "m", Prefixes: prompts[c], PromptTokens: 10_000})
		hit, evicted := byTarget[p.Target].use(c)
		if evicted >= 0 {
			events = append(events, eviction{n + prefillEventLag, evicted, p.Target})
		}
		if seen[c] {
			repeats++
			if !hit {
				misses++
			}
		}
		seen[c] = true
	}
	return float64(misses) / float64(repeats)
}

func chooseByTable(table *routing.Table, testTargets []*testTarget, _ int, request *routing.Request) *testTarget {
	target, _ := table.Reserve(now.Add(time.Millisecond), request)
	table.Release(target)
	for _, p := range testTargets {
		if p.Target == target {
			return p
		}
	}
	return nil
}

func roundRobin(_ *routing.Table, testTargets []*testTarget, n int, _ *routing.Request) *testTarget {
	return testTargets[n%len(testTargets)]
}

// leastLoaded chooses a random target, since all loads are equal here.
func leastLoaded(table *routing.Table, testTargets []*testTarget, _ int, _ *routing.Request) *testTarget {
	return testTargets[table.Random(len(testTargets))]
}

func TestRepeatedPrefill(t *testing.T) {
	for _, c := range []struct {
		name   string
		lost   int
		choose func(table *routing.Table, testTargets []*testTarget, n int, request *routing.Request) *testTarget
		low    float64
		high   float64
	}{
		{"own record and delayed events", 0, chooseByTable, 0, 0.05},
		{"1% of the events missing", 1, chooseByTable, 0, 0.15},
		{"round robin", 0, roundRobin, 0.8, 1},
		{"least loaded", 0, leastLoaded, 0.8, 1},
	} {
		got := repeatedPrefill(1, c.lost, c.choose)
		t.Logf("%s: prefill repeated for %.3f of the known prompts", c.name, got)
		if got < c.low || got > c.high {
			t.Errorf("%s: prefill repeated for %.3f of the known prompts, want %.2f to %.2f", c.name, got, c.low, c.high)
		}
	}
}
