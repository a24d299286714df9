package overload_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// Guards against requests that wait in vain, and against refusals of those that have a chance.
func TestMustRefuse(t *testing.T) {
	for _, tt := range []struct {
		name    string
		arrival overload.Arrival
		want    bool
	}{
		{"nothing ahead", overload.Arrival{Lasting: true, TimeLeft: 200 * ms}, false},
		{"the requests ahead are sent in time", overload.Arrival{Lasting: true, TimeLeft: 200 * ms, Ahead: 20, SendRate: 101}, false},
		{"the requests ahead are not sent in time", overload.Arrival{Lasting: true, TimeLeft: 200 * ms, Ahead: 21, SendRate: 100}, true},
		{"none is sent", overload.Arrival{Lasting: true, TimeLeft: 200 * ms, Ahead: 1}, true},
		{"it is late", overload.Arrival{Lasting: true, TimeLeft: -ms}, true},
		{"there was capacity a moment before", overload.Arrival{TimeLeft: -ms, Ahead: 21, SendRate: 1}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.arrival.MustRefuse(); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

func TestReturnAfterBacklog(t *testing.T) {
	for _, tt := range []struct {
		name            string
		ahead, sendRate float64
		want            time.Duration
	}{
		{"nothing ahead", 0, 10, 300 * ms},
		{"a short backlog", 2, 10, 300 * ms},
		{"a backlog", 10, 10, time.Second},
		{"a long backlog", 100, 10, 2500 * ms},
		{"none is sent", 1, 0, 2500 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, overload.ReturnAfter(tt.ahead, tt.sendRate, 300*ms, 2500*ms)); diff != "" {
				t.Errorf("Retry-After (-want +got):\n%s", diff)
			}
		})
	}
}

// floodSite are sums of a flood: five entries, and 20 of 100 requests per second are sent.
func floodSite(change func(l *siteload.LevelSummary)) overload.Site {
	l := siteload.LevelSummary{Urgency: urgent, Waiting: 6, ArrivalRate: 100, SendRate: 20, RefusalRate: 80, Returning: []int{2, 0, 8}}
	change(&l)
	return overload.Site{
		Levels: []siteload.LevelSummary{l}, Entries: 5,
		Own: []siteload.LevelReport{{Urgency: urgent, Waiting: 2, Returning: []int{0, 0, 5}}},
	}
}

// Guards against this entry's waiting requests that count twice, and against a flood that is seen where none is.
func TestArrival(t *testing.T) {
	now := startTime.Add(time.Minute)
	unchanged := func(*siteload.LevelSummary) {}
	for _, tt := range []struct {
		name    string
		waiting int
		site    overload.Site
		want    overload.Arrival
	}{
		{"none waits here", 0, floodSite(unchanged), overload.Arrival{Lasting: true, TimeLeft: 150 * ms, Ahead: 4, SendRate: 20}},
		{"as many wait here as elsewhere", 2, floodSite(unchanged), overload.Arrival{Lasting: true, TimeLeft: 150 * ms, Ahead: 10, SendRate: 20}},
		{"a few were refused", 0, floodSite(func(l *siteload.LevelSummary) { l.RefusalRate = 4 }), overload.Arrival{TimeLeft: 150 * ms, Ahead: 4, SendRate: 20}},
		{"the refusals are over", 0, floodSite(func(l *siteload.LevelSummary) { l.SinceRefusal = 600 * ms }), overload.Arrival{TimeLeft: 150 * ms, Ahead: 4, SendRate: 20}},
		{"another entry found spare capacity", 0, floodSite(func(l *siteload.LevelSummary) { l.SpareRate = 1 }), overload.Arrival{TimeLeft: 150 * ms, Ahead: 4, SendRate: 20}},
		{"no sums", 2, overload.Site{}, overload.Arrival{TimeLeft: 150 * ms, Ahead: 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := &overload.Queue[string]{ArrivalCheck: true}
			q.SetSite(now, tt.site)
			r := requestOf(urgent, time.Minute+time.Second)
			r.QueuedAt = now
			for range tt.waiting {
				q.Add(now, r, "waiting")
			}
			got := q.Arrival(now, q.Add(now, r, "arrived"), now.Add(time.Second))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("arrival (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against the refusal of the first request of a quiet queue, whatever the sums say of its past.
func TestFirstRequestOfQuietQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := floodSite(func(l *siteload.LevelSummary) {
			l.Waiting, l.SendRate = 0, rapid.Float64Range(0, 9).Draw(t, "sends")
			l.ArrivalRate, l.RefusalRate = rapid.Float64Range(0, 9).Draw(t, "arrivals"), rapid.Float64Range(0, 9).Draw(t, "refusals")
			l.SinceRefusal = time.Duration(rapid.IntRange(501, 9000).Draw(t, "since-refusal")) * ms
		})
		q := &overload.Queue[string]{ArrivalCheck: true}
		q.SetSite(startTime, site)
		r := requestOf(urgent, time.Duration(rapid.IntRange(-900, 900).Draw(t, "due"))*ms)
		r.QueuedAt, r.FinalAttempt = startTime, rapid.Bool().Draw(t, "final-attempt")
		queued := q.Add(startTime, r, "first")
		refused := 0
		q.Dispatch(startTime, func(*overload.Queued[string], overload.Rank) bool { return false }, func(*overload.Queued[string]) { refused++ })
		if arrival := q.Arrival(startTime, queued, r.Due); refused > 0 || arrival.MustRefuse() {
			t.Errorf("refused: %+v", arrival)
		}
	})
}

// Guards against refusals that come when half of the aim has passed.
func TestLimitOfWait(t *testing.T) {
	for _, tt := range []struct {
		name string
		r    overload.Request
	}{
		{"in time", requestOf(urgent, time.Second)},
		{"late", requestOf(urgent, -ms)},
		{"final attempt", overload.Request{Urgency: urgent, Due: startTime.Add(-ms), Expires: startTime.Add(time.Hour), FinalAttempt: true, Needs: needs}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tester := &queueTester{}
			tester.queue.ArrivalCheck = true
			tester.add(0, "x", tt.r)
			for at := time.Duration(0); len(tester.refused) == 0; at += 10 * ms {
				if at > needs.Aim/2 {
					t.Fatalf("not refused after %v", at)
				}
				tester.dispatch(at)
			}
		})
	}
}

// Guards against callers that return too early and rank like those that heed what they were told.
func TestReturnsEarly(t *testing.T) {
	q := &overload.Queue[string]{ArrivalCheck: true}
	q.NoteTold(startTime, urgent, 2*time.Second)
	q.NoteTold(startTime, urgent, 1600*ms)
	for _, tt := range []struct {
		name    string
		u       siteload.Urgency
		elapsed time.Duration
		maxHeed time.Duration
		want    bool
	}{
		{"early", urgent, 700 * ms, time.Hour, true},
		{"as told elsewhere", urgent, 1100 * ms, time.Hour, false},
		{"as late as it can", urgent, 700 * ms, time.Second, false},
		{"of another urgency", patient, 700 * ms, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := q.ReturnsEarly(startTime.Add(tt.elapsed), tt.u, tt.elapsed, tt.maxHeed); got != tt.want {
				t.Errorf("early: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against reported returns that stay after their time, or that count once for each report.
func TestReturningBySlot(t *testing.T) {
	q := &overload.Queue[string]{ArrivalCheck: true}
	for _, after := range []time.Duration{300 * ms, 400 * ms, 1100 * ms} {
		q.NoteTold(startTime, urgent, after)
	}
	slotsAt := func(at time.Duration) (got []int) {
		q.EachReturning(startTime.Add(at), func(_ siteload.Urgency, slots []int) { got = slots })
		return got
	}
	for _, tt := range []struct {
		at   time.Duration
		want []int
	}{
		{0, []int{0, 2, 0, 0, 1}},
		{0, []int{0, 2, 0, 0, 1}},
		{500 * ms, []int{0, 0, 1}},
		{1300 * ms, nil},
		{7 * time.Second, nil},
	} {
		if diff := cmp.Diff(tt.want, slotsAt(tt.at)); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", tt.at, diff)
		}
	}
}
