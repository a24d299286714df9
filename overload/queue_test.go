package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/overload"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// player offers what waits to a number of places, and notes what became of each request.
type player struct {
	queue  overload.Queue[string]
	places int
	// lateToo is set when late requests may have the places too.
	lateToo bool
	sent    []string
	refused []string
}

func (p *player) add(at time.Duration, name string, r overload.Request) {
	r.QueuedAt = start.Add(at)
	if r.Expires.IsZero() {
		r.Expires = start.Add(time.Hour)
	}
	p.queue.Add(start.Add(at), r, name)
}

func (p *player) look(at time.Duration) {
	p.queue.Dispatch(start.Add(at), func(w *overload.Queued[string], room overload.Rank) bool {
		if p.places == 0 || room == overload.Late && !p.lateToo {
			return false
		}
		p.places--
		p.sent = append(p.sent, w.Value)
		return true
	}, func(w *overload.Queued[string]) { p.refused = append(p.refused, w.Value) })
}

func due(at time.Duration) overload.Request {
	return overload.Request{Due: start.Add(at)}
}

// Room goes to begun streams first, then to the most urgent of those that can be in time, and late ones get what is left.
func TestOrder(t *testing.T) {
	p := &player{places: 6, lateToo: true}
	p.add(0, "late", due(-ms))
	p.add(1*ms, "last try", overload.Request{Due: start.Add(-ms), FinalAttempt: true})
	p.add(2*ms, "has time", due(300*ms))
	p.add(3*ms, "urgent", due(50*ms))
	p.add(4*ms, "begun", overload.Request{Due: start.Add(-ms), Started: true})
	p.add(5*ms, "as urgent", due(50*ms))
	p.look(10 * ms)
	want := []string{"begun", "urgent", "as urgent", "has time", "last try", "late"}
	if diff := cmp.Diff(want, p.sent); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// A late request is refused as soon as there has been no room for late ones for some passes, and not before; room that is seen
// meanwhile starts that anew.
func TestLateRequestsInAFlood(t *testing.T) {
	for _, c := range []struct {
		name  string
		roomy time.Duration
		want  time.Duration
	}{
		{"no room for late ones", -1, 310 * ms},
		{"some in between", 200 * ms, 510 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &player{}
			p.add(0, "late", due(-ms))
			for at := time.Duration(0); at < time.Second; at += 10 * ms {
				if at == c.roomy {
					p.queue.NoteCapacity()
				}
				p.look(at)
				if len(p.refused) > 0 {
					if at != c.want {
						t.Errorf("refused after %v, want %v", at, c.want)
					}
					return
				}
			}
			t.Error("never refused")
		})
	}
}

// One that can be in time is kept until it can't, and then refused at once when the flood has lasted.
func TestRequestsThatBecomeLate(t *testing.T) {
	p := &player{}
	p.add(0, "first", due(100*ms))
	for at := time.Duration(0); at <= 400*ms; at += 10 * ms {
		if at == 350*ms {
			p.add(at, "second", due(at+35*ms))
		}
		p.look(at)
		if at == 300*ms && len(p.refused) > 0 {
			t.Errorf("%v refused at %v", p.refused, at)
		}
		if at == 380*ms && len(p.refused) != 1 {
			t.Errorf("%v refused at %v, want the first", p.refused, at)
		}
	}
	if diff := cmp.Diff([]string{"first", "second"}, p.refused); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
}

// Last tries get one place in five while others that can be in time take the rest: a quarter of what these get.
func TestShareOfLastTries(t *testing.T) {
	p := &player{}
	for i := range 40 {
		p.add(time.Duration(i)*ms, "new", due(10*time.Second))
	}
	back := func() { p.add(50*ms, "back", overload.Request{Due: start.Add(-ms), FinalAttempt: true}) }
	back()
	for at := range 20 {
		p.places = 1
		p.look(time.Duration(100+at) * ms)
		if p.sent[len(p.sent)-1] == "back" {
			back()
		}
	}
	got := map[string]int{}
	for _, name := range p.sent {
		got[name]++
	}
	if diff := cmp.Diff(map[string]int{"new": 16, "back": 4}, got); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// A last try behind more than go on before its caller leaves is refused at once.
func TestLastTriesInVain(t *testing.T) {
	p := &player{}
	last := overload.Request{Due: start.Add(-ms), FinalAttempt: true, Expires: start.Add(1400 * ms)}
	for range 40 {
		p.add(0, "back", last)
	}
	p.look(0)
	if len(p.refused) != 39 {
		t.Errorf("%d of 40 refused while none goes on, want all but one", len(p.refused))
	}
	// With ten in a second that go on, fourteen can wait.
	p = &player{lateToo: true}
	for i := range 60 {
		p.add(time.Duration(i)*100*ms, "back", overload.Request{Due: start.Add(-ms), FinalAttempt: true})
		p.places = 1
		p.look(time.Duration(i) * 100 * ms)
	}
	last.Expires = start.Add(7400 * ms)
	for range 40 {
		p.add(6*time.Second, "back", last)
	}
	p.look(6 * time.Second)
	if kept := p.queue.Len(); kept < 10 || kept > 16 {
		t.Errorf("%d of 40 wait, want about as many as go on", kept)
	}
}

// Nothing is offered or kept whose caller will have left.
func TestCallersThatLeave(t *testing.T) {
	p := &player{places: 9}
	for _, r := range []overload.Request{{Started: true}, {Due: start.Add(time.Hour)}, {FinalAttempt: true}, {}} {
		r.Expires = start.Add(5 * ms)
		p.add(0, "x", r)
	}
	p.look(6 * ms)
	if len(p.sent) != 0 || len(p.refused) != 4 || p.queue.Len() != 0 {
		t.Errorf("%d sent, %d refused, %d wait; want four refused", len(p.sent), len(p.refused), p.queue.Len())
	}
}

func TestRemove(t *testing.T) {
	var q overload.Queue[string]
	a := q.Add(start, due(time.Second), "a")
	q.Add(start, due(time.Second), "b")
	q.Remove(a)
	q.Remove(a)
	if q.Len() != 1 {
		t.Errorf("%d wait, want 1", q.Len())
	}
}

// Callers are told to stay away for as long again as the excess has lasted, within a bound; after a pause it counts from new.
func TestRetryAfter(t *testing.T) {
	var e overload.Period
	var got []time.Duration
	for _, at := range []time.Duration{0, 400 * ms, 800 * ms, 1200 * ms, 2000 * ms, 2300 * ms} {
		got = append(got, e.RetryAfter(start.Add(at)))
	}
	for at := 2500 * ms; at <= 6000*ms; at += 400 * ms {
		e.Extend(start.Add(at))
	}
	got = append(got, e.RetryAfter(start.Add(6100*ms)))
	want := []time.Duration{0, 400 * ms, 800 * ms, 1200 * ms, 0, 300 * ms, 2500 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("to come back after (-want +got):\n%s", diff)
	}
}

// What callers spent before is told from what most of their class say, whatever a few say.
func TestSpent(t *testing.T) {
	var u overload.TypicalWait
	play := func(told ...time.Duration) (got []time.Duration) {
		for _, d := range told {
			got = append(got, u.PriorElapsed(d, true))
		}
		return got
	}
	if diff := cmp.Diff([]time.Duration{0, 0}, play(5000*ms, 6000*ms)); diff != "" {
		t.Errorf("before much is known (-want +got):\n%s", diff)
	}
	for range 20 {
		play(6000 * ms)
	}
	got := play(5710*ms, 6000*ms, 99*time.Second, 4630*ms, 0)
	if diff := cmp.Diff([]time.Duration{290 * ms, 0, 0, 1370 * ms, 0}, got); diff != "" {
		t.Errorf("spent before (-want +got):\n%s", diff)
	}
	for range 40 {
		play(9000 * ms)
	}
	if diff := cmp.Diff([]time.Duration{3000 * ms}, play(6000*ms)); diff != "" {
		t.Errorf("after the usual time has changed (-want +got):\n%s", diff)
	}
}

// BenchmarkLook is one look at 1,000 requests that wait, of which none has room, beside a busy machine: 13.1 µs, 13 ns for each, and no
// allocation (median of three). There was no such look before.
func BenchmarkLook(b *testing.B) {
	var q overload.Queue[int]
	for i := range 1000 {
		q.Add(start, overload.Request{Due: start.Add(time.Hour), Expires: start.Add(time.Hour)}, i)
	}
	send := func(*overload.Queued[int], overload.Rank) bool { return false }
	refuse := func(*overload.Queued[int]) {}
	b.ReportAllocs()
	for b.Loop() {
		q.Dispatch(start, send, refuse)
	}
}

// Where callers differ in how long they wait, those who say far less than the longest came back; where many wait for a short time
// only, nothing is made of it.
func TestSpentWhereCallersDiffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name   string
		spread time.Duration
		knows  bool
	}{
		{"by 15 in 100", 900 * ms, true},
		{"by half", 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u overload.TypicalWait
			first := func() time.Duration { return 6*time.Second - time.Duration(random.Int64N(int64(c.spread))) }
			for range 100 {
				u.PriorElapsed(first(), true)
			}
			wrong, found := 0, 0
			for range 1000 {
				if u.PriorElapsed(first(), false) > 0 {
					wrong++
				}
				if u.PriorElapsed(first()-2500*ms, false) > 300*ms {
					found++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of 1000 first tries are taken for ones that came back", wrong)
			}
			if c.knows && found < 800 {
				t.Errorf("%d of 1000 that came back after 2.5 s are known", found)
			}
		})
	}
}
