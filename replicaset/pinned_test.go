package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// A group that closes for a better one finishes requests that can't continue elsewhere. It was dissolved after 1.2 s, which cut their answers.
func TestReplacedGroupFinishesPinnedRequests(t *testing.T) {
	const workTime = 4 * time.Second
	for _, c := range []struct {
		name   string
		pinned int
		cut    bool
	}{{"all requests can continue", 0, true}, {"one can't", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1, 3, 8)
			f.run(12*time.Second, nil)
			f.pinnedWhileClosing = c.pinned
			f.demand = demandFor(0, 12)
			ends := map[ident.Incarnation]time.Time{}
			cut := false
			f.run(20*time.Second, func() {
				for _, e := range f.engines {
					end, closing := ends[e.id]
					switch {
					case !closing && e.member.State == roster.MemberClosing:
						e.closedAt = f.now.Add(workTime)
						ends[e.id] = e.closedAt
					case closing && e.member.State == roster.MemberNone:
						cut = cut || f.now.Before(end)
						delete(ends, e.id)
					}
				}
			})
			if cut != c.cut {
				t.Errorf("a group left before its work had ended: %v, want %v", cut, c.cut)
			}
			if len(f.violations) > 0 {
				t.Error(f.violations)
			}
		})
	}
}
