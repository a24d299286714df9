package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// moment is longer than the time within which crashes count as one.
const moment = 70 * time.Millisecond

func part(id ident.PromptPart) quarantine.Fingerprint {
	return quarantine.PartFingerprint("service", "model", id)
}

// crashParts notes count crashes under requests with these parts, moment apart, and returns the time of the last one.
func crashParts(list *quarantine.List, now time.Time, first, count int, parts ...quarantine.Fingerprint) time.Time {
	for n := range count {
		now = now.Add(moment)
		for _, p := range parts {
			list.Crashed(now, p, crashID(first+n))
		}
	}
	return now
}

func remaining(list *quarantine.List, now time.Time, parts ...quarantine.Fingerprint) time.Duration {
	d, _ := list.RemainingOfParts(now, parts)
	return d
}

// Crashes at three moments quarantine a part, shortly at first; each trial that ends in a crash leads to a longer quarantine.
func TestPartQuarantineDuration(t *testing.T) {
	list := newList()
	bad := part("bad")
	now := startTime
	var got []time.Duration
	for n := range 9 {
		now = now.Add(moment)
		list.BeginTrial(now, bad)
		list.Crashed(now, bad, crashID(n))
		d := remaining(list, now, bad)
		got = append(got, d)
		now = now.Add(d)
	}
	want := []time.Duration{0, 0, 2 * time.Second, 20 * time.Second, time.Hour, 24 * time.Hour, 168 * time.Hour, 168 * time.Hour, 168 * time.Hour}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("quarantined (-want +got):\n%s", diff)
	}
	if remaining(list, now.Add(-time.Second), part("other")) > 0 || remaining(list, now.Add(-time.Second), quarantine.PartFingerprint("service", "other", "bad")) > 0 {
		t.Error("another part, or the part at another model, is quarantined")
	}
}

// Requests that were sent before a quarantine crash further upstreams; these are no trials, and do not prolong it beyond its first length.
func TestCrashesAfterTheQuarantineBegan(t *testing.T) {
	list := newList()
	now := crashParts(list, startTime, 0, 8, part("bad"))
	if got := remaining(list, now, part("bad")); got != 2*time.Second {
		t.Errorf("quarantined for %v, want 2s", got)
	}
}

// Upstreams that crash at one moment, in whatever number, count once.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	a, b := newList(), newList()
	for n := range 30 {
		report := a.Crashed(startTime.Add(time.Duration(n)*time.Millisecond), part("common"), crashID(n))
		b.Merge(startTime.Add(time.Duration(n+5)*time.Millisecond), &report)
	}
	now := startTime.Add(moment)
	if remaining(a, now, part("common")) > 0 || remaining(b, now, part("common")) > 0 {
		t.Error("a part is quarantined after crashes at one moment")
	}
}

// An answer that has begun clears a part everywhere, also while it is quarantined; late reports change nothing.
func TestBegunAnswerClearsPart(t *testing.T) {
	a, b := newList(), newList()
	var reports []quarantine.Report
	now := startTime
	for n := range 4 {
		now = now.Add(moment)
		reports = append(reports, a.Crashed(now, part("sound"), crashID(n)))
		b.Merge(now, &reports[n])
	}
	if remaining(b, now, part("sound")) == 0 {
		t.Fatal("not quarantined after four reported crashes")
	}
	cleared, ok := a.Answered(now, part("sound"))
	if !ok {
		t.Fatal("no report of an answer that clears crashes")
	}
	b.Merge(now, &cleared)
	for i := range reports {
		b.Merge(now, &reports[i])
	}
	if remaining(a, now, part("sound")) > 0 || remaining(b, now, part("sound")) > 0 {
		t.Error("quarantined after an answer")
	}
}

// If a sound part reaches the limit together with the cause, requests without the cause are admitted one at a time, with it none.
func TestCrashesThatAnotherPartExplains(t *testing.T) {
	list := newList()
	bad, sound := part("bad"), part("sound")
	now := crashParts(list, startTime, 0, 1, sound)
	now = crashParts(list, now, 1, 4, sound, bad)
	if remaining(list, now, sound, bad) == 0 {
		t.Error("a request with both parts is admitted")
	}
	if got := remaining(list, now, sound); got > 0 {
		t.Errorf("a request without the bad part is refused for %v", got)
	}
	if _, ok := list.BeginTrial(now, sound); !ok {
		t.Error("no report of the trial")
	}
	if remaining(list, now, sound) == 0 {
		t.Error("a second trial is admitted during the first")
	}
	list.Answered(now, sound)
	if remaining(list, now, sound) > 0 || remaining(list, now, bad) == 0 {
		t.Error("want only the sound part cleared")
	}
}

// One request that crashes upstreams and is repeated does not lead to a quarantine of its parts, which other requests share.
func TestCrashesThatAContentExplains(t *testing.T) {
	list := newList()
	now := crashParts(list, startTime, 0, 4, testFingerprint, part("sound"))
	if list.Remaining(now, testFingerprint) == 0 {
		t.Error("the content is not quarantined")
	}
	if got := remaining(list, now, part("sound")); got > 0 {
		t.Errorf("another request with the part is refused for %v", got)
	}
}

// Requests with a bad part that are repeated do not explain its crashes together, by their contents or by parts that few others have.
func TestRepeatedRequestsDoNotExplainABadPart(t *testing.T) {
	list := newList()
	now := startTime
	for n := range 3 {
		content := quarantine.Fingerprint{Customer: "office", Content: ident.ContentHash(n)}
		now = crashParts(list, now, 3*n, 3, part("bad"), part(ident.PromptPart(fmt.Sprint("few-", n))), content)
	}
	if got := remaining(list, now, part("bad"), part("few-9")); got != 2*time.Second {
		t.Errorf("refused for %v, want 2s", got)
	}
}

// If the trial crashes as well, the part is refused by itself from the second such crash on.
func TestTwoBadParts(t *testing.T) {
	list := newList()
	one, two := part("one"), part("two")
	now := crashParts(list, startTime, 0, 4, one, two)
	for n := range 2 {
		if got := remaining(list, now, two); got > 0 {
			t.Errorf("refused for %v after %d crashes of the second part alone", got, n)
		}
		now = now.Add(moment)
		list.BeginTrial(now, two)
		list.Crashed(now, two, crashID(10+n))
	}
	if remaining(list, now, two) == 0 {
		t.Error("admitted after two crashes of the second part alone")
	}
}

// Ever new parts neither exceed the bound nor evict a quarantined one.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	list := newList()
	crashParts(list, startTime, 0, 4, part("bad"))
	for n := range 50_000 {
		list.Crashed(startTime.Add(time.Duration(n)*20*time.Microsecond), part(ident.PromptPart(fmt.Sprint(n))), crashID(n))
	}
	if list.Len() > list.Rule.MaxRecords {
		t.Errorf("%d records, want %d at most", list.Len(), list.Rule.MaxRecords)
	}
	if remaining(list, startTime.Add(time.Second), part("bad")) == 0 {
		t.Error("the quarantined part was evicted")
	}
	list.ToSend(startTime.Add(3*time.Hour), 1)
	if got := list.Len(); got != 1 {
		t.Errorf("%d records after hours without changes, want that of the quarantined part", got)
	}
	list.ToSend(startTime.Add(30*time.Hour), 1)
	if got := list.Len(); got != 0 {
		t.Errorf("%d records after a day without changes", got)
	}
}

// Invalid reports on a part do no harm, and a report that lost its part on the way through an older daemon does not count for the part.
func TestInvalidPartReports(t *testing.T) {
	for _, n := range []int{-1 << 60, -1, 1 << 60} {
		list := newList()
		r := quarantine.Report{Content: part("p").Content, Part: "p", AgeMS: int64(n), Moments: n, FailedTrials: n, Ends: []quarantine.CrashID{1}}
		list.Merge(startTime, &r)
		if got := remaining(list, startTime, part("p")); got > 168*time.Hour {
			t.Errorf("%d: quarantined for %v", n, got)
		}
		report := list.Crashed(startTime.Add(time.Second), part("p"), 2)
		if report.Moments > quarantine.MaxCrashes {
			t.Errorf("%d: %d moments are kept", n, report.Moments)
		}
	}
	list := newList()
	crashParts(list, startTime, 0, 4, part("p"))
	report := list.ToSend(startTime, 1)[0]
	report.Part, report.Moments, report.FailedTrials = "", 0, 0
	receiver := newList()
	receiver.Merge(startTime, &report)
	if got := remaining(receiver, startTime, part("p")); got > 0 {
		t.Errorf("quarantined for %v by a report without its part", got)
	}
}

// agesWithinASecond lets ages of a crash differ by what it takes until several processes have detected it.
var agesWithinASecond = cmp.FilterPath(func(p cmp.Path) bool { return p.String() == "AgeMS" }, cmp.Comparer(func(a, b int64) bool {
	return max(a, b)-min(a, b) <= 1000
}))

// Lists that have exchanged all reports on a part agree on its quarantine, whatever the order of the reports.
func TestPartReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*quarantine.List{newList(), newList(), newList()}
		now := startTime
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			list := lists[rapid.IntRange(0, 2).Draw(t, "list")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				list.Answered(now, part("p"))
			case 1:
				list.BeginTrial(now, part("p"))
			default:
				report := list.Crashed(now, part("p"), crashID(rapid.IntRange(0, 30).Draw(t, "crash")))
				if rapid.Bool().Draw(t, "arrives") {
					lists[rapid.IntRange(0, 2).Draw(t, "receiver")].Merge(now, &report)
				}
			}
		}
		exchangeAll(now, lists)
		for _, list := range lists[1:] {
			if diff := cmp.Diff(lists[0].Kept(now), list.Kept(now), agesWithinASecond); diff != "" {
				t.Fatalf("kept reports of two lists:\n%s", diff)
			}
		}
	})
}

// exchangeAll sends all reports of each list to all others.
func exchangeAll(now time.Time, lists []*quarantine.List) {
	for range 3 {
		for _, from := range lists {
			for _, to := range lists {
				for _, r := range from.ToSend(now, 10) {
					to.Merge(now, &r)
				}
			}
		}
	}
}

// partDay is a day of requests with a bad part at several entries. Reports arrive late or are lost, and entries restart.
type partDay struct {
	random  *rand.Rand
	lists   []*quarantine.List
	pending []pendingReport
	// crashes are the times of all crashes.
	crashes []time.Time
}

type pendingReport struct {
	at     time.Time
	to     int
	report quarantine.Report
}

// publish sends a report to all lists, as often as entries do; one in three is lost.
func (d *partDay) publish(now time.Time, from int, report quarantine.Report) {
	for range 3 {
		for to := range d.lists {
			if to != from && d.random.IntN(3) > 0 {
				d.pending = append(d.pending, pendingReport{now.Add(5 * time.Millisecond), to, report})
			}
		}
	}
}

// step delivers what has arrived, and exchanges one batch as entries do.
func (d *partDay) step(now time.Time) {
	kept := d.pending[:0]
	for _, p := range d.pending {
		if p.at.After(now) {
			kept = append(kept, p)
			continue
		}
		d.lists[p.to].Merge(now, &p.report)
	}
	d.pending = kept
	from, to := d.random.IntN(len(d.lists)), d.random.IntN(len(d.lists))
	for _, r := range d.lists[from].ToSend(now, 4) {
		d.lists[to].Merge(now, &r)
	}
}

// request sends a request at a random entry; its upstream crashes later.
func (d *partDay) request(now time.Time) (entry int, sent bool) {
	entry = d.random.IntN(len(d.lists))
	if remaining(d.lists[entry], now, part("common"), part("bad")) > 0 {
		return entry, false
	}
	if report, ok := d.lists[entry].BeginTrial(now, part("bad")); ok {
		d.publish(now, entry, report)
	}
	return entry, true
}

// A part that is requested all day reaches at most three upstreams later than 3 s after the fifth crash, although reports are lost and entries
// restart, one each minute.
func TestPartRequestedAllDay(t *testing.T) {
	for seed := range uint64(20) {
		d := &partDay{random: rand.New(rand.NewPCG(seed, 1))}
		for range 8 {
			d.lists = append(d.lists, newList())
		}
		type run struct {
			entry int
			endAt time.Time
		}
		var running []run
		const interval = 170 * time.Millisecond
		for now := startTime; now.Before(startTime.Add(20 * time.Hour)); now = now.Add(interval) {
			d.step(now)
			for len(running) > 0 && !running[0].endAt.After(now) {
				d.crashes = append(d.crashes, running[0].endAt)
				report := d.lists[running[0].entry].Crashed(now, part("bad"), crashID(len(d.crashes)))
				d.publish(now, running[0].entry, report)
				running = running[1:]
			}
			if entry, sent := d.request(now); sent {
				running = append(running, run{entry, now.Add(200 * time.Millisecond)})
			}
			if now.Sub(startTime)%time.Minute < interval {
				restarted := d.random.IntN(len(d.lists))
				kept := d.lists[(restarted+1)%len(d.lists)].Kept(now)
				d.lists[restarted] = newList()
				for i := range kept {
					d.lists[restarted].Merge(now, &kept[i])
				}
			}
			if now.Sub(startTime) > time.Minute && len(d.crashes) > 0 && now.Sub(startTime) < 19*time.Hour {
				// Nothing is decided between two trials; most of that time is skipped.
				if wait := remaining(d.lists[0], now, part("bad")); wait > 10*time.Second && len(running) == 0 {
					exchangeAll(now, d.lists)
					now = now.Add(wait/2 - interval)
				}
			}
		}
		late := 0
		for _, at := range d.crashes {
			if len(d.crashes) > 4 && at.Sub(d.crashes[4]) > 3*time.Second {
				late++
			}
		}
		if late > 3 {
			t.Errorf("seed %d: %d crashes later than 3 s after the fifth, want at most 3; crashes at %v", seed, late, sinceStart(d.crashes))
		}
	}
}

func sinceStart(times []time.Time) []time.Duration {
	list := make([]time.Duration, len(times))
	for i, at := range times {
		list[i] = at.Sub(startTime)
	}
	return list
}

// BenchmarkRemainingOfParts is the check that each request needs, with the maximum number of records, and the same for a request whose part is
// quarantined.
func BenchmarkRemainingOfParts(b *testing.B) {
	list := newList()
	crashParts(list, startTime, 0, 4, part("bad"))
	for n := range list.Rule.MaxRecords {
		list.Crashed(startTime, part(ident.PromptPart(fmt.Sprint(n))), crashID(n))
	}
	for name, id := range map[string]ident.PromptPart{"sound": "sound", "quarantined": "bad"} {
		b.Run(name, func(b *testing.B) {
			parts := []quarantine.Fingerprint{part("1"), part("2"), part(id), part("own")}
			b.ReportAllocs()
			for b.Loop() {
				list.RemainingOfParts(startTime, parts)
			}
		})
	}
}
