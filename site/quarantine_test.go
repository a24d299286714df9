package site_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
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

// Quarantine reports with the longest customer name or part, and all crashes, fit into a datagram.
func TestQuarantineReportFitsDatagram(t *testing.T) {
	a, _ := startPeerEntries(t)
	b, receivedByB := startPeerEntries(t)
	a.SetEntries(b.Address())
	for _, report := range []quarantine.Report{
		{Customer: ident.Customer(strings.Repeat("n", ident.MaxNameLength)), Content: 1<<64 - 1, Cleared: 1<<32 - 1, AgeMS: 3_600_000, Trying: true},
		{Part: ident.PromptPart(strings.Repeat("f", 32)), Content: 1<<64 - 1, Cleared: 1<<32 - 1, AgeMS: 7 * 24 * 3_600_000, Trying: true, Moments: 9, FailedTrials: 5},
	} {
		for n := range quarantine.MaxCrashes {
			report.Ends = append(report.Ends, ^quarantine.CrashID(n))
		}
		want := relay.EntryUpdate{QuarantineReport: &report}
		a.Enqueue(want)
		if diff := cmp.Diff(want, <-receivedByB); diff != "" {
			t.Errorf("received (-want +got):\n%s", diff)
		}
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

// An entry that has just started knows all quarantines after its first sync, before it is ready.
func TestFirstSyncHasAllQuarantines(t *testing.T) {
	now := time.Now()
	leader := newStoppedControl(t, t.TempDir())
	entry := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
	var parts []quarantine.Fingerprint
	for n := range 100 {
		parts = append(parts, quarantine.PartFingerprint("service", "model", ident.PromptPart(strconv.Itoa(n))))
		for i := range 3 {
			entry.list.Crashed(now.Add(time.Duration(i-3)*time.Second), parts[n], quarantine.CrashID(3*n+i))
		}
	}
	for range 10 {
		entry.sync(now, leader)
	}
	fresh := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
	fresh.sync(now, leader)
	for _, part := range parts {
		if remaining, _ := fresh.list.RemainingOfParts(now, []quarantine.Fingerprint{part}); remaining == 0 {
			t.Fatalf("part %s is not quarantined after the first sync, %d reports were received", part.Part, fresh.received)
		}
	}
}

// The quarantine of a part survives a restart of all daemons at once, also while it waits for its next trial.
func TestPartQuarantineSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	first := newStoppedControl(t, dir)
	now := time.Now()
	entry := &quarantineSyncer{list: &quarantine.List{Rule: quarantine.DefaultRule()}}
	part := quarantine.PartFingerprint("service", "model", "5c1e07a2")
	for n := range 3 {
		entry.list.Crashed(now.Add(time.Duration(n-60)*time.Second), part, quarantine.CrashID(n))
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
	if _, ok := fresh.list.BeginTrial(time.Now(), part); !ok {
		t.Error("the next request with the part is not a trial after a restart of all daemons")
	}
}

// Operators see a quarantined part, and end its quarantine at all entries by its name.
func TestReleaseOfAPromptPart(t *testing.T) {
	now := time.Now()
	leader := newStoppedControl(t, t.TempDir())
	part := quarantine.PartFingerprint("service", "model", "5c1e07a2")
	entries := []*quarantineSyncer{
		{list: &quarantine.List{Rule: quarantine.DefaultRule()}}, {list: &quarantine.List{Rule: quarantine.DefaultRule()}},
	}
	for n := range 3 {
		entries[0].list.Crashed(now.Add(time.Duration(n)*time.Second), part, quarantine.CrashID(n))
	}
	now = now.Add(2 * time.Second)
	for _, s := range entries {
		s.sync(now, leader)
	}
	want := []site.QuarantineState{{Content: part.Content.String(), Part: "5c1e07a2", Ends: 3, ForMS: 2000}}
	if diff := cmp.Diff(want, leader.QuarantineStates(now)); diff != "" {
		t.Errorf("quarantines (-want +got):\n%s", diff)
	}
	if err := leader.ReleaseQuarantine(now, "a0"); result.CodeOf(err) != result.ChangeNotFound {
		t.Errorf("releasing an unknown part: %v", err)
	}
	if err := leader.ReleaseQuarantine(now, "5c1e07a2"); err != nil {
		t.Fatal(err)
	}
	now = now.Add(100 * time.Millisecond)
	for n, s := range entries {
		s.sync(now, leader)
		if remaining, _ := s.list.RemainingOfParts(now, []quarantine.Fingerprint{part}); remaining > 0 {
			t.Errorf("entry %d quarantines the part for %v after its release", n, remaining)
		}
	}
	if left := leader.QuarantineStates(now); len(left) > 0 {
		t.Errorf("quarantines after the release: %+v", left)
	}
}
