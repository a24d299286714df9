package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/replicaset"
)

// At the start of a large site every upstream gets an order. Sent all at once, they kept the leader from renewing its lease, and outcomes
// were dropped. The next leader does not know these orders, so it must keep the members out of other groups until none can arrive any more.
func TestFirstGroupsDoNotFloodTheLeader(t *testing.T) {
	f := newFleetOf(t, 1, &fleetOptions{domains: 25, perDomain: 37, config: scarceConfig(), spares: true})
	f.maxTransit = 100 * time.Millisecond
	most := 0
	f.run(9*time.Second, func() { most = max(most, f.unanswered) })
	if most > replicaset.MaxUnansweredOrders {
		t.Errorf("%d orders were unanswered at the same time, want at most %d", most, replicaset.MaxUnansweredOrders)
	}
	if got := f.serving(); got["large"] < 25 || got["small"] < 20 {
		t.Errorf("%v groups serve after 9 s", got)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}
