package relay_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// Guards against a refusal whose line does not say how many requests of all entries were ahead of it, and against one that shows sums from
// long before the refusal as if they were known then.
func TestRecordOfRefusalHasSiteQueue(t *testing.T) {
	const age = 200 * time.Millisecond
	key := siteload.Key{Service: "model", Model: "m"}
	levels := []siteload.LevelSummary{{Urgency: -5, Waiting: 2, SendRate: 4}, {Urgency: 0, Waiting: 3, SendRate: 1.5}, {Urgency: 5, Waiting: 30, SendRate: 0.5}}
	for _, tt := range []struct {
		name     string
		summary  *siteload.Summary
		deadline string
		wait     time.Duration
		want     *relay.SiteQueue
	}{
		{"fresh sums", &siteload.Summary{Queues: []siteload.QueueSummary{{Key: key, Levels: levels, Age: age}}}, "1000", 1100 * time.Millisecond, &relay.SiteQueue{Waiting: 5, SendRate: 6}},
		{"sums of two seconds ago", &siteload.Summary{Queues: []siteload.QueueSummary{{Key: key, Levels: levels, Age: age}}}, "2000", 2200 * time.Millisecond, nil},
		{"sums of another model", &siteload.Summary{Queues: []siteload.QueueSummary{{Key: siteload.Key{Service: "model", Model: "n"}, Levels: levels}}}, "1000", 1100 * time.Millisecond, nil},
		{"no sums", nil, "1000", 1100 * time.Millisecond, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, second, _, advance, _ := busyGroupEntryWithDeadline(t, tt.deadline)
			s.relay.SetSiteLoad(tt.summary)
			advance(tt.wait)
			<-second
			s.mu.Lock()
			defer s.mu.Unlock()
			r := s.records[0]
			if r.Code != result.Overloaded || r.Queued < tt.wait {
				t.Errorf("code %d after %v in the queue, want %d after %v", r.Code, r.Queued, result.Overloaded, tt.wait)
			}
			if r.Site != nil {
				if r.Site.Age < age+tt.wait {
					t.Errorf("sums of %v ago, want %v or more", r.Site.Age, age+tt.wait)
				}
				r.Site.Age = 0
			}
			if diff := cmp.Diff(tt.want, r.Site); diff != "" {
				t.Errorf("known of all entries (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against lines that show an urgency where none applies, or the customer's priority in place of the route's, and against a failure
// on requests that have no service.
func TestRecordHasUrgency(t *testing.T) {
	for _, tt := range []struct {
		name        string
		stream      int
		once        int
		hasPriority bool
		key         string
		want        siteload.Urgency
	}{
		{"routes differ", 1, 2, false, "secret", 1001},
		{"routes differ, and the customer has a priority", 1, 2, true, "secret", 1},
		{"all routes have one priority", 2, 2, true, "secret", 0},
		{"unknown key", 1, 2, false, "wrong", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 2, true) }))
			s := newTestEntry(t, nil, []*upstream{u})
			cfg := config()
			cfg.Routes[2].Priority, cfg.Routes[3].Priority, cfg.Customers[0].HasPriority = tt.stream, tt.once, tt.hasPriority
			s.relay.SetConfig(cfg)
			r := s.request("POST", "/stream/x", "1", "")
			r.Header.Set("Key", tt.key)
			s.do(r)
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := s.records[0]; got.Urgency != tt.want || got.Site != nil || got.Queued > got.Total {
				t.Errorf("record %+v, want urgency %d and nothing of a refusal", got, tt.want)
			}
		})
	}
}
