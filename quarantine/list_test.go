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

// TestMain fixes the seed of property tests unless one is given.
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

// Three upstreams in a row hold a work for a minute, each further one for twice as long, up to an hour.
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
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if list.Remaining(startTime, quarantine.Fingerprint{Customer: "other", Content: 7}) > 0 || list.Remaining(startTime, quarantine.Fingerprint{Customer: "office", Content: 8}) > 0 {
		t.Error("other work is held")
	}
}

// The same end counts once, whoever tells of it and how often.
func TestCrashCountsOnce(t *testing.T) {
	list := newList()
	for range 5 {
		report := list.Crashed(startTime, testFingerprint, crashID(1))
		list.Merge(startTime, &report)
	}
	if got := list.Crashes(testFingerprint); got != 1 {
		t.Errorf("%d ends, want 1", got)
	}
}

// A whole answer clears the ends before it, here and at everybody who hears of it, and late reports of them change nothing.
func TestAnswerClearsCrashes(t *testing.T) {
	a, b := newList(), newList()
	var reports []quarantine.Report
	for n := range 3 {
		reports = append(reports, a.Crashed(startTime, testFingerprint, crashID(n)))
		b.Merge(startTime, &reports[n])
	}
	if b.Remaining(startTime, testFingerprint) == 0 {
		t.Fatal("not held after three ends that were told")
	}
	cleared, ok := a.Answered(startTime, testFingerprint)
	if !ok {
		t.Fatal("nothing to tell of an answer that clears")
	}
	b.Merge(startTime, &cleared)
	for i := range reports {
		b.Merge(startTime, &reports[i])
	}
	if a.Remaining(startTime, testFingerprint) > 0 || b.Remaining(startTime, testFingerprint) > 0 || b.Crashes(testFingerprint) > 0 {
		t.Errorf("held after an answer: %v, %v, %d ends", a.Remaining(startTime, testFingerprint), b.Remaining(startTime, testFingerprint), b.Crashes(testFingerprint))
	}
	if _, ok := a.Answered(startTime, testFingerprint); ok {
		t.Error("a second answer is told")
	}
}

// Work whose time is up is tried by one; the others wait until they hear how it went, or for a while.
func TestOneTrialAtATime(t *testing.T) {
	a, b := newList(), newList()
	for n := range 3 {
		report := a.Crashed(startTime, testFingerprint, crashID(n))
		b.Merge(startTime, &report)
	}
	later := startTime.Add(61 * time.Second)
	if a.Remaining(later, testFingerprint) > 0 || b.Remaining(later, testFingerprint) > 0 {
		t.Fatal("still held")
	}
	report, ok := a.BeginTrial(later, testFingerprint)
	if !ok {
		t.Fatal("nothing to tell of a try")
	}
	b.Merge(later, &report)
	if a.Remaining(later, testFingerprint) == 0 || b.Remaining(later, testFingerprint) == 0 {
		t.Error("a second try is let in beside the first")
	}
	if b.Remaining(later.Add(11*time.Second), testFingerprint) > 0 {
		t.Error("held although nothing was heard of the try for long")
	}
	report = a.Crashed(later, testFingerprint, crashID(3))
	b.Merge(later, &report)
	if got := b.Remaining(later, testFingerprint); got != 2*time.Minute {
		t.Errorf("held for %v after a fourth end, want 2m", got)
	}
}

// One that hears of held work late holds it no longer than the others.
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
		t.Errorf("held (-first +late):\n%s", diff)
	}
}

// Ever new work that ends one upstream each pushes out neither what is held nor more than the bound allows.
func TestMemoryIsBounded(t *testing.T) {
	list := newList()
	for n := range 3 {
		list.Crashed(startTime, testFingerprint, crashID(n))
	}
	for n := range 50_000 {
		list.Crashed(startTime.Add(time.Duration(n)*time.Millisecond), quarantine.Fingerprint{Content: ident.Content(1000 + n)}, crashID(n))
	}
	if list.Len() > list.Rule.MaxRecords {
		t.Errorf("%d records, want %d at most", list.Len(), list.Rule.MaxRecords)
	}
	if list.Remaining(startTime.Add(50*time.Second), testFingerprint) == 0 {
		t.Error("held work was pushed out")
	}
	list.ToSend(startTime.Add(3*time.Hour), 1)
	if list.Len() > 0 {
		t.Errorf("%d records after hours without news", list.Len())
	}
}

// What cannot be true in a report does no harm: ages below zero and beyond all bounds, too many ends.
func TestInvalidReports(t *testing.T) {
	for _, age := range []int64{-1 << 62, -1, 1 << 62} {
		list := newList()
		r := quarantine.Report{Content: 7, Customer: "office", AgeMS: age}
		for n := range 1000 {
			r.Ends = append(r.Ends, crashID(n))
		}
		list.Merge(startTime, &r)
		if got := list.Remaining(startTime, testFingerprint); got > time.Hour {
			t.Errorf("age %d: held for %v", age, got)
		}
		if got := list.Crashes(testFingerprint); got > 9 {
			t.Errorf("%d ends are kept", got)
		}
	}
}

// Lists that have heard the same reports know the same, in whatever order these came and how often each.
func TestReportsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []quarantine.Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			r := quarantine.Report{Customer: "office", Content: ident.Content(rapid.IntRange(0, 1).Draw(t, "content"))}
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
			t.Fatalf("what is known (-one order +another):\n%s", diff)
		}
		if a.Digest(startTime) != b.Digest(startTime) {
			t.Fatal("the same knowledge has two sums")
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

// BenchmarkRemaining is what each request pays at an entry that remembers as much as it may.
func BenchmarkRemaining(b *testing.B) {
	list := newList()
	for n := range list.Rule.MaxRecords {
		list.Crashed(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n)}, crashID(n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		list.Remaining(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n % 10_000)})
	}
}

// BenchmarkDigest is what a change costs that has to be told, with as many records as there may be.
func BenchmarkDigest(b *testing.B) {
	list := newList()
	for n := range list.Rule.MaxRecords {
		list.Crashed(startTime, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n)}, crashID(n))
	}
	for n := 0; b.Loop(); n++ {
		list.Crashed(startTime, testFingerprint, crashID(n))
		list.Digest(startTime)
	}
}
