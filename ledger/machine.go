package ledger

// Before a not-repeatable request is sent to an upstream, its key is claimed in
// a replicated and synced log. Whoever sends the same key again, through
// whichever daemon, meets the claim:
//
//	claim   -> granted | stored answer | in progress | outcome unknown | other request
//	outcome -> the answer is kept (up to a size), or the outcome is unknown
//	release -> the request certainly did not run; the key may be used again
//
// A claim without an outcome is never granted again. It reads as in progress
// while the daemon that made it may still be working, and as unknown after its
// deadline or after that daemon has started anew.

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Key names one not-repeatable request of one customer.
type Key struct {
	Customer ident.Customer `cbor:"1,keyasint"`
	ID       string         `cbor:"2,keyasint"`
}

// Digest is the SHA-256 of everything that makes two requests the same.
type Digest [32]byte

// Kind says what a command does.
type Kind uint8

// The kinds of commands.
const (
	KindClaim Kind = iota + 1
	KindOutcome
	KindUnknown
	KindRelease
	KindOrphan
)

// Command is one entry of a ledger's log.
type Command struct {
	Kind Kind `cbor:"1,keyasint"`
	Key  Key  `cbor:"2,keyasint"`
	// At and Deadline are milliseconds since 1970 on the proposer's clock; Retention is in milliseconds.
	At          int64             `cbor:"3,keyasint,omitempty"`
	Deadline    int64             `cbor:"4,keyasint,omitempty"`
	Retention   int64             `cbor:"5,keyasint,omitempty"`
	Digest      Digest            `cbor:"6,keyasint,omitempty"`
	Daemon      ident.Daemon      `cbor:"7,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"8,keyasint,omitempty"`
	// Attempt tells a proposal that is sent again from another claim of the same key.
	Attempt string `cbor:"9,keyasint,omitempty"`
	Answer  []byte `cbor:"10,keyasint,omitempty"`
	// Dropped is set when the answer was too large to keep.
	Dropped bool `cbor:"11,keyasint,omitempty"`
}

// Verdict is the answer to a claim.
type Verdict uint8

// The verdicts on a claim.
const (
	Granted Verdict = iota + 1
	Stored
	InProgress
	Unknown
	OtherRequest
	NotKept
)

// Answer is what a command gives back; Data is the stored answer.
type Answer struct {
	Verdict Verdict
	Data    []byte
}

type phase uint8

const (
	phaseClaimed phase = iota
	phaseDone
	phaseUnknown
)

type record struct {
	Key         Key               `cbor:"1,keyasint"`
	Digest      Digest            `cbor:"2,keyasint"`
	At          int64             `cbor:"3,keyasint"`
	Deadline    int64             `cbor:"4,keyasint"`
	Expires     int64             `cbor:"5,keyasint"`
	Daemon      ident.Daemon      `cbor:"6,keyasint"`
	Incarnation ident.Incarnation `cbor:"7,keyasint"`
	Attempt     string            `cbor:"8,keyasint"`
	Phase       phase             `cbor:"9,keyasint"`
	Answer      []byte            `cbor:"10,keyasint,omitempty"`
	Dropped     bool              `cbor:"11,keyasint,omitempty"`
	Released    bool              `cbor:"12,keyasint,omitempty"`
}

type stored struct {
	Format  int       `cbor:"1,keyasint"`
	Records []*record `cbor:"2,keyasint"`
}

const storedFormat = 1

// Machine is the state machine of one ledger shard; the same log gives the same state on each member.
type Machine struct {
	mu      sync.RWMutex
	records map[Key]*record
	// line holds the records in order of their claims, for retention.
	line []*record
	// open holds the claims without an outcome.
	open map[Key]*record
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine {
	return &Machine{records: map[Key]*record{}, open: map[Key]*record{}}
}

// Encode returns the log form of c.
func Encode(c *Command) ([]byte, error) {
	return cbor.Marshal(c)
}

// MaxClockOffset is how far a claiming daemon's wall clock may be from the leader's.
const MaxClockOffset = 5 * time.Minute

// CheckClock refuses a claim that is dated far from now. Retention goes by the dates in the log, so that one clock far in the
// future would forget keys of which another daemon still sends again.
func CheckClock(data []byte, now time.Time) error {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return result.Wrap(err, result.PeerRefused, "a ledger command cannot be decoded")
	}
	if c.Kind != KindClaim {
		return nil
	}
	offset := time.UnixMilli(c.At).Sub(now)
	if offset.Abs() <= MaxClockOffset {
		return nil
	}
	return result.New(result.PeerRefused, "the clock of daemon %s is %s from the leader's", c.Daemon, offset.Round(time.Second))
}

// Apply executes one command of the log; a command that cannot be decoded changes nothing.
func (m *Machine) Apply(data []byte) Answer {
	var c Command
	if cbor.Unmarshal(data, &c) != nil {
		return Answer{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c.Kind {
	case KindClaim:
		m.forget(c.At)
		return m.claim(&c)
	case KindOutcome, KindUnknown:
		return m.finish(&c)
	case KindRelease:
		return m.release(&c)
	case KindOrphan:
		m.orphan(&c)
	}
	return Answer{}
}

func (m *Machine) claim(c *Command) Answer {
	if r, ok := m.records[c.Key]; ok {
		return m.meet(r, c)
	}
	r := &record{
		Key: c.Key, Digest: c.Digest, At: c.At, Deadline: c.Deadline, Expires: max(c.At+c.Retention, c.Deadline),
		Daemon: c.Daemon, Incarnation: c.Incarnation, Attempt: c.Attempt,
	}
	m.records[c.Key] = r
	m.line = append(m.line, r)
	m.open[c.Key] = r
	return Answer{Verdict: Granted}
}

// meet answers a claim of a key that is known already.
func (m *Machine) meet(r *record, c *Command) Answer {
	switch {
	case r.Attempt == c.Attempt && r.Phase == phaseClaimed:
		// The same proposal, sent again by its own daemon after a change of leader.
		return Answer{Verdict: Granted}
	case r.Digest != c.Digest:
		return Answer{Verdict: OtherRequest}
	case r.Phase == phaseDone && r.Dropped:
		return Answer{Verdict: NotKept}
	case r.Phase == phaseDone:
		return Answer{Verdict: Stored, Data: r.Answer}
	case r.Phase == phaseUnknown || c.At > r.Deadline:
		return Answer{Verdict: Unknown}
	case r.Daemon == c.Daemon && r.Incarnation != c.Incarnation:
		// The daemon that claimed has started anew and no longer knows.
		return Answer{Verdict: Unknown}
	}
	return Answer{Verdict: InProgress}
}

func (m *Machine) finish(c *Command) Answer {
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt || r.Phase == phaseDone {
		return Answer{}
	}
	delete(m.open, c.Key)
	if c.Kind == KindUnknown {
		r.Phase = phaseUnknown
		return Answer{Verdict: Unknown}
	}
	r.Phase = phaseDone
	r.Answer = c.Answer
	r.Dropped = c.Dropped
	return Answer{Verdict: Stored}
}

// release forgets a claim whose request certainly did not run.
func (m *Machine) release(c *Command) Answer {
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt || r.Phase != phaseClaimed {
		return Answer{}
	}
	r.Released = true
	delete(m.records, c.Key)
	delete(m.open, c.Key)
	return Answer{Verdict: Granted}
}

// orphan marks the open claims of a daemon's earlier incarnations as unknown.
func (m *Machine) orphan(c *Command) {
	for key, r := range m.open {
		if r.Daemon == c.Daemon && r.Incarnation != c.Incarnation {
			r.Phase = phaseUnknown
			delete(m.open, key)
		}
	}
}

// forget drops records whose retention has ended, by the time that the log itself carries.
func (m *Machine) forget(now int64) {
	i := 0
	for i < len(m.line) && (m.line[i].Released || m.line[i].Expires < now) {
		if r := m.line[i]; !r.Released && m.records[r.Key] == r {
			delete(m.records, r.Key)
			delete(m.open, r.Key)
		}
		m.line[i] = nil
		i++
	}
	m.line = m.line[i:]
}

// Len returns the number of remembered keys.
func (m *Machine) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.records)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := stored{Format: storedFormat}
	for _, r := range m.line {
		if !r.Released {
			s.Records = append(s.Records, r)
		}
	}
	return cbor.Marshal(s)
}

// Restore replaces the state by a snapshot; no bytes give the empty state.
func (m *Machine) Restore(data []byte) error {
	var s stored
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &s); err != nil {
			return result.Wrap(err, result.StorageDamaged, "the ledger's state cannot be decoded")
		}
	}
	if s.Format > storedFormat {
		return result.New(result.FormatTooNew, "ledger format %d is newer than %d", s.Format, storedFormat)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.open, m.line = map[Key]*record{}, map[Key]*record{}, s.Records
	for _, r := range s.Records {
		m.records[r.Key] = r
		if r.Phase == phaseClaimed {
			m.open[r.Key] = r
		}
	}
	return nil
}
