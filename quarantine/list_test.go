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

var start = time.Unix(1_000_000, 0)

func newList() *quarantine.List {
	return &quarantine.List{Rule: quarantine.DefaultRule()}
}

var work = quarantine.Fingerprint{Customer: "office", Content: 7}

func endOf(n int) quarantine.CrashID {
	return quarantine.CrashIDOf(ident.Incarnation(fmt.Sprint("life-", n)))
}

// Three upstreams in a row hold a work for a minute, each further one for twice as long, up to an hour.
func TestHolds(t *testing.T) {
	l := newList()
	now := start
	var got []time.Duration
	for n := range 12 {
		l.Crashed(now, work, endOf(n))
		held := l.Remaining(now, work)
		got = append(got, held)
		now = now.Add(held)
	}
	want := []time.Duration{0, 0}
	for _, minutes := range []int{1, 2, 4, 8, 16, 32, 60, 60, 60, 60} {
		want = append(want, time.Duration(minutes)*time.Minute)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if l.Remaining(start, quarantine.Fingerprint{Customer: "other", Content: 7}) > 0 || l.Remaining(start, quarantine.Fingerprint{Customer: "office", Content: 8}) > 0 {
		t.Error("other work is held")
	}
}

// The same end counts once, whoever tells of it and how often.
func TestAnEndCountsOnce(t *testing.T) {
	l := newList()
	for range 5 {
		tell := l.Crashed(start, work, endOf(1))
		l.Merge(start, &tell)
	}
	if got := l.Crashes(work); got != 1 {
		t.Errorf("%d ends, want 1", got)
	}
}

// A whole answer clears the ends before it, here and at everybody who hears of it, and late reports of them change nothing.
func TestAnAnswerClears(t *testing.T) {
	a, b := newList(), newList()
	var told []quarantine.Report
	for n := range 3 {
		told = append(told, a.Crashed(start, work, endOf(n)))
		b.Merge(start, &told[n])
	}
	if b.Remaining(start, work) == 0 {
		t.Fatal("not held after three ends that were told")
	}
	cleared, ok := a.Answered(start, work)
	if !ok {
		t.Fatal("nothing to tell of an answer that clears")
	}
	b.Merge(start, &cleared)
	for i := range told {
		b.Merge(start, &told[i])
	}
	if a.Remaining(start, work) > 0 || b.Remaining(start, work) > 0 || b.Crashes(work) > 0 {
		t.Errorf("held after an answer: %v, %v, %d ends", a.Remaining(start, work), b.Remaining(start, work), b.Crashes(work))
	}
	if _, ok := a.Answered(start, work); ok {
		t.Error("a second answer is told")
	}
}

// Work whose time is up is tried by one; the others wait until they hear how it went, or for a while.
func TestHeldWorkIsTriedByOne(t *testing.T) {
	a, b := newList(), newList()
	for n := range 3 {
		tell := a.Crashed(start, work, endOf(n))
		b.Merge(start, &tell)
	}
	later := start.Add(61 * time.Second)
	if a.Remaining(later, work) > 0 || b.Remaining(later, work) > 0 {
		t.Fatal("still held")
	}
	tell, ok := a.BeginTrial(later, work)
	if !ok {
		t.Fatal("nothing to tell of a try")
	}
	b.Merge(later, &tell)
	if a.Remaining(later, work) == 0 || b.Remaining(later, work) == 0 {
		t.Error("a second try is let in beside the first")
	}
	if b.Remaining(later.Add(11*time.Second), work) > 0 {
		t.Error("held although nothing was heard of the try for long")
	}
	tell = a.Crashed(later, work, endOf(3))
	b.Merge(later, &tell)
	if got := b.Remaining(later, work); got != 2*time.Minute {
		t.Errorf("held for %v after a fourth end, want 2m", got)
	}
}

// One that hears of held work late holds it no longer than the others.
func TestOneThatStartsLateHoldsAsLong(t *testing.T) {
	a, b := newList(), newList()
	for n := range 3 {
		a.Crashed(start, work, endOf(n))
	}
	now := start.Add(40 * time.Second)
	for _, r := range a.ToSend(now, 10) {
		b.Merge(now, &r)
	}
	if diff := cmp.Diff(a.Remaining(now, work), b.Remaining(now, work)); diff != "" {
		t.Errorf("held (-first +late):\n%s", diff)
	}
}

// Ever new work that ends one upstream each pushes out neither what is held nor more than the bound allows.
func TestMemoryIsBounded(t *testing.T) {
	l := newList()
	for n := range 3 {
		l.Crashed(start, work, endOf(n))
	}
	for n := range 50_000 {
		l.Crashed(start.Add(time.Duration(n)*time.Millisecond), quarantine.Fingerprint{Content: ident.Content(1000 + n)}, endOf(n))
	}
	if l.Len() > l.Rule.MaxRecords {
		t.Errorf("%d records, want %d at most", l.Len(), l.Rule.MaxRecords)
	}
	if l.Remaining(start.Add(50*time.Second), work) == 0 {
		t.Error("held work was pushed out")
	}
	l.ToSend(start.Add(3*time.Hour), 1)
	if l.Len() > 0 {
		t.Errorf("%d records after hours without news", l.Len())
	}
}

// What cannot be true in a report does no harm: ages below zero and beyond all bounds, too many ends.
func TestStrangeReports(t *testing.T) {
	for _, age := range []int64{-1 << 62, -1, 1 << 62} {
		l := newList()
		r := quarantine.Report{Content: 7, Customer: "office", AgeMS: age}
		for n := range 1000 {
			r.Ends = append(r.Ends, endOf(n))
		}
		l.Merge(start, &r)
		if got := l.Remaining(start, work); got > time.Hour {
			t.Errorf("age %d: held for %v", age, got)
		}
		if got := l.Crashes(work); got > 9 {
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
				r.Ends = append(r.Ends, endOf(rapid.IntRange(0, 20).Draw(t, "end")))
			}
			slices.Sort(r.Ends)
			reports = append(reports, r)
		}
		a, b := newList(), newList()
		for i := range reports {
			a.Merge(start, &reports[i])
		}
		for _, i := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
			b.Merge(start, &reports[i])
			b.Merge(start, &reports[rapid.IntRange(0, i).Draw(t, "again")])
		}
		if diff := cmp.Diff(a.ToSend(start, 10), b.ToSend(start, 10)); diff != "" {
			t.Fatalf("what is known (-one order +another):\n%s", diff)
		}
		if a.Digest(start) != b.Digest(start) {
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

// BenchmarkHeld is what each request pays at an entry that remembers as much as it may.
func BenchmarkHeld(b *testing.B) {
	l := newList()
	for n := range l.Rule.MaxRecords {
		l.Crashed(start, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n)}, endOf(n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		l.Remaining(start, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n % 10_000)})
	}
}

// BenchmarkSum is what a change costs that has to be told, with as many records as there may be.
func BenchmarkSum(b *testing.B) {
	l := newList()
	for n := range l.Rule.MaxRecords {
		l.Crashed(start, quarantine.Fingerprint{Customer: "office", Content: ident.Content(n)}, endOf(n))
	}
	for n := 0; b.Loop(); n++ {
		l.Crashed(start, work, endOf(n))
		l.Digest(start)
	}
}
