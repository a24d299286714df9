package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	urgent  siteload.Urgency = 1
	patient siteload.Urgency = 2
)

// needs are what the requests of the tests need from a group.
var needs = overload.Needs{Prompt: 1000, Aim: 300 * ms, GapAim: 200 * ms}

// requestOf returns a request of an urgency that is due at a time.
func requestOf(u siteload.Urgency, due time.Duration) overload.Request {
	return overload.Request{Urgency: u, Due: startTime.Add(due), Expires: startTime.Add(time.Hour), Needs: needs}
}

// Guards against a less urgent request that goes before a more urgent one because it is due sooner, or because the other is late.
func TestOrderByUrgency(t *testing.T) {
	tester := &queueTester{capacity: 9, lateAllowed: true}
	tester.add(0, "patient, due soon", requestOf(patient, 50*ms))
	tester.add(1*ms, "urgent", requestOf(urgent, 300*ms))
	tester.add(2*ms, "urgent, late", requestOf(urgent, -ms))
	started := requestOf(patient, -ms)
	started.Started = true
	tester.add(3*ms, "patient, started", started)
	tester.dispatch(10 * ms)
	want := []string{"patient, started", "urgent", "urgent, late", "patient, due soon"}
	if diff := cmp.Diff(want, tester.sent); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against a retry that ranks by its last arrival, behind requests that came after its first attempt.
func TestRetryRanksByFirstArrival(t *testing.T) {
	tester := &queueTester{capacity: 9, lateAllowed: true}
	for i, firstArrival := range []time.Duration{-100 * ms, -900 * ms} {
		r := requestOf(urgent, -ms)
		r.FinalAttempt, r.FirstArrival = true, startTime.Add(firstArrival)
		tester.add(time.Duration(i)*ms, firstArrival.String(), r)
	}
	tester.dispatch(10 * ms)
	if diff := cmp.Diff([]string{"-900ms", "-100ms"}, tester.sent); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// claimAt returns what a less urgent request that is due in a second must leave at a time, with what is known of the site.
func claimAt(q *overload.Queue[string], at time.Duration, site overload.Site) (claim overload.Claim) {
	now := startTime.Add(at)
	q.SetSite(now, site)
	r := requestOf(patient, at+time.Second)
	r.QueuedAt = now
	q.Add(now, r, "probe")
	q.Dispatch(now, func(queued *overload.Queued[string], _ overload.Rank) bool {
		if queued.Urgency != patient {
			return false
		}
		claim = q.Claim(now, queued)
		return true
	}, func(*overload.Queued[string]) {})
	return claim
}

// Guards against capacity that is kept back while no more urgent request needs it, and against capacity that is not where one does.
func TestClaim(t *testing.T) {
	arriving := siteload.LevelSummary{Urgency: urgent, ArrivalRate: 24, SendRate: 24, MeanPrompt: 1460, Aim: 250 * ms, GapAim: 300 * ms}
	changed := func(change func(l *siteload.LevelSummary)) []siteload.LevelSummary {
		l := arriving
		change(&l)
		return []siteload.LevelSummary{l, {Urgency: patient, Waiting: 9, ArrivalRate: 16}}
	}
	reserve := overload.Needs{Prompt: 1460, Aim: 250 * ms, GapAim: 300 * ms, Rate: 24}
	for _, tt := range []struct {
		name   string
		levels []siteload.LevelSummary
		age    time.Duration
		want   overload.Claim
	}{
		{"nothing is known", nil, 0, overload.Claim{}},
		{"only less urgent requests wait", []siteload.LevelSummary{{Urgency: patient, Waiting: 9, ArrivalRate: 16, SendRate: 9}}, 0, overload.Claim{}},
		{"more urgent requests arrive", changed(func(*siteload.LevelSummary) {}), 0, overload.Claim{Reserve: reserve}},
		{"they no longer arrive", changed(func(l *siteload.LevelSummary) { l.SinceArrival = 1100 * ms }), 0, overload.Claim{}},
		{"the sums are old", changed(func(l *siteload.LevelSummary) { l.SinceArrival = 300 * ms }), 800 * ms, overload.Claim{}},
		{"they wait for 80 ms on average", changed(func(l *siteload.LevelSummary) { l.Waiting = 2 }), 0, overload.Claim{Contended: true, Reserve: reserve}},
		{"one of them waits", changed(func(l *siteload.LevelSummary) { l.Waiting = 1 }), 0, overload.Claim{Reserve: reserve}},
		{"an eighth is refused", changed(func(l *siteload.LevelSummary) { l.RefusalRate = 3 }), 0, overload.Claim{Contended: true, Reserve: reserve}},
		{"one of them is refused", changed(func(l *siteload.LevelSummary) { l.RefusalRate = 1 }), 0, overload.Claim{Reserve: reserve}},
		{"they were refused", changed(func(l *siteload.LevelSummary) { l.RefusalRate, l.SinceRefusal = 3, 1100*ms }), 0, overload.Claim{Reserve: reserve}},
		{"they wait and none is sent", changed(func(l *siteload.LevelSummary) { l.Waiting, l.SendRate = 2, 0 }), 0, overload.Claim{Reserve: reserve}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := &overload.Queue[string]{Floor: 0.25}
			got := claimAt(q, 0, overload.Site{Levels: tt.levels, Age: tt.age, Entries: 10})
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("claim (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against an entry without sums that keeps nothing back for its own more urgent requests, or keeps capacity back after the last.
func TestClaimByOwnCounts(t *testing.T) {
	q := &overload.Queue[string]{Floor: 0.25}
	send := func(*overload.Queued[string], overload.Rank) bool { return true }
	refuse := func(*overload.Queued[string]) {}
	q.Add(startTime, requestOf(urgent, time.Hour), "sent")
	q.Dispatch(startTime, send, refuse)
	waiting := q.Add(startTime, requestOf(urgent, time.Hour), "waiting")
	want := overload.Claim{Contended: true, Reserve: needs}
	if diff := cmp.Diff(want, claimAt(q, 100*ms, overload.Site{})); diff != "" {
		t.Errorf("while one waits (-want +got):\n%s", diff)
	}
	q.Remove(waiting)
	if diff := cmp.Diff(overload.Claim{Reserve: needs}, claimAt(q, 200*ms, overload.Site{})); diff != "" {
		t.Errorf("after one was sent (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(overload.Claim{}, claimAt(q, 2*time.Second, overload.Site{})); diff != "" {
		t.Errorf("2 s after the last (-want +got):\n%s", diff)
	}
}

// floorSends plays a site whose entries all have less urgent requests while more urgent ones wait, and returns how many of the former are
// sent by the floor.
func floorSends(floor, sendRate float64, entries int, duration time.Duration) int {
	levels := []siteload.LevelSummary{{Urgency: urgent, Waiting: 5, ArrivalRate: 2 * sendRate, SendRate: sendRate, RefusalRate: sendRate, MeanPrompt: 1000, Aim: 300 * ms}}
	sent := 0
	for entry := range entries {
		q := &overload.Queue[string]{Floor: floor, Phase: func() float64 { return float64(entry) / float64(entries) }}
		for at := time.Duration(0); at < duration; at += 100 * ms {
			now := startTime.Add(at)
			q.SetSite(now, overload.Site{Levels: levels, Entries: entries})
			for q.Len() < 100 {
				// The request has waited for long enough to use the floor.
				r := requestOf(patient, at+time.Second)
				r.QueuedAt = now.Add(-time.Minute)
				q.Add(now, r, "patient")
			}
			q.Dispatch(now, func(queued *overload.Queued[string], _ overload.Rank) bool {
				claim := q.Claim(now, queued)
				if !claim.Floor {
					return false
				}
				q.UseFloor(queued)
				sent++
				return true
			}, func(*overload.Queued[string]) {})
		}
	}
	return sent
}

// Guards against less urgent requests that starve while more urgent ones wait, and against a floor that each entry grants in full.
func TestFloorOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.Float64Range(0, 0.9).Draw(t, "floor")
		sendRate := rapid.Float64Range(5, 100).Draw(t, "send-rate")
		entries := rapid.IntRange(1, 30).Draw(t, "entries")
		seconds := rapid.IntRange(2, 10).Draw(t, "seconds")
		got := float64(floorSends(floor, sendRate, entries, time.Duration(seconds)*time.Second))
		// The last dispatch is 100 ms before the end. The credit of each entry starts and ends between 0 and 1.
		share := floor / (1 - floor) * sendRate * (float64(seconds) - 0.1)
		if got > share+float64(entries) || got < share-float64(entries) {
			t.Errorf("%v sent by the floor, want about %.1f", got, share)
		}
	})
}

// floorSite is a site that sends urgent requests at a constant rate while others of them are refused. Less urgent ones arrive at random
// entries, can use the floor for a short time, and are refused after it.
type floorSite struct {
	queues      []*overload.Queue[string]
	table       siteload.Table
	sendRate    float64
	arrivalRate float64
	eligibleFor time.Duration
	sent        int
}

// step plays one interval between two reports.
func (p *floorSite) step(at time.Duration, random *rand.Rand) {
	const interval, steps = 200 * ms, 20
	sentBefore := p.sent
	for i := range steps {
		now := startTime.Add(at + interval*time.Duration(i)/steps)
		for _, q := range p.queues {
			if random.Float64() < p.arrivalRate*(interval/steps).Seconds()/float64(len(p.queues)) {
				r := requestOf(patient, now.Sub(startTime)+p.eligibleFor)
				r.QueuedAt = now.Add(-p.eligibleFor)
				q.Add(now, r, "patient")
			}
			q.Dispatch(now, func(queued *overload.Queued[string], _ overload.Rank) bool {
				if claim := q.Claim(now, queued); !claim.Floor {
					return false
				}
				q.UseFloor(queued)
				p.sent++
				return true
			}, func(*overload.Queued[string]) {})
		}
	}
	urgentSent := int(p.sendRate * interval.Seconds())
	report := siteload.QueueReport{Levels: []siteload.LevelReport{
		{Urgency: urgent, Arrived: 2 * urgentSent, Sent: urgentSent, Refused: urgentSent, Prompt: 1000, Aim: 300 * ms},
		{Urgency: patient, Arrived: int(p.arrivalRate * interval.Seconds()), Sent: p.sent - sentBefore},
	}}
	now := startTime.Add(at + interval)
	p.table.Apply(now, "all", &siteload.Report{Queues: []siteload.QueueReport{report}})
	for _, q := range p.queues {
		q.SetSite(now, overload.Site{Levels: p.table.Summary(now).Queues[0].Levels, Entries: len(p.queues)})
	}
}

// Guards against a floor that is a part short, because entries without a less urgent request leave their credit unused.
func TestFloorIsKeptByEntriesWithRequests(t *testing.T) {
	const entries, floor, warmUp, duration = 30, 0.25, 2 * time.Second, 20 * time.Second
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := &floorSite{sendRate: 20, arrivalRate: 12, eligibleFor: 200 * ms}
		for range entries {
			p.queues = append(p.queues, &overload.Queue[string]{Floor: floor, Phase: random.Float64})
		}
		for at := time.Duration(0); at < warmUp+duration; at += 200 * ms {
			if at == warmUp {
				p.sent = 0
			}
			p.step(at, random)
		}
		if want := floor / (1 - floor) * p.sendRate * duration.Seconds(); float64(p.sent) < want {
			t.Errorf("seed %d: %d less urgent requests were sent, want at least %.0f", seed, p.sent, want)
		}
	}
}

// Guards against capacity that is kept back from a request while no more urgent one is around, whatever else is known of the site.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var levels []siteload.LevelSummary
		for i := range rapid.IntRange(0, 3).Draw(t, "levels") {
			levels = append(levels, siteload.LevelSummary{
				Urgency: patient + siteload.Urgency(i), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), ArrivalRate: rapid.Float64Range(0, 99).Draw(t, "arrivals"),
				SendRate: rapid.Float64Range(0, 99).Draw(t, "sends"), RefusalRate: rapid.Float64Range(0, 99).Draw(t, "refusals"), Aim: 100 * ms,
			})
		}
		q := &overload.Queue[string]{Floor: rapid.Float64Range(0, 1).Draw(t, "floor")}
		if claim := claimAt(q, 0, overload.Site{Levels: levels, Entries: 9}); claim.Restricts() {
			t.Errorf("%+v must be left to others", claim)
		}
	})
}

// BenchmarkDispatchByUrgency is one dispatch of 1,000 waiting requests of three urgencies without any capacity.
func BenchmarkDispatchByUrgency(b *testing.B) {
	q := overload.Queue[int]{Floor: 0.25}
	var levels []siteload.LevelSummary
	for u := range siteload.Urgency(3) {
		levels = append(levels, siteload.LevelSummary{Urgency: u, Waiting: 333, ArrivalRate: 100, SendRate: 50, MeanPrompt: 1000, Aim: 300 * ms})
	}
	for i := range 1000 {
		r := requestOf(siteload.Urgency(i%3), time.Hour)
		q.Add(startTime, r, i)
	}
	q.SetSite(startTime, overload.Site{Levels: levels, Entries: 74})
	send := func(queued *overload.Queued[int], _ overload.Rank) bool {
		claim := q.Claim(startTime, queued)
		return claim.Floor
	}
	refuse := func(*overload.Queued[int]) {}
	b.ReportAllocs()
	for b.Loop() {
		q.Dispatch(startTime, send, refuse)
	}
}
