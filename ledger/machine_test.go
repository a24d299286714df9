package ledger_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/result"
)

func applyCommand(t *testing.T, m *ledger.Machine, c *ledger.Command) ledger.Answer {
	t.Helper()
	data, err := ledger.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(data)
}

var key = ledger.Key{Customer: "c", ID: "k"}

func newClaim(at int64, modify func(c *ledger.Command)) *ledger.Command {
	c := &ledger.Command{
		Kind: ledger.KindClaim, Key: key, At: at, Deadline: at + 10, Retention: 100, Daemon: "a", Incarnation: "1", Attempt: "first",
	}
	if modify != nil {
		modify(c)
	}
	return c
}

func secondAttempt(c *ledger.Command) { c.Attempt = "second" }

func TestClaims(t *testing.T) {
	outcome := &ledger.Command{Kind: ledger.KindOutcome, Key: key, Attempt: "first", Answer: []byte("answer")}
	for _, c := range []struct {
		name   string
		before []*ledger.Command
		claim  *ledger.Command
		want   ledger.Answer
	}{
		{"a new key", nil, newClaim(0, nil), ledger.Answer{Verdict: ledger.Granted}},
		{"repeated proposal", []*ledger.Command{newClaim(0, nil)}, newClaim(1, nil), ledger.Answer{Verdict: ledger.Granted}},
		{"another attempt while the first runs", []*ledger.Command{newClaim(0, nil)}, newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.InProgress}},
		{"another attempt after the deadline", []*ledger.Command{newClaim(0, nil)}, newClaim(11, secondAttempt), ledger.Answer{Verdict: ledger.Unknown}},
		{"the daemon has restarted", []*ledger.Command{newClaim(0, nil)},
			newClaim(5, func(c *ledger.Command) { c.Attempt, c.Incarnation = "second", "2" }), ledger.Answer{Verdict: ledger.Unknown}},
		{"another daemon after the restart was recorded",
			[]*ledger.Command{newClaim(0, nil), {Kind: ledger.KindOrphan, Daemon: "a", Incarnation: "2"}},
			newClaim(5, func(c *ledger.Command) { c.Attempt, c.Daemon = "second", "b" }), ledger.Answer{Verdict: ledger.Unknown}},
		{"the restart of an unrelated daemon was recorded", []*ledger.Command{newClaim(0, nil), {Kind: ledger.KindOrphan, Daemon: "b", Incarnation: "2"}},
			newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.InProgress}},
		{"answered", []*ledger.Command{newClaim(0, nil), outcome}, newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.Stored, Data: []byte("answer")}},
		{"answered, too large to store",
			[]*ledger.Command{newClaim(0, nil), {Kind: ledger.KindOutcome, Key: key, Attempt: "first", Dropped: true}},
			newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.NotKept}},
		{"answered after the outcome was recorded as unknown",
			[]*ledger.Command{newClaim(0, nil), {Kind: ledger.KindUnknown, Key: key, Attempt: "first"}, outcome},
			newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.Stored, Data: []byte("answer")}},
		{"an outcome of another attempt changes nothing",
			[]*ledger.Command{newClaim(0, nil), {Kind: ledger.KindOutcome, Key: key, Attempt: "x", Answer: []byte("other answer")}},
			newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.InProgress}},
		{"unknown", []*ledger.Command{newClaim(0, nil), {Kind: ledger.KindUnknown, Key: key, Attempt: "first"}}, newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.Unknown}},
		{"not run", []*ledger.Command{newClaim(0, nil), {Kind: ledger.KindRelease, Key: key, Attempt: "first"}}, newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.Granted}},
		{"a release after the answer changes nothing",
			[]*ledger.Command{newClaim(0, nil), outcome, {Kind: ledger.KindRelease, Key: key, Attempt: "first"}},
			newClaim(5, secondAttempt), ledger.Answer{Verdict: ledger.Stored, Data: []byte("answer")}},
		{"another request under the same key", []*ledger.Command{newClaim(0, nil)},
			newClaim(5, func(c *ledger.Command) { c.Attempt, c.Digest = "second", ledger.Digest{1} }), ledger.Answer{Verdict: ledger.OtherRequest}},
		{"another customer's same key", []*ledger.Command{newClaim(0, nil)},
			newClaim(5, func(c *ledger.Command) { c.Attempt, c.Key.Customer = "second", "other" }), ledger.Answer{Verdict: ledger.Granted}},
		{"within the retention", []*ledger.Command{newClaim(0, nil), outcome}, newClaim(100, secondAttempt), ledger.Answer{Verdict: ledger.Stored, Data: []byte("answer")}},
		{"after the retention", []*ledger.Command{newClaim(0, nil), outcome}, newClaim(101, secondAttempt), ledger.Answer{Verdict: ledger.Granted}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := ledger.NewMachine()
			for _, b := range c.before {
				applyCommand(t, m, b)
			}
			// The answer must be the same after a restart from a snapshot.
			snapshot, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := ledger.NewMachine()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, applyCommand(t, m, c.claim)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, applyCommand(t, restored, c.claim)); diff != "" {
				t.Errorf("answer after a restart (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRetentionDropsKeys(t *testing.T) {
	m := ledger.NewMachine()
	for i := range 1000 {
		c := newClaim(int64(i), nil)
		c.Key.ID = string(rune('a'+i%26)) + string(rune('0'+i/26))
		applyCommand(t, m, c)
	}
	// Retention is 100 ms, and there is one claim per millisecond.
	if n := m.Len(); n < 90 || n > 110 {
		t.Errorf("%d keys have records, want about 100", n)
	}
}

func TestDamagedCommandsAndSnapshots(t *testing.T) {
	m := ledger.NewMachine()
	if a := m.Apply([]byte{0xff, 0x00}); a.Verdict != 0 || m.Len() != 0 {
		t.Errorf("a command that cannot be decoded gave %v, want no verdict and no keys", a)
	}
	if code := result.CodeOf(m.Restore([]byte{0xff})); code != result.StorageDamaged {
		t.Errorf("a snapshot that cannot be decoded gave code %d, want that of damaged storage", code)
	}
}

func TestClaimsWithWrongClockAreRefused(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	for _, c := range []struct {
		name   string
		kind   ledger.Kind
		offset time.Duration
		code   result.Code
	}{
		{"the same time", ledger.KindClaim, 0, result.OK},
		{"a minute ahead", ledger.KindClaim, time.Minute, result.OK},
		{"an hour ahead", ledger.KindClaim, time.Hour, result.PeerRefused},
		{"an hour behind", ledger.KindClaim, -time.Hour, result.PeerRefused},
		{"an outcome has no date", ledger.KindOutcome, -time.Hour, result.OK},
	} {
		data, err := ledger.Encode(&ledger.Command{Kind: c.kind, Key: key, At: now.Add(c.offset).UnixMilli(), Daemon: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if code := result.CodeOf(ledger.CheckClock(data, now)); code != c.code {
			t.Errorf("%s: code %d, want %d", c.name, code, c.code)
		}
	}
}
