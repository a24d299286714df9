package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/overload"
)

const ms = time.Millisecond

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// queueTester dispatches a queue with a limited capacity, and records which requests were sent and refused.
type queueTester struct {
	queue    overload.Queue[string]
	capacity int
	// lateAllowed is set when late requests may use the capacity too.
	lateAllowed bool
	sent        []string
	refused     []string
}

func (p *queueTester) add(at time.Duration, name string, r overload.Request) {
	r.QueuedAt = startTime.Add(at)
	if r.Expires.IsZero() {
		r.Expires = startTime.Add(time.Hour)
	}
	p.queue.Add(startTime.Add(at), r, name)
}

func (p *queueTester) dispatch(at time.Duration) {
	p.queue.Dispatch(startTime.Add(at), func(queued *overload.Queued[string], capacityRank overload.Rank) bool {
		if p.capacity == 0 || capacityRank == overload.Late && !p.lateAllowed {
			return false
		}
		p.capacity--
		p.sent = append(p.sent, queued.Value)
		return true
	}, func(queued *overload.Queued[string]) { p.refused = append(p.refused, queued.Value) })
}

func dueAt(at time.Duration) overload.Request {
	return overload.Request{Due: startTime.Add(at)}
}

// Started requests are sent first, then those in time by due time, then final attempts, and late requests last.
func TestDispatchOrder(t *testing.T) {
	tester := &queueTester{capacity: 6, lateAllowed: true}
	tester.add(0, "late", dueAt(-ms))
	tester.add(1*ms, "final attempt", overload.Request{Due: startTime.Add(-ms), FinalAttempt: true})
	tester.add(2*ms, "has time", dueAt(300*ms))
	tester.add(3*ms, "urgent", dueAt(50*ms))
	tester.add(4*ms, "started", overload.Request{Due: startTime.Add(-ms), Started: true})
	tester.add(5*ms, "as urgent", dueAt(50*ms))
	tester.dispatch(10 * ms)
	want := []string{"started", "urgent", "as urgent", "has time", "final attempt", "late"}
	if diff := cmp.Diff(want, tester.sent); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against requests of customers over their share that come before others of their rank, against a later rank that comes before
// them, and against those that are never demoted because others are due later.
func TestRequestsOverShareComeLastInTheirRank(t *testing.T) {
	overShare := func(r overload.Request) overload.Request {
		r.OverShare = true
		return r
	}
	tester := &queueTester{capacity: 7, lateAllowed: true}
	tester.add(0, "late, over share", overShare(dueAt(-ms)))
	tester.add(1*ms, "late", dueAt(-ms))
	tester.add(2*ms, "urgent, over share", overShare(dueAt(50*ms)))
	tester.add(3*ms, "more urgent, over share", overShare(dueAt(40*ms)))
	tester.add(4*ms, "becomes late, over share", overShare(dueAt(5*ms)))
	tester.add(5*ms, "has time", dueAt(300*ms))
	tester.add(6*ms, "has less time", dueAt(200*ms))
	tester.dispatch(10 * ms)
	want := []string{
		"has less time", "has time", "more urgent, over share", "urgent, over share", "late", "late, over share", "becomes late, over share",
	}
	if diff := cmp.Diff(want, tester.sent); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// A late request is refused when there has been no capacity for late requests for lateRefusalDelay, and not before; any capacity seen
// in between restarts the delay.
func TestLateRequestsUnderSustainedOverload(t *testing.T) {
	for _, tt := range []struct {
		name       string
		capacityAt time.Duration
		want       time.Duration
	}{
		{"no capacity for late requests", -1, 310 * ms},
		{"some capacity in between", 200 * ms, 510 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tester := &queueTester{}
			tester.add(0, "late", dueAt(-ms))
			for at := time.Duration(0); at < time.Second; at += 10 * ms {
				if at == tt.capacityAt {
					tester.queue.NoteCapacity()
				}
				tester.dispatch(at)
				if len(tester.refused) > 0 {
					if at != tt.want {
						t.Errorf("refused after %v, want %v", at, tt.want)
					}
					return
				}
			}
			t.Error("never refused")
		})
	}
}

// A request that can be in time is kept until it becomes late, and then refused at once if the overload has lasted long enough.
func TestRequestsThatBecomeLate(t *testing.T) {
	tester := &queueTester{}
	tester.add(0, "first", dueAt(100*ms))
	for at := time.Duration(0); at <= 400*ms; at += 10 * ms {
		if at == 350*ms {
			tester.add(at, "second", dueAt(at+35*ms))
		}
		tester.dispatch(at)
		if at == 300*ms && len(tester.refused) > 0 {
			t.Errorf("%v refused at %v", tester.refused, at)
		}
		if at == 380*ms && len(tester.refused) != 1 {
			t.Errorf("%v refused at %v, want the first", tester.refused, at)
		}
	}
	if diff := cmp.Diff([]string{"first", "second"}, tester.refused); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
}

// Final attempts get one send in five, a quarter of what requests in time get.
func TestShareOfFinalAttempts(t *testing.T) {
	tester := &queueTester{}
	for i := range 40 {
		tester.add(time.Duration(i)*ms, "new", dueAt(10*time.Second))
	}
	addReturning := func() { tester.add(50*ms, "returning", overload.Request{Due: startTime.Add(-ms), FinalAttempt: true}) }
	addReturning()
	for at := range 20 {
		tester.capacity = 1
		tester.dispatch(time.Duration(100+at) * ms)
		if tester.sent[len(tester.sent)-1] == "returning" {
			addReturning()
		}
	}
	sentByName := map[string]int{}
	for _, name := range tester.sent {
		sentByName[name]++
	}
	if diff := cmp.Diff(map[string]int{"new": 16, "returning": 4}, sentByName); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// A final attempt behind more requests than can be sent before its caller gives up is refused at once.
func TestHopelessFinalAttempts(t *testing.T) {
	tester := &queueTester{}
	request := overload.Request{Due: startTime.Add(-ms), FinalAttempt: true, Expires: startTime.Add(1400 * ms)}
	for range 40 {
		tester.add(0, "returning", request)
	}
	tester.dispatch(0)
	if len(tester.refused) != 39 {
		t.Errorf("%d of 40 refused while none is sent, want all but one", len(tester.refused))
	}
	// At ten sends per second, fourteen requests can wait.
	tester = &queueTester{lateAllowed: true}
	for i := range 60 {
		tester.add(time.Duration(i)*100*ms, "returning", overload.Request{Due: startTime.Add(-ms), FinalAttempt: true})
		tester.capacity = 1
		tester.dispatch(time.Duration(i) * 100 * ms)
	}
	request.Expires = startTime.Add(7400 * ms)
	for range 40 {
		tester.add(6*time.Second, "returning", request)
	}
	tester.dispatch(6 * time.Second)
	if queuedCount := tester.queue.Len(); queuedCount < 10 || queuedCount > 16 {
		t.Errorf("%d of 40 wait, want about as many as can be sent in time", queuedCount)
	}
}

// Requests whose callers will have given up are neither offered nor kept.
func TestExpiredRequestsAreRefused(t *testing.T) {
	tester := &queueTester{capacity: 9}
	for _, r := range []overload.Request{{Started: true}, {Due: startTime.Add(time.Hour)}, {FinalAttempt: true}, {}} {
		r.Expires = startTime.Add(5 * ms)
		tester.add(0, "x", r)
	}
	tester.dispatch(6 * ms)
	if len(tester.sent) != 0 || len(tester.refused) != 4 || tester.queue.Len() != 0 {
		t.Errorf("%d sent, %d refused, %d wait; want four refused", len(tester.sent), len(tester.refused), tester.queue.Len())
	}
}

func TestRemove(t *testing.T) {
	var q overload.Queue[string]
	a := q.Add(startTime, dueAt(time.Second), "a")
	q.Add(startTime, dueAt(time.Second), "b")
	q.Remove(a)
	q.Remove(a)
	if q.Len() != 1 {
		t.Errorf("%d wait, want 1", q.Len())
	}
}

// Retry-After is as long as the overload has lasted, within a bound; a gap starts a new period.
func TestRetryAfter(t *testing.T) {
	var period overload.Period
	var got []time.Duration
	for _, at := range []time.Duration{0, 400 * ms, 800 * ms, 1200 * ms, 2000 * ms, 2300 * ms} {
		got = append(got, period.RetryAfter(startTime.Add(at)))
	}
	for at := 2500 * ms; at <= 6000*ms; at += 400 * ms {
		period.Extend(startTime.Add(at))
	}
	got = append(got, period.RetryAfter(startTime.Add(6100*ms)))
	want := []time.Duration{0, 400 * ms, 800 * ms, 1200 * ms, 0, 300 * ms, 2500 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Retry-After (-want +got):\n%s", diff)
	}
}

// The time elapsed on earlier attempts is derived from the time that most callers announce, whatever a few announce.
func TestPriorElapsed(t *testing.T) {
	var typical overload.TypicalWait
	priorElapsed := func(announced ...time.Duration) (got []time.Duration) {
		for _, d := range announced {
			got = append(got, typical.PriorElapsed(d, true))
		}
		return got
	}
	if diff := cmp.Diff([]time.Duration{0, 0}, priorElapsed(5000*ms, 6000*ms)); diff != "" {
		t.Errorf("before enough requests are known (-want +got):\n%s", diff)
	}
	for range 20 {
		priorElapsed(6000 * ms)
	}
	got := priorElapsed(5710*ms, 6000*ms, 99*time.Second, 4630*ms, 0)
	if diff := cmp.Diff([]time.Duration{290 * ms, 0, 0, 1370 * ms, 0}, got); diff != "" {
		t.Errorf("elapsed before (-want +got):\n%s", diff)
	}
	for range 40 {
		priorElapsed(9000 * ms)
	}
	if diff := cmp.Diff([]time.Duration{3000 * ms}, priorElapsed(6000*ms)); diff != "" {
		t.Errorf("after the typical time has changed (-want +got):\n%s", diff)
	}
}

// BenchmarkDispatch is one dispatch of 1,000 waiting requests without any capacity.
func BenchmarkDispatch(b *testing.B) {
	var q overload.Queue[int]
	for i := range 1000 {
		q.Add(startTime, overload.Request{Due: startTime.Add(time.Hour), Expires: startTime.Add(time.Hour)}, i)
	}
	send := func(*overload.Queued[int], overload.Rank) bool { return false }
	refuse := func(*overload.Queued[int]) {}
	b.ReportAllocs()
	for b.Loop() {
		q.Dispatch(startTime, send, refuse)
	}
}

// Where announced times differ by little, a time far below the longest is taken for a retry; where first attempts differ by much, it
// is not.
func TestPriorElapsedOfDifferingCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, tt := range []struct {
		name       string
		spread     time.Duration
		detectable bool
	}{
		{"by 15 in 100", 900 * ms, true},
		{"by half", 3 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var typical overload.TypicalWait
			firstAttemptWait := func() time.Duration { return 6*time.Second - time.Duration(random.Int64N(int64(tt.spread))) }
			for range 100 {
				typical.PriorElapsed(firstAttemptWait(), true)
			}
			falsePositives, found := 0, 0
			for range 1000 {
				if typical.PriorElapsed(firstAttemptWait(), false) > 0 {
					falsePositives++
				}
				if typical.PriorElapsed(firstAttemptWait()-2500*ms, false) > 300*ms {
					found++
				}
			}
			if falsePositives > 0 {
				t.Errorf("%d of 1000 first attempts are taken for retries", falsePositives)
			}
			if tt.detectable && found < 800 {
				t.Errorf("%d of 1000 retries after 2.5 s are detected", found)
			}
		})
	}
}
