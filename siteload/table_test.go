package siteload_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
)

var (
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key       = siteload.Key{Service: "s", Model: "m"}
)

func reportOf(level siteload.LevelReport) *siteload.Report {
	return &siteload.Report{Queues: []siteload.QueueReport{{Key: key, Levels: []siteload.LevelReport{level}}}}
}

// Guards against rates that depend on how often entries report, and against waiting requests that are counted once for each report.
func TestSumsOfSteadyLoad(t *testing.T) {
	for _, tt := range []struct {
		name     string
		interval time.Duration
	}{
		{"reports every 100 ms", 100 * time.Millisecond},
		{"reports every 400 ms", 400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := &siteload.Table{}
			now := startTime
			for range 40 * time.Second / tt.interval {
				now = now.Add(tt.interval)
				for _, entry := range []string{"a", "b"} {
					n := int(40 * tt.interval / time.Second)
					table.Apply(now, entry, reportOf(siteload.LevelReport{Urgency: 1, Waiting: 3, Arrived: n, Sent: n / 2}))
				}
			}
			got := table.Summary(now).Queue(key)
			want := []siteload.LevelSummary{{Urgency: 1, Waiting: 6, ArrivalRate: 80, SendRate: 40}}
			if diff := cmp.Diff(want, got.Levels, cmpopts.EquateApprox(0.2, 0)); diff != "" {
				t.Errorf("levels (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against waiting requests of an entry that no longer reports, which would make all others refuse requests.
func TestWaitingOfLostEntry(t *testing.T) {
	table := &siteload.Table{}
	table.Apply(startTime, "lost", reportOf(siteload.LevelReport{Waiting: 100}))
	now := startTime.Add(2 * time.Second)
	table.Apply(now, "b", reportOf(siteload.LevelReport{Waiting: 1}))
	if got := table.Summary(now).Queue(key).Levels[0].Waiting; got != 1 {
		t.Errorf("%d requests wait, want 1", got)
	}
	table.Forget("b")
	if got := table.Summary(now).Queue(key).Levels[0].Waiting; got != 0 {
		t.Errorf("%d requests wait after the entry has stopped, want 0", got)
	}
}

// Guards against a mean over entries instead of over first events: an entry with few requests must not count as much as one with many.
func TestDelayIsWeightedByFirstEvents(t *testing.T) {
	table := &siteload.Table{}
	add := func(entry string, n int, delay time.Duration) {
		var sample siteload.DelaySample
		for range n {
			sample.Add(delay)
		}
		table.Apply(startTime, entry, &siteload.Report{Queues: []siteload.QueueReport{{Key: key, FirstEvents: sample}}})
	}
	add("a", 9, 10*time.Millisecond)
	add("b", 1, 110*time.Millisecond)
	// The standard deviation of nine times 10 ms and one time 110 ms is 30 ms, the mean deviation of a normal distribution 0.8 of it.
	want := siteload.DelaySummary{Mean: 20 * time.Millisecond, Deviation: 24 * time.Millisecond, Samples: 10}
	if diff := cmp.Diff(want, table.Summary(startTime).Queue(key).Delay, cmpopts.EquateApprox(1e-6, 0)); diff != "" {
		t.Errorf("delay (-want +got):\n%s", diff)
	}
}

// Guards against a report of a faulty entry that spoils the delays of all others.
func TestInvalidDelaysAreIgnored(t *testing.T) {
	var valid siteload.DelaySample
	for _, ms := range []int{-10, 5, 20} {
		valid.Add(time.Duration(ms) * time.Millisecond)
	}
	ms := float64(time.Millisecond)
	for _, tt := range []struct {
		name   string
		sample siteload.DelaySample
	}{
		{"a negative count", siteload.DelaySample{Count: -5, Sum: time.Second, Squares: 1}},
		{"delays without a count", siteload.DelaySample{Sum: time.Second, Squares: 1}},
		{"more first events than an entry can see", siteload.DelaySample{Count: 1 << 40}},
		{"a sum above the bound of each delay", siteload.DelaySample{Count: 2, Sum: time.Hour, Squares: 1e30}},
		{"a negative sum above the bound", siteload.DelaySample{Count: 2, Sum: -time.Hour, Squares: 1e30}},
		{"squares that are too small for the sum", siteload.DelaySample{Count: 2, Sum: 200 * time.Millisecond, Squares: 1e4 * ms * ms}},
		{"negative squares", siteload.DelaySample{Count: 2, Squares: -1}},
		{"squares above the bound", siteload.DelaySample{Count: 2, Squares: 1e30}},
		{"squares that are not a number", siteload.DelaySample{Count: 2, Squares: math.NaN()}},
		{"infinite squares", siteload.DelaySample{Count: 2, Squares: math.Inf(1)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := &siteload.Table{}
			for entry, sample := range map[string]siteload.DelaySample{"a": valid, "faulty": tt.sample} {
				table.Apply(startTime, entry, &siteload.Report{Queues: []siteload.QueueReport{{Key: key, FirstEvents: sample}}})
			}
			// The variance of -10, 5 and 20 ms is 150 ms².
			want := siteload.DelaySummary{Mean: 5 * time.Millisecond, Deviation: time.Duration(0.8 * math.Sqrt(150) * ms), Samples: 3}
			if diff := cmp.Diff(want, table.Summary(startTime).Queue(key).Delay, cmpopts.EquateApprox(1e-6, 0)); diff != "" {
				t.Errorf("delay (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a deviation that contains the error of the entries' first estimates: after 50 first events it must be that of the delays.
func TestDeviationConvergesWithinFiftyFirstEvents(t *testing.T) {
	table := &siteload.Table{}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 50 {
		var sample siteload.DelaySample
		sample.Add(5*time.Millisecond + time.Duration(random.NormFloat64()*float64(20*time.Millisecond)))
		table.Apply(startTime, strconv.Itoa(i%20), &siteload.Report{Queues: []siteload.QueueReport{{Key: key, FirstEvents: sample}}})
	}
	got := table.Summary(startTime).Queue(key).Delay
	// The mean deviation of these delays is 16 ms; the bounds are three standard errors of 50 samples.
	if got.Deviation < 11*time.Millisecond || got.Deviation > 21*time.Millisecond || (got.Mean-5*time.Millisecond).Abs() > 9*time.Millisecond {
		t.Errorf("mean %v and deviation %v, want about 5 ms and 16 ms", got.Mean, got.Deviation)
	}
}

// Guards against memory that grows with the model names that callers invent.
func TestKeysAreBounded(t *testing.T) {
	table := &siteload.Table{}
	for i := range 1000 {
		table.Apply(startTime, "a", &siteload.Report{Queues: []siteload.QueueReport{{Key: siteload.Key{Model: ident.Model(strconv.Itoa(i))}}}})
	}
	if got := len(table.Summary(startTime).Queues); got > 64 {
		t.Errorf("%d keys are kept, want at most 64", got)
	}
}

// Guards against less urgent requests that are kept back by what more urgent ones needed long ago, or by the longest of their aims.
func TestNeedsOfLevel(t *testing.T) {
	const ms = time.Millisecond
	table := &siteload.Table{}
	table.Apply(startTime, "a", reportOf(siteload.LevelReport{Urgency: 1, Arrived: 2, Sent: 1, Prompt: 3000, Aim: 300 * ms, GapAim: 200 * ms}))
	table.Apply(startTime, "b", reportOf(siteload.LevelReport{Urgency: 1, Arrived: 1, Refused: 1, Prompt: 600, Aim: 500 * ms, GapAim: 250 * ms}))
	now := startTime.Add(400 * ms)
	table.Apply(now, "a", reportOf(siteload.LevelReport{Urgency: 1, Sent: 1}))
	got := table.Summary(now).Queue(key).Levels[0]
	want := siteload.LevelSummary{
		Urgency: 1, SinceArrival: 400 * ms, SinceRefusal: 400 * ms, MeanPrompt: 1200, Aim: 300 * ms, GapAim: 200 * ms,
	}
	rates := cmpopts.IgnoreFields(siteload.LevelSummary{}, "ArrivalRate", "SendRate", "RefusalRate")
	if diff := cmp.Diff(want, got, rates); diff != "" {
		t.Errorf("level (-want +got):\n%s", diff)
	}
	now = now.Add(11 * time.Second)
	table.Apply(now, "b", reportOf(siteload.LevelReport{Urgency: 1, Arrived: 1, Prompt: 600, Aim: 500 * ms, GapAim: 250 * ms}))
	if got := table.Summary(now).Queue(key).Levels[0].Aim; got != 500*ms {
		t.Errorf("aim %v long after the last request with a shorter one, want 500ms", got)
	}
}

func workOf(customer string, sent, unmet float64) siteload.CustomerWork {
	return siteload.CustomerWork{Customer: ident.Customer(customer), Usage: fairshare.Usage{Sent: sent, Unmet: unmet}}
}

// Guards against customers that are counted once for each entry instead of summed over all, and against corrections that are lost.
func TestWorkOfCustomersIsSummed(t *testing.T) {
	table := &siteload.Table{}
	table.Apply(startTime, "a", reportOf(siteload.LevelReport{Urgency: 1, Customers: []siteload.CustomerWork{workOf("x", 2, 1), workOf("y", 5, 0)}}))
	table.Apply(startTime, "b", reportOf(siteload.LevelReport{Urgency: 1, Customers: []siteload.CustomerWork{workOf("x", 4, 3)}}))
	table.Apply(startTime, "b", reportOf(siteload.LevelReport{Urgency: 1, Customers: []siteload.CustomerWork{workOf("x", 0, -1)}}))
	got := table.Summary(startTime).Queue(key).Level(1)
	want := []siteload.CustomerWork{workOf("x", 6, 3), workOf("y", 5, 0)}
	if diff := cmp.Diff(want, got.Customers); diff != "" || got.Others != 0 {
		t.Errorf("%d others, customers (-want +got):\n%s", got.Others, diff)
	}
}

// Guards against summaries and memory that grow with the number of customers; the sum must not change.
func TestCustomersOfSummaryAreBounded(t *testing.T) {
	table := &siteload.Table{}
	for i := range 50 {
		var customers []siteload.CustomerWork
		for j := range 100 {
			customers = append(customers, workOf(strconv.Itoa(i)+"."+strconv.Itoa(j), float64(i), 1))
		}
		table.Apply(startTime, "a", reportOf(siteload.LevelReport{Customers: customers}))
	}
	got := table.Summary(startTime).Queue(key).Level(0)
	sum := got.OthersWork
	for _, c := range got.Customers {
		sum = sum.Plus(c.Usage)
	}
	// A report counts for at most 64 customers, and 1,000 have accounts of their own.
	want := fairshare.Usage{Sent: 64 * 49 * 50 / 2, Unmet: 64 * 50}
	if diff := cmp.Diff(want, sum); diff != "" || len(got.Customers) != 32 || got.Others != 1000-32+1 {
		t.Errorf("%d customers and %d others, sum (-want +got):\n%s", len(got.Customers), got.Others, diff)
	}
}

// Guards against sums that include the work of customers at entries that no longer report.
func TestWorkOfLostEntriesDecays(t *testing.T) {
	table := &siteload.Table{}
	table.Apply(startTime, "lost", reportOf(siteload.LevelReport{Customers: []siteload.CustomerWork{workOf("x", 100, 0)}}))
	now := startTime.Add(10 * time.Second)
	got := table.Summary(now).Queue(key).Level(0)
	want := []siteload.CustomerWork{workOf("x", 100./32, 0)}
	if diff := cmp.Diff(want, got.Customers); diff != "" {
		t.Errorf("customers (-want +got):\n%s", diff)
	}
}

// Guards against returning callers that count after their time, and against invalid counts of a peer.
func TestReturningCallers(t *testing.T) {
	table := &siteload.Table{}
	table.Apply(startTime, "a", reportOf(siteload.LevelReport{Urgency: 1, Returning: []int{5, 0, 2, 4}}))
	now := startTime.Add(600 * time.Millisecond)
	table.Apply(now, "b", reportOf(siteload.LevelReport{Urgency: 1, Returning: []int{0, -7, 0, 1}}))
	tooMany := make([]int, 100)
	tooMany[99] = 9
	table.Apply(now, "c", reportOf(siteload.LevelReport{Urgency: 1, Returning: tooMany}))
	if diff := cmp.Diff([]int{2, 4, 0, 1}, table.Summary(now).Queue(key).Levels[0].Returning); diff != "" {
		t.Errorf("returning callers by slot (-want +got):\n%s", diff)
	}
}
