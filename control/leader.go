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

// Leader does the leader's work once in every tick, when this member leads; exported fields are set before use.
type Leader struct {
	Now      func() time.Time
	Machine  *fleet.Machine
	Detector *FailureDetector
	Members  *presence.Members
	// Daemons names every daemon that may serve, Started is when this process began to hear of them.
	Daemons []ident.Daemon
	Started time.Time
	Orders  *Orders
	Policy  planner.Policy
	// DrainBound is how long a drain waits for requests in progress, ControlBound how long a silent daemon may still serve.
	DrainBound   time.Duration
	ControlBound time.Duration
	// Propose writes one command to the log.
	Propose func(ctx context.Context, c *fleet.Command) (fleet.Answer, error)
	// Registered returns the VMs that settings and platform name, Listings what is said of their stay.
	Registered func() []fleet.VM
	Listings   func() map[ident.VM]fleet.Listing
	// HasPlatform is set when a platform lists VMs; without one only the engines themselves do.
	HasPlatform bool
	Log         logr.Logger

	mu       sync.Mutex
	confirms []fleet.Confirm
	down     map[ident.Group]time.Time
	drains   map[ident.Group]drainWatch
	// world is the planner's view of revision laid; planned is what of it the last plan had seen.
	world   *planner.Snapshot
	laid    ident.Revision
	planned []uint8
}

type drainWatch struct {
	epoch ident.Epoch
	since time.Time
}

// NewLeader returns a leader without work.
func NewLeader() *Leader {
	return &Leader{
		Now:        clock.Now,
		Policy:     planner.DefaultPolicy(),
		Registered: func() []fleet.VM { return nil },
		Listings:   func() map[ident.VM]fleet.Listing { return nil },
		Log:        logr.Discard(),
		down:       map[ident.Group]time.Time{},
		drains:     map[ident.Group]drainWatch{},
	}
}

// Confirm takes an engine's confirmation, which the next tick writes to the log together with others.
func (l *Leader) Confirm(c fleet.Confirm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirms = append(l.confirms, c)
}

func (l *Leader) takeConfirms() []fleet.Confirm {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.confirms
	l.confirms = nil
	return c
}

// Tick does everything that is due; an error means that the log took no commands, and the next tick tries again.
func (l *Leader) Tick(ctx context.Context) error {
	if err := l.writeConfirms(ctx); err != nil {
		return err
	}
	if err := l.register(ctx); err != nil {
		return err
	}
	if err := l.list(ctx); err != nil {
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
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindConfirm, Confirms: confirms})
	return err
}

// register writes the VMs that are new or have moved.
func (l *Leader) register(ctx context.Context) error {
	var changed []fleet.VM
	l.Machine.Read(func(s *fleet.State) {
		for _, v := range l.Registered() {
			if old := s.VMs[v.Name]; old == nil || !sameMachine(old, &v) {
				changed = append(changed, v)
			}
		}
	})
	if len(changed) == 0 {
		return nil
	}
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindRegister, VMs: changed})
	return err
}

func sameMachine(a, b *fleet.VM) bool {
	return a.Address == b.Address && a.Hall == b.Hall && a.Domain == b.Domain &&
		a.Accelerators == b.Accelerators && a.Speed == b.Speed && a.ChecksOrders == b.ChecksOrders
}

// list writes what the platform and the engines say of VMs that stay or leave, where it has changed.
func (l *Leader) list(ctx context.Context) error {
	said := l.Listings()
	var changed []fleet.VMListing
	l.Machine.Read(func(s *fleet.State) {
		for _, v := range s.SortedVMs() {
			listing, ok := said[v.Name]
			if !ok {
				listing = v.Listing
			}
			if seen := l.Detector.Table.Cell(v.Name).Latest(); seen != nil && seen.Leaving && listing == fleet.ListingLive {
				listing = fleet.ListingLeaving
			} else if !ok && !l.HasPlatform && seen != nil && !seen.Leaving && listing == fleet.ListingLeaving {
				// With a platform its silence proves nothing: a leader that has not read the list yet must not take its word back.
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
	_, err := l.Propose(ctx, &fleet.Command{Kind: fleet.KindListing, Listings: changed})
	return err
}

// View calls fn with the planner's view at this moment, which fn must not keep. Laying a fleet out costs far more than
// judging it, so that is done once for each revision.
func (l *Leader) View(fn func(w *planner.Snapshot)) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision := l.Machine.Revision(); l.world == nil || revision != l.laid {
		l.Machine.Read(func(s *fleet.State) {
			l.laid = s.Revision
			l.world = planner.NewSnapshot(s.Clone())
		})
		// A name that is declared again later starts without the past of the one before.
		maps.DeleteFunc(l.down, func(name ident.Group, _ time.Time) bool { return l.world.Group(name) == nil })
		maps.DeleteFunc(l.drains, func(name ident.Group, _ drainWatch) bool { return l.world.Group(name) == nil })
	}
	l.Detector.Assess(now, l.world)
	l.judgeGroups(now, l.world)
	fn(l.world)
}

// Actions returns what the planner wants, or nothing when all that it decides by is as it was at the last plan.
func (l *Leader) Actions() (actions []planner.Action) {
	l.View(func(w *planner.Snapshot) {
		seen := fingerprint(w, l.Policy.RecoveryWait, l.laid)
		if slices.Equal(seen, l.planned) {
			return
		}
		actions = planner.Plan(w, l.Policy)
		l.planned = seen
	})
	return actions
}

// fingerprint notes everything that a plan depends on beside the state: conditions, drains, and the passing of times.
func fingerprint(w *planner.Snapshot, patience time.Duration, revision ident.Revision) []uint8 {
	seen := binary.LittleEndian.AppendUint64(make([]uint8, 0, len(w.VMs)+len(w.Groups)), uint64(revision))
	for i := range w.VMs {
		v := &w.VMs[i]
		mark := uint8(v.Condition) << 1
		if v.Steady() {
			mark |= 1
		}
		seen = append(seen, mark)
	}
	for i := range w.Groups {
		g := &w.Groups[i]
		mark := uint8(0)
		if g.Drained {
			mark |= 1
		}
		if g.DownFor >= patience {
			mark |= 2
		}
		seen = append(seen, mark)
	}
	return seen
}

func (l *Leader) judgeGroups(now time.Time, w *planner.Snapshot) {
	for i := range w.Groups {
		g := &w.Groups[i]
		g.Drained = l.drained(now, g)
		if g.Phase == fleet.GroupServing && l.allPresent(w, g) {
			delete(l.down, g.Spec.Name)
			g.DownFor = 0
			continue
		}
		since, ok := l.down[g.Spec.Name]
		if !ok {
			since = now
			l.down[g.Spec.Name] = now
		}
		g.DownFor = now.Sub(since)
	}
}

func (l *Leader) allPresent(w *planner.Snapshot, g *planner.Group) bool {
	for _, name := range g.Members {
		if w.VM(name).Condition != planner.ConditionPresent {
			return false
		}
	}
	return true
}

// drained reports whether no daemon can have a request in progress at g: each one knows of the drain and has none,
// or has been silent for so long that it refuses requests; or the bound has passed.
func (l *Leader) drained(now time.Time, g *planner.Group) bool {
	if g.Phase != fleet.GroupDraining {
		delete(l.drains, g.Spec.Name)
		return false
	}
	d := l.drains[g.Spec.Name]
	if d.epoch != g.Epoch {
		d = drainWatch{g.Epoch, now}
		l.drains[g.Spec.Name] = d
	}
	if now.Sub(d.since) > l.DrainBound {
		return true
	}
	for _, name := range l.Daemons {
		if !l.done(now, name, g) {
			return false
		}
	}
	return true
}

// done reports whether one daemon can have no request in progress at g. One that this process has not heard of yet may
// be serving all the same, for as long as it may without control.
func (l *Leader) done(now time.Time, name ident.Daemon, g *planner.Group) bool {
	p, heard := l.Members.Get(name)
	if !heard {
		return now.Sub(l.Started) > l.ControlBound
	}
	if now.Sub(p.LastContact) > l.ControlBound {
		return true
	}
	return p.Revision >= g.DrainedFrom && p.InFlight[g.Spec.Name] == 0
}

func (l *Leader) plan(ctx context.Context) error {
	for _, a := range l.Actions() {
		answer, err := l.Propose(ctx, commandFor(&a))
		if err != nil {
			// What was not written has to be planned again.
			l.forgetPlan()
			return err
		}
		l.Log.Info("planned", "group", a.Group, "members", a.Members, "reason", a.Reason,
			"revision", answer.Revision, "code", int(answer.Code), "text", answer.Text)
	}
	return nil
}

func (l *Leader) forgetPlan() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planned = nil
}

func commandFor(a *planner.Action) *fleet.Command {
	kinds := map[planner.ActionKind]fleet.Kind{
		planner.ActionAssign: fleet.KindAssign, planner.ActionDrain: fleet.KindDrainGroup, planner.ActionBreak: fleet.KindBreakGroup,
	}
	return &fleet.Command{
		Kind:   kinds[a.Kind],
		Assign: &fleet.Assign{Group: a.Group, Base: a.BaseEpoch, Members: a.Members, Reason: a.Reason},
	}
}
