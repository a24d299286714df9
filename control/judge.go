package control

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
)

// FailureDetector turns observations into conditions that the planner acts on. It is
// slower to condemn than dispatch is to look away: a member that is silent for
// the presence bound gets no requests, and only one that stays silent for the
// loss bound, while somebody does report on it, is lost. Silence of all
// watchers means that nothing is known, and nothing is done.
type FailureDetector struct {
	Table         *presence.Table
	PresenceBound time.Duration
	LossBound     time.Duration

	tracks map[ident.VM]*track
}

type track struct {
	condition planner.Condition
	since     time.Time
	losses    []time.Time
	// joined is when the VM was first found joined in epoch; what was seen before says nothing about it.
	epoch  ident.Epoch
	joined time.Time
}

// flapMemory is how long a loss counts as recent.
const flapMemory = 10 * time.Minute

// NewFailureDetector returns a judge that has seen nothing yet.
func NewFailureDetector(table *presence.Table, presenceBound, lossBound time.Duration) *FailureDetector {
	return &FailureDetector{Table: table, PresenceBound: presenceBound, LossBound: lossBound, tracks: map[ident.VM]*track{}}
}

// Assess fills in the condition of every VM of w.
func (j *FailureDetector) Assess(now time.Time, w *planner.Snapshot) {
	for i := range w.VMs {
		v := &w.VMs[i]
		t := j.track(now, v.VM)
		t.turn(now, j.condition(now, v.VM, t))
		v.Condition = t.condition
		v.StableFor = now.Sub(t.since)
		v.Flaps = len(t.losses)
	}
}

// Absent reports whether v is silent beyond the presence bound, which makes the leader look itself.
func (j *FailureDetector) Absent(now time.Time, v *fleet.VM) bool {
	age, ok := j.Table.Cell(v.Name).PositiveAge(now)
	return !ok || age > j.PresenceBound
}

func (j *FailureDetector) condition(now time.Time, v *fleet.VM, t *track) planner.Condition {
	cell := j.Table.Cell(v.Name)
	age, ok := cell.PositiveAge(now)
	if ok && age <= j.LossBound {
		return met(cell.Latest(), v, t)
	}
	report, reported := cell.ReportAge(now)
	if !reported || report > j.LossBound {
		return planner.ConditionUnknown
	}
	if !ok && v.Phase == fleet.VMFree {
		// Watched and never seen: it cannot be used, and nothing is lost.
		return planner.ConditionSuspect
	}
	return planner.ConditionLost
}

// met tells a member that is as it was confirmed from one that has started anew or forgotten its group since.
func met(s *presence.DatedObservation, v *fleet.VM, t *track) planner.Condition {
	if s == nil || s.Sight != presence.ProbeAnswered {
		return planner.ConditionSuspect
	}
	if v.Phase == fleet.VMJoined && s.At.After(t.joined) && (s.Incarnation != v.Incarnation || s.Epoch != v.Epoch) {
		return planner.ConditionRestarted
	}
	return planner.ConditionPresent
}

func (j *FailureDetector) track(now time.Time, v *fleet.VM) *track {
	t := j.tracks[v.Name]
	if t == nil {
		t = &track{condition: planner.ConditionUnknown, since: now}
		j.tracks[v.Name] = t
	}
	if v.Phase == fleet.VMJoined && t.epoch != v.Epoch {
		t.epoch, t.joined = v.Epoch, now
	}
	return t
}

// turn notes the newest condition and forgets losses that are no longer recent.
func (t *track) turn(now time.Time, c planner.Condition) {
	if t.condition != c {
		if c == planner.ConditionLost {
			t.losses = append(t.losses, now)
		}
		t.condition, t.since = c, now
	}
	for len(t.losses) > 0 && now.Sub(t.losses[0]) > flapMemory {
		t.losses = t.losses[1:]
	}
}
