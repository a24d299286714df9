package site_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/transport"
)

// loadReport is what an entry reports of two urgencies of a model.
func loadReport() *siteload.Report {
	queue := siteload.QueueReport{
		Key: siteload.Key{Service: "m", Model: "one"},
		Levels: []siteload.LevelReport{
			{Urgency: 1002, Waiting: 7, Arrived: 40, Sent: 10, Refused: 20}, {Urgency: 1001, Waiting: 2, Arrived: 30, Sent: 30, Refused: 10},
		},
	}
	for range 20 {
		queue.FirstEvents.Add(12 * time.Millisecond)
	}
	answers := &answerlen.Estimator{}
	for range 10 {
		answers.Add(time.Now(), answerlen.Key{Class: "summary", Model: "one"}, 60, 30)
	}
	return &siteload.Report{Queues: []siteload.QueueReport{queue}, Answers: answers.TakeReport()}
}

// checkLoad checks the load at a leader to which two entries sent loadReport.
func checkLoad(t *testing.T, got *site.LoadState) {
	t.Helper()
	if len(got.Queues) != 1 || len(got.Queues[0].Levels) != 2 || got.Queues[0].Delay == nil || len(got.Answers) != 1 {
		t.Fatalf("load %+v", got)
	}
	queue, answers := got.Queues[0], got.Answers[0]
	var waiting []site.LevelState
	for _, l := range queue.Levels {
		if l.Arrived <= l.Sent/2 || l.Sent <= 0 || l.Refused <= 0 {
			t.Errorf("rates of urgency %d: %+v", l.Urgency, l)
		}
		waiting = append(waiting, site.LevelState{Urgency: l.Urgency, Waiting: l.Waiting})
	}
	if diff := cmp.Diff([]site.LevelState{{Urgency: 1001, Waiting: 4}, {Urgency: 1002, Waiting: 14}}, waiting); diff != "" {
		t.Errorf("waiting requests (-want +got):\n%s", diff)
	}
	if queue.Service != "m" || queue.Model != "one" || queue.AgeMS < 0 || queue.Delay.MeanMS < 11.9 || queue.Delay.MeanMS > 12.1 || queue.Delay.Samples <= 0 {
		t.Errorf("queue %+v with delay %+v", queue, queue.Delay)
	}
	if answers.Class != "summary" || answers.Model != "one" || answers.Mean < 59 || answers.Mean > 61 || answers.Ratio < 1.9 || answers.Ratio > 2.1 {
		t.Errorf("answers %+v", answers)
	}
}

// Guards against a state whose load gets lost between the leader and the control daemon that an operator asks, and against sums that hold
// only one entry's requests. Metrics of the leader must have the same, and none once it no longer leads.
func TestInspectShowsLoad(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	// Followers name the leader and take no report, so that each entry reports to all.
	report := func(entry string) {
		for _, address := range d.peers(hosts...) {
			client := link.NewClient(address, "Site")
			var reply site.SyncReply
			_ = client.Call(context.Background(), time.Second, "Sync", &site.SyncCall{From: entry, Entry: true, Load: loadReport()}, &reply)
			client.Close()
		}
	}
	for _, host := range hosts {
		var s *site.State
		d.waitUntil("both entries' requests are shown", func() bool {
			report("a")
			report("b")
			var err error
			s, err = site.Inspect(context.Background(), transport.TCP(), d.peers(host))
			return err == nil && len(s.Load.Queues) == 1 && len(s.Load.Queues[0].Levels) == 2 && s.Load.Queues[0].Levels[0].Waiting == 4
		})
		checkLoad(t, &s.Load)
	}
	// published waits until one daemon's metrics, and no other's, have a number of waiting requests.
	published := func(want string) (host string) {
		d.waitUntil(want+" waiting requests are published", func() bool {
			report("a")
			report("b")
			count := 0
			for h, r := range d.running {
				if strings.Contains(r.control.Metrics(), `dunlinquay_load_waiting_requests{model="one",service="m",urgency="1002"} `+want) {
					count, host = count+1, h
				}
			}
			return count == 1
		})
		return host
	}
	leader := published("14")
	for _, host := range hosts {
		if host != leader {
			d.kill(host)
		}
	}
	published("0")
}

// Guards against a delay that is shown although no first event has arrived, where operators must see that it is not known.
func TestLoadWithoutFirstEvents(t *testing.T) {
	leader := site.NewLeadership()
	if diff := cmp.Diff(site.LoadState{}, leader.LoadState()); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	leader.ApplyCall(&site.SyncCall{From: "a", Entry: true, Load: &siteload.Report{Queues: []siteload.QueueReport{{Key: siteload.Key{Service: "m", Model: "one"}}}}})
	want := site.LoadState{Queues: []site.QueueState{{Service: "m", Model: ident.Model("one")}}}
	if diff := cmp.Diff(want, leader.LoadState()); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
}
