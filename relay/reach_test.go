package relay_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Guards against entries that lose the paths to one service without a line in the log.
func TestReachOfOneServiceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutSite(t)
		defer s.stop()
		var mu sync.Mutex
		var events []relay.ReachabilityEvent
		s.entries[0].OnReachability = func(event relay.ReachabilityEvent) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, event)
		}
		s.load("before", time.Second)
		s.paths[0].cutExcept(s.groups, cutRefused)
		s.load("cut", time.Second)
		s.paths[0].cut(cutNone)
		s.load("after", time.Second)
		mu.Lock()
		defer mu.Unlock()
		want := []relay.ReachabilityEvent{
			{Service: "plain", Reach: relay.ReachFew, Unreachable: 2, Total: cutSitePlain},
			{Service: "plain", Reach: relay.ReachNone, Unreachable: 3, Total: cutSitePlain},
			{Service: "plain", Reach: relay.ReachMost, Total: cutSitePlain},
		}
		if diff := cmp.Diff(want, events); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}
