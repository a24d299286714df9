package control

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
)

// Leader does the control leader's work on each tick. Exported fields are set before use.
type Leader struct {
	Now      func() time.Time
	Machine  *fleet.Machine
	Detector *FailureDetector
	Members  *presence.Members
	// Daemons names every daemon that may serve. Started is when this process began to receive their heartbeats.
	Daemons []ident.Daemon
	Started time.Time
	Orders  *Orders
	Policy  planner.Policy
	// DrainBound is how long a drain waits for requests in progress, ControlBound how long a daemon may serve without
	// contact to control.
	DrainBound   time.Duration
	ControlBound time.Duration
	// Propose writes a command to the log.
	Propose func(ctx context.Context, c *fleet.Command) (fleet.Answer, error)
	// Registered returns the VMs that settings and platform name, Listings whether they are live, leaving or gone.
	Registered func() []fleet.VM
	Listings   func() map[ident.VM]fleet.Listing
	// HasPlatform is set if a platform lists VMs; without a platform only engines announce that they leave.
	HasPlatform bool
	Log         logr.Logger

	mu        sync.Mutex
	confirms  []fleet.Confirmation
	downSince map[ident.Group]time.Time
	drains    map[ident.Group]drainStart
	// input is the planner's input for inputRevision, plannedFingerprint the fingerprint of the input of the last plan.
	input              *planner.Snapshot
	inputRevision      ident.Revision
	plannedFingerprint []uint8
}

type drainStart struct {
	epoch ident.Epoch
	since time.Time
}

// NewLeader returns a leader with default settings.
func NewLeader() *Leader {
	return &Leader{
		Now:        clock.Now,
		Policy:     planner.DefaultPolicy(),
		Registered: func() []fleet.VM { return nil },
		Listings:   func() map[ident.VM]fleet.Listing { return nil },
		Log:        logr.Discard(),
		downSince:  map[ident.Group]time.Time{},
		drains:     map[ident.Group]drainStart{},
	}
}

// Confirm queues an engine's confirmation, which the next tick writes to the log together with others.
func (l *Leader) Confirm(c fleet.Confirmation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirms = append(l.confirms, c)
}

func (l *Leader) takeConfirms() []fleet.Confirmation {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.confirms
	l.confirms = nil
	return c
}

// Tick does everything that is due. An error means that the log accepted no commands; the next tick retries.
func (l *Leader) Tick(ctx context.Context) error {
	if err := l.writeConfirms(ctx); err != nil {
		return err
	}
	if err := l.register(ctx); err != nil {
		return err
	}
	if err := l.writeListings(ctx); err != nil {
		return err
	}
	if err := l.plan(ctx); err != nil {
		return err
	}
	l.Machine.Read(func(s *fleet.State) { l.Orders.Reconcile(ctx, s) })
	return nil
}

func (l *Leader) writeConfirms(ctx context.Context) error {
	confirms := l.takeConfirms()
	if len(confirms) == 0 {
		return nil
	}
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindConfirm, Confirmations: confirms})
	return err
}

// register writes VMs that are new or have changed.
func (l *Leader) register(ctx context.Context) error {
	var changed []fleet.VM
	l.Machine.Read(func(s *fleet.State) {
		for _, v := range l.Registered() {
			if old := s.VMs[v.Name]; old == nil || !sameVM(old, &v) {
				changed = append(changed, v)
			}
		}
	})
	if len(changed) == 0 {
		return nil
	}
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindRegisterVMs, VMs: changed})
	return err
}

func sameVM(a, b *fleet.VM) bool {
	return a.Address == b.Address && a.Hall == b.Hall && a.Domain == b.Domain &&
		a.Accelerators == b.Accelerators && a.Speed == b.Speed && a.ChecksOrders == b.ChecksOrders
}

// writeListings writes changes in what the platform and the engines say about VMs that stay or leave.
func (l *Leader) writeListings(ctx context.Context) error {
	listings := l.Listings()
	var changed []fleet.VMListing
	l.Machine.Read(func(s *fleet.State) {
		for _, v := range s.SortedVMs() {
			listing, ok := listings[v.Name]
			if !ok {
				listing = v.Listing
			}
			if latest := l.Detector.Table.Cell(v.Name).Latest(); latest != nil && latest.Leaving && listing == fleet.ListingLive {
				listing = fleet.ListingLeaving
			} else if !ok && !l.HasPlatform && latest != nil && !latest.Leaving && listing == fleet.ListingLeaving {
				// With a platform, the absence of a VM proves nothing: a leader that has not read the list yet must not
				// revoke what the platform said before.
				listing = fleet.ListingLive
			}
			if listing != v.Listing {
				changed = append(changed, fleet.VMListing{VM: v.Name, Listing: listing})
			}
		}
	})
	if len(changed) == 0 {
		return nil
	}
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindSetListings, Listings: changed})
	return err
}

// View calls fn with the planner's current input, which fn must not keep. The input is built once per revision, because
// building it costs far more than assessing it.
func (l *Leader) View(fn func(input *planner.Snapshot)) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision := l.Machine.Revision(); l.input == nil || revision != l.inputRevision {
		l.Machine.Read(func(s *fleet.State) {
			l.inputRevision = s.Revision
			l.input = planner.NewSnapshot(s.Clone())
		})
		// A group that is declared again under the same name starts without the history of the former one.
		maps.DeleteFunc(l.downSince, func(name ident.Group, _ time.Time) bool { return l.input.Group(name) == nil })
		maps.DeleteFunc(l.drains, func(name ident.Group, _ drainStart) bool { return l.input.Group(name) == nil })
	}
	l.Detector.Assess(now, l.input)
	l.assessGroups(now, l.input)
	fn(l.input)
}

// Actions returns the planner's actions, or none if its input has not changed since the last plan.
func (l *Leader) Actions() (actions []planner.Action) {
	l.View(func(input *planner.Snapshot) {
		current := fingerprint(input, l.Policy.RecoveryWait, l.inputRevision)
		if slices.Equal(current, l.plannedFingerprint) {
			return
		}
		actions = planner.Plan(input, l.Policy)
		l.plannedFingerprint = current
	})
	return actions
}

// fingerprint covers everything that a plan depends on: the revision, VM conditions, finished drains and elapsed times.
func fingerprint(input *planner.Snapshot, recoveryWait time.Duration, revision ident.Revision) []uint8 {
	marks := binary.LittleEndian.AppendUint64(make([]uint8, 0, len(input.VMs)+len(input.Groups)), uint64(revision))
	for i := range input.VMs {
		v := &input.VMs[i]
		mark := uint8(v.Condition) << 1
		if v.Steady() {
			mark |= 1
		}
		marks = append(marks, mark)
	}
	for i := range input.Groups {
		g := &input.Groups[i]
		mark := uint8(0)
		if g.Drained {
			mark |= 1
		}
		if g.DownFor >= recoveryWait {
			mark |= 2
		}
		marks = append(marks, mark)
	}
	return marks
}

func (l *Leader) assessGroups(now time.Time, input *planner.Snapshot) {
	for i := range input.Groups {
		g := &input.Groups[i]
		g.Drained = l.drained(now, g)
		if g.Phase == fleet.GroupServing && l.allPresent(input, g) {
			delete(l.downSince, g.Spec.Name)
			g.DownFor = 0
			continue
		}
		since, ok := l.downSince[g.Spec.Name]
		if !ok {
			since = now
			l.downSince[g.Spec.Name] = now
		}
		g.DownFor = now.Sub(since)
	}
}

func (l *Leader) allPresent(input *planner.Snapshot, g *planner.Group) bool {
	for _, name := range g.Members {
		if input.VM(name).Condition != planner.ConditionPresent {
			return false
		}
	}
	return true
}

// drained reports whether no daemon can have a request in progress at g: each one knows of the drain and has none, or
// has been silent for so long that it refuses requests. It is also true once the drain bound has passed.
func (l *Leader) drained(now time.Time, g *planner.Group) bool {
	if g.Phase != fleet.GroupDraining {
		delete(l.drains, g.Spec.Name)
		return false
	}
	start := l.drains[g.Spec.Name]
	if start.epoch != g.Epoch {
		start = drainStart{g.Epoch, now}
		l.drains[g.Spec.Name] = start
	}
	if now.Sub(start.since) > l.DrainBound {
		return true
	}
	for _, name := range l.Daemons {
		if !l.daemonFinished(now, name, g) {
			return false
		}
	}
	return true
}

// daemonFinished reports whether a daemon can have no request in progress at g. A daemon that has
// not contacted this process yet can still be serving, for up to ControlBound after the start.
func (l *Leader) daemonFinished(now time.Time, name ident.Daemon, g *planner.Group) bool {
	peer, known := l.Members.Get(name)
	if !known {
		return now.Sub(l.Started) > l.ControlBound
	}
	if now.Sub(peer.LastContact) > l.ControlBound {
		return true
	}
	return peer.Revision >= g.DrainRevision && peer.InFlight[g.Spec.Name] == 0
}

func (l *Leader) plan(ctx context.Context) error {
	for _, a := range l.Actions() {
		answer, err := l.Propose(ctx, commandFor(&a))
		if err != nil {
			// Actions that were not written must be planned again.
			l.resetPlan()
			return err
		}
		l.Log.Info("planned", "group", a.Group, "members", a.Members, "reason", a.Reason,
			"revision", answer.Revision, "code", int(answer.Code), "text", answer.Text)
	}
	return nil
}

func (l *Leader) resetPlan() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plannedFingerprint = nil
}

func commandFor(a *planner.Action) *fleet.Command {
	kinds := map[planner.ActionKind]fleet.Kind{
		planner.ActionAssign: fleet.KindAssign, planner.ActionDrain: fleet.KindDrainGroup, planner.ActionBreak: fleet.KindBreakGroup,
	}
	return &fleet.Command{
		Kind:   kinds[a.Kind],
		Assign: &fleet.Assignment{Group: a.Group, BaseEpoch: a.BaseEpoch, Members: a.Members, Reason: a.Reason},
	}
}
