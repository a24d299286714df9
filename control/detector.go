package control

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
)

// FailureDetector derives the VM conditions that the planner acts on from observations. A member that is silent for the
// presence bound gets no requests from dispatch; a member counts as lost only after the longer loss bound, and only if
// an observer still reports on it. If all observers are silent, the condition is unknown and the planner does nothing.
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
	// joinedAt is when the VM was first found joined in epoch; earlier observations do not count for that epoch.
	epoch    ident.Epoch
	joinedAt time.Time
}

// flapWindow is how long a loss counts as recent.
const flapWindow = 10 * time.Minute

// NewFailureDetector returns a detector without observations.
func NewFailureDetector(table *presence.Table, presenceBound, lossBound time.Duration) *FailureDetector {
	return &FailureDetector{Table: table, PresenceBound: presenceBound, LossBound: lossBound, histories: map[ident.VM]*vmHistory{}}
}

// Assess sets the condition of each VM of the planner's input.
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

// Absent reports whether v has been silent for longer than the presence bound; the leader then probes it itself.
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
		// A VM that has never answered cannot be used, but nothing is lost with it.
		return planner.ConditionSuspect
	}
	return planner.ConditionLost
}

// conditionOnContact distinguishes a member that is as it was confirmed from one that has restarted or lost its group.
func conditionOnContact(latest *presence.DatedObservation, v *fleet.VM, history *vmHistory) planner.Condition {
	if latest == nil || latest.Sight != presence.ProbeAnswered {
		return planner.ConditionSuspect
	}
	if v.Phase == fleet.VMJoined && latest.At.After(history.joinedAt) && (latest.Incarnation != v.Incarnation || latest.Epoch != v.Epoch) {
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

// update records the newest condition and drops losses outside flapWindow.
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
