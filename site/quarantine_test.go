package site_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// quarantineSyncer is one entry's quarantine list and the state of its syncs with the leader.
type quarantineSyncer struct {
	list         *quarantine.List
	leaderDigest uint64
	// sent and received count the reports sent to the leader and received from it.
	sent, received int
}

// newStoppedControl returns a control daemon that does not run, with its data folder.
func newStoppedControl(t *testing.T, dir string) *site.Control {
	t.Helper()
	cfg := settings.DefaultSite()
	cfg.Listen.Host, cfg.PeerPort, cfg.DataFolder = "127.0.0.1", 7000, dir
	c, err := site.NewControl(&cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.CloseFolder)
	return c
}

func (s *quarantineSyncer) sync(now time.Time, c *site.Control) {
	call := &site.SyncCall{Entry: true, HeldSum: s.list.Digest(now)}
	if call.HeldSum != s.leaderDigest {
		call.Held = s.list.ToSend(now, 32)
	}
	reply := c.MergeQuarantine(now, call)
	s.leaderDigest = reply.HeldSum
	for i := range reply.Held {
		s.list.Merge(now, &reply.Held[i])
	}
	s.sent += len(call.Held)
	s.received += len(reply.Held)
}

// Where no datagram reaches another entry, and three entries each saw one upstream crash, all entries quarantine the
// fingerprint once each has synced twice with the leader, an entry that starts later too. While all have the same
// reports, nothing is sent.
func TestQuarantineSpreadsThroughLeader(t *testing.T) {
	now := time.Now()
	leader := newStoppedControl(t, t.TempDir())
	fingerprint := quarantine.Fingerprint{Customer: "office", Content: 7}
	var entries []*quarantineSyncer
	for n := range 4 {
		s := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
		entries = append(entries, s)
		if n < 3 {
			s.list.Crashed(now, fingerprint, quarantine.CrashIDOf(ident.Incarnation(rune('a'+n))))
		}
	}
	for range 3 {
		for _, s := range entries {
			s.sync(now, leader)
		}
		now = now.Add(time.Second)
	}
	for n, s := range entries {
		if s.list.Remaining(now, fingerprint) == 0 {
			t.Errorf("entry %d does not quarantine the fingerprint, it knows of %d crashes", n, s.list.Crashes(fingerprint))
		}
		s.sent, s.received = 0, 0
	}
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		for _, s := range entries {
			s.sync(now, leader)
		}
	}
	for n, s := range entries {
		if s.sent+s.received > 0 {
			t.Errorf("entry %d sent %d and received %d reports although all have the same", n, s.sent, s.received)
		}
	}
}

// A quarantine report with the longest customer name and all crashes fits into a datagram.
func TestQuarantineReportFitsDatagram(t *testing.T) {
	a, _ := startPeerEntries(t)
	b, receivedByB := startPeerEntries(t)
	a.SetEntries(b.Address())
	report := quarantine.Report{
		Customer: ident.Customer(strings.Repeat("n", ident.MaxNameLength)), Content: 1<<64 - 1, Cleared: 1<<32 - 1, AgeMS: 3_600_000, Trying: true,
	}
	for n := range quarantine.MaxCrashes {
		report.Ends = append(report.Ends, ^quarantine.CrashID(n))
	}
	want := relay.EntryUpdate{QuarantineReport: &report}
	a.Enqueue(want)
	if diff := cmp.Diff(want, <-receivedByB); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
}

// Quarantine survives a restart of all daemons at once: a control daemon reads the reports from its folder, and sends
// them with the first sync.
func TestQuarantineSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	first := newStoppedControl(t, dir)
	now := time.Now()
	entry := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
	fingerprint := quarantine.Fingerprint{Customer: "office", Content: 7}
	for n := range 3 {
		entry.list.Crashed(now, fingerprint, quarantine.CrashIDOf(ident.Incarnation(rune('a'+n))))
	}
	entry.sync(now, first)
	if err := first.SaveRoster(); err != nil {
		t.Fatal(err)
	}
	first.CloseFolder()
	second := newStoppedControl(t, dir)
	second.LoadRoster()
	fresh := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
	fresh.sync(time.Now(), second)
	if fresh.list.Remaining(time.Now(), fingerprint) == 0 {
		t.Error("an entry that starts with all others does not quarantine what was in quarantine before")
	}
}

// A sync that sends the leader no reports does not advance the rotation of reports: all 36 are still due for other
// entries, four at a time.
func TestSyncDoesNotRotateReports(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	list, now := e.Quarantine(), clock.Now()
	for n := range 36 {
		list.Crashed(now, quarantine.Fingerprint{Content: ident.ContentHash(n)}, 1)
	}
	e.ApplyReply(now, &site.SyncReply{HeldSum: list.Digest(now)})
	sent := map[ident.ContentHash]bool{}
	for range 9 {
		if call := e.NextCall(); len(call.Held) > 0 {
			t.Errorf("%d reports in a call although the leader has all of them", len(call.Held))
		}
		for _, r := range list.ToSend(now, 4) {
			sent[r.Content] = true
		}
	}
	if len(sent) != 36 {
		t.Errorf("%d of 36 reports were due in nine calls of four", len(sent))
	}
}
