package control

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
)

// Judge turns observations into conditions that the planner acts on. It is
// slower to condemn than dispatch is to look away: a member that is silent for
// the presence bound gets no requests, and only one that stays silent for the
// loss bound, while somebody does report on it, is lost. Silence of all
// watchers means that nothing is known, and nothing is done.
type Judge struct {
	Table    *presence.Table
	Presence time.Duration
	Loss     time.Duration

	tracks map[ident.VM]*track
}

type track struct {
	condition planner.Condition
	since     time.Time
	losses    []time.Time
}

// flapMemory is how long a loss counts as recent.
const flapMemory = 10 * time.Minute

// NewJudge returns a judge that has seen nothing yet.
func NewJudge(table *presence.Table, presenceBound, lossBound time.Duration) *Judge {
	return &Judge{Table: table, Presence: presenceBound, Loss: lossBound, tracks: map[ident.VM]*track{}}
}

// Assess fills in the condition of every VM of w.
func (j *Judge) Assess(now time.Time, w *planner.World) {
	for i := range w.VMs {
		v := &w.VMs[i]
		t := j.follow(now, v.Name, j.condition(now, v.VM))
		v.Condition = t.condition
		v.Stable = now.Sub(t.since)
		v.Flaps = len(t.losses)
	}
}

// Absent reports whether v is silent beyond the presence bound, which makes the leader look itself.
func (j *Judge) Absent(now time.Time, v *fleet.VM) bool {
	age, ok := j.Table.Cell(v.Name).PositiveAge(now)
	return !ok || age > j.Presence
}

func (j *Judge) condition(now time.Time, v *fleet.VM) planner.Condition {
	cell := j.Table.Cell(v.Name)
	age, ok := cell.PositiveAge(now)
	if ok && age <= j.Loss {
		return j.met(cell.Seen(), v)
	}
	report, reported := cell.ReportAge(now)
	if !reported || report > j.Loss {
		return planner.ConditionUnknown
	}
	if !ok && v.Phase == fleet.VMFree {
		// Watched and never seen: it cannot be used, and nothing is lost.
		return planner.ConditionSuspect
	}
	return planner.ConditionLost
}

// met tells a member that is as it was confirmed from one that has started anew or forgotten its group.
func (j *Judge) met(s *presence.Seen, v *fleet.VM) planner.Condition {
	if s == nil || s.Sight != presence.SightAnswer {
		return planner.ConditionSuspect
	}
	if v.Phase == fleet.VMJoined && (s.Incarnation != v.Incarnation || s.Epoch != v.Epoch) {
		return planner.ConditionRestarted
	}
	return planner.ConditionPresent
}

func (j *Judge) follow(now time.Time, name ident.VM, c planner.Condition) *track {
	t := j.tracks[name]
	if t == nil {
		t = &track{condition: c, since: now}
		j.tracks[name] = t
	}
	if t.condition != c {
		if c == planner.ConditionLost {
			t.losses = append(t.losses, now)
		}
		t.condition, t.since = c, now
	}
	for len(t.losses) > 0 && now.Sub(t.losses[0]) > flapMemory {
		t.losses = t.losses[1:]
	}
	return t
}
