package ledger

// Before a not-repeatable request is sent to an upstream, its key is claimed in
// a replicated and synced log. Any daemon that claims the same key again is
// answered according to the first claim:
//
//	claim   -> granted | stored answer | in progress | outcome unknown | other request
//	outcome -> the answer is stored (up to a size), or the outcome is unknown
//	release -> the request certainly did not run; the key may be claimed again
//
// A claim without an outcome is not granted again while its record is retained.
// It counts as in progress while its daemon may still be running the request,
// and as unknown after its deadline or after that daemon has restarted.

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

// Digest is the SHA-256 hash of everything in which two requests with the same key must agree.
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
	// At and Deadline are Unix times in milliseconds on the proposer's clock; Retention is in milliseconds.
	At          int64             `cbor:"3,keyasint,omitempty"`
	Deadline    int64             `cbor:"4,keyasint,omitempty"`
	Retention   int64             `cbor:"5,keyasint,omitempty"`
	Digest      Digest            `cbor:"6,keyasint,omitempty"`
	Daemon      ident.Daemon      `cbor:"7,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"8,keyasint,omitempty"`
	// Attempt distinguishes a repeated proposal from another claim of the same key.
	Attempt string `cbor:"9,keyasint,omitempty"`
	Answer  []byte `cbor:"10,keyasint,omitempty"`
	// Dropped is set if the answer was too large to store.
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

// Answer is the result of a command; Data is the stored answer.
type Answer struct {
	Verdict Verdict
	Data    []byte
}

// phase is what is known of the outcome of a claimed request.
type phase uint8

const (
	phaseClaimed phase = iota
	phaseDone
	phaseUnknown
)

// claimRecord is what the ledger keeps of one claim, also in snapshots.
type claimRecord struct {
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

type snapshot struct {
	Format  int            `cbor:"1,keyasint"`
	Records []*claimRecord `cbor:"2,keyasint"`
}

const snapshotFormat = 1

// Machine is the state machine of one ledger shard. The same log gives the same state on each member.
type Machine struct {
	mu      sync.RWMutex
	records map[Key]*claimRecord
	// byClaimTime holds the records in the order of their claims, for retention.
	byClaimTime []*claimRecord
	// unresolved holds the records without an outcome.
	unresolved map[Key]*claimRecord
}

// NewMachine returns an empty ledger.
func NewMachine() *Machine {
	return &Machine{records: map[Key]*claimRecord{}, unresolved: map[Key]*claimRecord{}}
}

// Encode returns c as it is written to the log.
func Encode(c *Command) ([]byte, error) {
	return cbor.Marshal(c)
}

// MaxClockOffset is the maximum difference between a claiming daemon's wall clock and the leader's.
const MaxClockOffset = 5 * time.Minute

// CheckClock refuses a claim whose time differs from now by more than MaxClockOffset. Retention uses the times in the log, so a clock
// far ahead would drop keys for which other daemons may still receive repeats.
func CheckClock(data []byte, now time.Time) error {
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return result.Wrap(err, result.PeerRefused, "a ledger command cannot be decoded")
	}
	if command.Kind != KindClaim {
		return nil
	}
	offset := time.UnixMilli(command.At).Sub(now)
	if offset.Abs() <= MaxClockOffset {
		return nil
	}
	return result.New(result.PeerRefused, "the clock of daemon %s differs from the leader's by %s", command.Daemon, offset.Round(time.Second))
}

// Apply executes one command of the log. A command that cannot be decoded changes nothing.
func (m *Machine) Apply(data []byte) Answer {
	var command Command
	if cbor.Unmarshal(data, &command) != nil {
		return Answer{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch command.Kind {
	case KindClaim:
		m.dropExpired(command.At)
		return m.claim(&command)
	case KindOutcome, KindUnknown:
		return m.recordOutcome(&command)
	case KindRelease:
		return m.release(&command)
	case KindOrphan:
		m.markOrphans(&command)
	}
	return Answer{}
}

func (m *Machine) claim(c *Command) Answer {
	if r, ok := m.records[c.Key]; ok {
		return m.answerRepeatedClaim(r, c)
	}
	r := &claimRecord{
		Key: c.Key, Digest: c.Digest, At: c.At, Deadline: c.Deadline, Expires: max(c.At+c.Retention, c.Deadline),
		Daemon: c.Daemon, Incarnation: c.Incarnation, Attempt: c.Attempt,
	}
	m.records[c.Key] = r
	m.byClaimTime = append(m.byClaimTime, r)
	m.unresolved[c.Key] = r
	return Answer{Verdict: Granted}
}

// answerRepeatedClaim answers a claim of a key that has record r.
func (m *Machine) answerRepeatedClaim(r *claimRecord, c *Command) Answer {
	switch {
	case r.Attempt == c.Attempt && r.Phase == phaseClaimed:
		// The same proposal, repeated by its daemon after a change of leader.
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
		// The daemon that made the claim has restarted and no longer knows the outcome.
		return Answer{Verdict: Unknown}
	}
	return Answer{Verdict: InProgress}
}

func (m *Machine) recordOutcome(c *Command) Answer {
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt || r.Phase == phaseDone {
		return Answer{}
	}
	delete(m.unresolved, c.Key)
	if c.Kind == KindUnknown {
		r.Phase = phaseUnknown
		return Answer{Verdict: Unknown}
	}
	r.Phase = phaseDone
	r.Answer = c.Answer
	r.Dropped = c.Dropped
	return Answer{Verdict: Stored}
}

// release drops a claim whose request certainly did not run.
func (m *Machine) release(c *Command) Answer {
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt || r.Phase != phaseClaimed {
		return Answer{}
	}
	r.Released = true
	delete(m.records, c.Key)
	delete(m.unresolved, c.Key)
	return Answer{Verdict: Granted}
}

// markOrphans marks the unresolved claims of a daemon's earlier incarnations as unknown.
func (m *Machine) markOrphans(c *Command) {
	for key, r := range m.unresolved {
		if r.Daemon == c.Daemon && r.Incarnation != c.Incarnation {
			r.Phase = phaseUnknown
			delete(m.unresolved, key)
		}
	}
}

// dropExpired drops records whose retention has ended. now is a time from the log, so that all members drop the same records.
func (m *Machine) dropExpired(now int64) {
	i := 0
	for i < len(m.byClaimTime) && (m.byClaimTime[i].Released || m.byClaimTime[i].Expires < now) {
		if r := m.byClaimTime[i]; !r.Released && m.records[r.Key] == r {
			delete(m.records, r.Key)
			delete(m.unresolved, r.Key)
		}
		m.byClaimTime[i] = nil
		i++
	}
	m.byClaimTime = m.byClaimTime[i:]
}

// Len returns the number of keys that have records.
func (m *Machine) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.records)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{Format: snapshotFormat}
	for _, r := range m.byClaimTime {
		if !r.Released {
			s.Records = append(s.Records, r)
		}
	}
	return cbor.Marshal(s)
}

// Restore replaces the state by a snapshot; empty data gives the empty state.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &s); err != nil {
			return result.Wrap(err, result.StorageDamaged, "the ledger snapshot cannot be decoded")
		}
	}
	if s.Format > snapshotFormat {
		return result.New(result.FormatTooNew, "ledger snapshot has format %d, the newest supported one is %d", s.Format, snapshotFormat)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.unresolved, m.byClaimTime = map[Key]*claimRecord{}, map[Key]*claimRecord{}, s.Records
	for _, r := range s.Records {
		m.records[r.Key] = r
		if r.Phase == phaseClaimed {
			m.unresolved[r.Key] = r
		}
	}
	return nil
}
