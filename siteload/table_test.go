package siteload_test

import (
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
			sample.Add(delay, 0)
		}
		table.Apply(startTime, entry, &siteload.Report{Queues: []siteload.QueueReport{{Key: key, FirstEvents: sample}}})
	}
	add("a", 9, 10*time.Millisecond)
	add("b", 1, 110*time.Millisecond)
	want := siteload.DelaySummary{Mean: 20 * time.Millisecond, Deviation: 20 * time.Millisecond, Samples: 10}
	if diff := cmp.Diff(want, table.Summary(startTime).Queue(key).Delay); diff != "" {
		t.Errorf("delay (-want +got):\n%s", diff)
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
