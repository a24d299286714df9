package quarantine_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// TestMain fixes the seed of the property tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1_000_000, 0)

func newList() *quarantine.List {
	return &quarantine.List{Rule: quarantine.DefaultRule()}
}

var testFingerprint = quarantine.Fingerprint{Customer: "office", Content: 7}

func crashID(n int) quarantine.CrashID {
	return quarantine.CrashIDOf(ident.Incarnation(fmt.Sprint("life-", n)))
}

// Three consecutive crashes quarantine a fingerprint for a minute; each further crash doubles that, up to an hour.
func TestQuarantineDuration(t *testing.T) {
	list := newList()
	now := startTime
	var got []time.Duration
	for n := range 12 {
		list.Crashed(now, testFingerprint, crashID(n))
		remaining := list.Remaining(now, testFingerprint)
		got = append(got, remaining)
		now = now.Add(remaining)
	}
	want := []time.Duration{0, 0}
	for _, minutes := range []int{1, 2, 4, 8, 16, 32, 60, 60, 60, 60} {
		want = append(want, time.Duration(minutes)*time.Minute)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("quarantined (-want +got):\n%s", diff)
	}
	if list.Remaining(startTime, quarantine.Fingerprint{Customer: "other", Content: 7}) > 0 || list.Remaining(startTime, quarantine.Fingerprint{Customer: "office", Content: 8}) > 0 {
		t.Error("another fingerprint is quarantined")
	}
}

// A crash counts once, however often it is noted and reported.
func TestCrashCountsOnce(t *testing.T) {
	list := newList()
	for range 5 {
		report := list.Crashed(startTime, testFingerprint, crashID(1))
		list.Merge(startTime, &report)
	}
	if got := list.Crashes(testFingerprint); got != 1 {
		t.Errorf("%d crashes, want 1", got)
	}
}

// A complete answer clears earlier crashes, locally and at every receiver of the report; late reports of these crashes change nothing.
func TestAnswerClearsCrashes(t *testing.T) {
	a, b := newList(), newList()
	var reports []quarantine.Report
	for n := range 3 {
		reports = append(reports, a.Crashed(startTime, testFingerprint, crashID(n)))
		b.Merge(startTime, &reports[n])
	}
	if b.Remaining(startTime, testFingerprint) == 0 {
		t.Fatal("not quarantined after three reported crashes")
	}
	cleared, ok := a.Answered(startTime, testFingerprint)
	if !ok {
		t.Fatal("no report of an answer that clears crashes")
	}
	b.Merge(startTime, &cleared)
	for i := range reports {
		b.Merge(startTime, &reports[i])
	}
	if a.Remaining(startTime, testFingerprint) > 0 || b.Remaining(startTime, testFingerprint) > 0 || b.Crashes(testFingerprint) > 0 {
		t.Errorf("quarantined after an answer: %v, %v, %d crashes", a.Remaining(startTime, testFingerprint), b.Remaining(startTime, testFingerprint), b.Crashes(testFingerprint))
	}
	if _, ok := a.Answered(startTime, testFingerprint); ok {
		t.Error("a second answer is reported")
	}
}

// When a quarantine has ended, one entry runs a trial; the others wait for its outcome, or for the trial timeout.
func TestOneTrialAtATime(t *testing.T) {
	a, b := newList(), newList()
	for n := range 3 {
		report := a.Crashed(startTime, testFingerprint, crashID(n))
		b.Merge(startTime, &report)
	}
	later := startTime.Add(61 * time.Second)
	if a.Remaining(later, testFingerprint) > 0 || b.Remaining(later, testFingerprint) > 0 {
		t.Fatal("still quarantined")
	}
	report, ok := a.BeginTrial(later, testFingerprint)
	if !ok {
		t.Fatal("no report of a trial")
	}
	b.Merge(later, &report)
	if a.Remaining(later, testFingerprint) == 0 || b.Remaining(later, testFingerprint) == 0 {
		t.Error("a second trial is admitted during the first")
	}
	if b.Remaining(later.Add(11*time.Second), testFingerprint) > 0 {
		t.Error("quarantined after the trial timeout")
	}
	report = a.Crashed(later, testFingerprint, crashID(3))
	b.Merge(later, &report)
	if got := b.Remaining(later, testFingerprint); got != 2*time.Minute {
		t.Errorf("quarantined for %v after a fourth crash, want 2m", got)
	}
}

// An entry that receives a report late ends the quarantine at the same time as the others.
func TestLateReceiverQuarantinesAsLong(t *testing.T) {
	a, b := newList(), newList()
	for n := range 3 {
		a.Crashed(startTime, testFingerprint, crashID(n))
	}
	now := startTime.Add(40 * time.Second)
	for _, r := range a.ToSend(now, 10) {
		b.Merge(now, &r)
	}
	if diff := cmp.Diff(a.Remaining(now, testFingerprint), b.Remaining(now, testFingerprint)); diff != "" {
		t.Errorf("quarantined (-first +late):\n%s", diff)
	}
}

// Many fingerprints with one crash each neither exceed the bound nor evict a quarantined one.
func TestMemoryIsBounded(t *testing.T) {
	list := newList()
	for n := range 3 {
		list.Crashed(startTime, testFingerprint, crashID(n))
	}
	for n := range 50_000 {
		list.Crashed(startTime.Add(time.Duration(n)*time.Millisecond), quarantine.Fingerprint{Content: ident.ContentHash(1000 + n)}, crashID(n))
	}
	if list.Len() > list.Rule.MaxRecords {
		t.Errorf("%d records, want %d at most", list.Len(), list.Rule.MaxRecords)
	}
	if list.Remaining(startTime.Add(50*time.Second), testFingerprint) == 0 {
		t.Error("the quarantined fingerprint was evicted")
	}
	list.ToSend(startTime.Add(3*time.Hour), 1)
	if list.Len() > 0 {
		t.Errorf("%d records after hours without changes", list.Len())
	}
}

// Invalid reports do no harm: negative and huge ages, too many crashes.
func TestInvalidReports(t *testing.T) {
	for _, age := range []int64{-1 << 62, -1, 1 << 62} {
		list := newList()
		r := quarantine.Report{Content: 7, Customer: "office", AgeMS: age}
		for n := range 1000 {
			r.Ends = append(r.Ends, crashID(n))
		}
		list.Merge(startTime, &r)
		if got := list.Remaining(startTime, testFingerprint); got > time.Hour {
			t.Errorf("age %d: quarantined for %v", age, got)
		}
		if got := list.Crashes(testFingerprint); got > 9 {
			t.Errorf("%d crashes are kept", got)
		}
	}
}

// Lists that have received the same reports are equal, whatever the order and repetition of the reports.
func TestReportsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []quarantine.Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			r := quarantine.Report{Customer: "office", Content: ident.ContentHash(rapid.IntRange(0, 1).Draw(t, "content"))}
			r.Cleared = uint32(rapid.IntRange(0, 2).Draw(t, "cleared"))
			for range rapid.IntRange(1, 4).Draw(t, "ends") {
				r.Ends = append(r.Ends, crashID(rapid.IntRange(0, 20).Draw(t, "end")))
			}
			slices.Sort(r.Ends)
			reports = append(reports, r)
		}
		a, b := newList(), newList()
		for i := range reports {
			a.Merge(startTime, &reports[i])
		}
		for _, i := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
			b.Merge(startTime, &reports[i])
			b.Merge(startTime, &reports[rapid.IntRange(0, i).Draw(t, "again")])
		}
		if diff := cmp.Diff(a.ToSend(startTime, 10), b.ToSend(startTime, 10)); diff != "" {
			t.Fatalf("reports (-one order +another):\n%s", diff)
		}
		if a.Digest(startTime) != b.Digest(startTime) {
			t.Fatal("equal lists have different digests")
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// BenchmarkRemaining is the check that each request needs, with the maximum number of records.
func BenchmarkRemaining(b *testing.B) {
	list := newList()
	for n := range list.Rule.MaxRecords {
		list.Crashed(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.ContentHash(n)}, crashID(n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		list.Remaining(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.ContentHash(n % 10_000)})
	}
}

// BenchmarkDigest is one change followed by a digest, with the maximum number of records.
func BenchmarkDigest(b *testing.B) {
	list := newList()
	for n := range list.Rule.MaxRecords {
		list.Crashed(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.ContentHash(n)}, crashID(n))
	}
	for n := 0; b.Loop(); n++ {
		list.Crashed(startTime, testFingerprint, crashID(n))
		list.Digest(startTime)
	}
}
