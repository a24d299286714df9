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

	histories map[ident.VM]*vmHistory
}

type vmHistory struct {
	condition planner.Condition
	since     time.Time
	losses    []time.Time
	// joined is when the VM was first found joined in epoch; what was seen before says nothing about it.
	epoch    ident.Epoch
	joinedAt time.Time
}

// flapWindow is how long a loss counts as recent.
const flapWindow = 10 * time.Minute

// NewFailureDetector returns a judge that has seen nothing yet.
func NewFailureDetector(table *presence.Table, presenceBound, lossBound time.Duration) *FailureDetector {
	return &FailureDetector{Table: table, PresenceBound: presenceBound, LossBound: lossBound, histories: map[ident.VM]*vmHistory{}}
}

// Assess fills in the condition of every VM of w.
func (d *FailureDetector) Assess(now time.Time, input *planner.Snapshot) {
	for i := range input.VMs {
		v := &input.VMs[i]
		history := d.history(now, v.VM)
		history.update(now, d.condition(now, v.VM, history))
		v.Condition = history.condition
		v.StableFor = now.Sub(history.since)
		v.Flaps = len(history.losses)
	}
}

// Absent reports whether v is silent beyond the presence bound, which makes the leader look itself.
func (d *FailureDetector) Absent(now time.Time, v *fleet.VM) bool {
	age, ok := d.Table.Cell(v.Name).PositiveAge(now)
	return !ok || age > d.PresenceBound
}

func (d *FailureDetector) condition(now time.Time, v *fleet.VM, history *vmHistory) planner.Condition {
	cell := d.Table.Cell(v.Name)
	age, ok := cell.PositiveAge(now)
	if ok && age <= d.LossBound {
		return conditionOnContact(cell.Latest(), v, history)
	}
	reportAge, reported := cell.ReportAge(now)
	if !reported || reportAge > d.LossBound {
		return planner.ConditionUnknown
	}
	if !ok && v.Phase == fleet.VMFree {
		// Watched and never seen: it cannot be used, and nothing is lost.
		return planner.ConditionSuspect
	}
	return planner.ConditionLost
}

// conditionOnContact tells a member that is as it was confirmed from one that has started anew or forgotten its group since.
func conditionOnContact(s *presence.DatedObservation, v *fleet.VM, history *vmHistory) planner.Condition {
	if s == nil || s.Sight != presence.ProbeAnswered {
		return planner.ConditionSuspect
	}
	if v.Phase == fleet.VMJoined && s.At.After(history.joinedAt) && (s.Incarnation != v.Incarnation || s.Epoch != v.Epoch) {
		return planner.ConditionRestarted
	}
	return planner.ConditionPresent
}

func (d *FailureDetector) history(now time.Time, v *fleet.VM) *vmHistory {
	history := d.histories[v.Name]
	if history == nil {
		history = &vmHistory{condition: planner.ConditionUnknown, since: now}
		d.histories[v.Name] = history
	}
	if v.Phase == fleet.VMJoined && history.epoch != v.Epoch {
		history.epoch, history.joinedAt = v.Epoch, now
	}
	return history
}

// update notes the newest condition and forgets losses that are no longer recent.
func (h *vmHistory) update(now time.Time, c planner.Condition) {
	if h.condition != c {
		if c == planner.ConditionLost {
			h.losses = append(h.losses, now)
		}
		h.condition, h.since = c, now
	}
	for len(h.losses) > 0 && now.Sub(h.losses[0]) > flapWindow {
		h.losses = h.losses[1:]
	}
}
