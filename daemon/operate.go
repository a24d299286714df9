package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

const changeRetryDelay = 100 * time.Millisecond

// change proposes an operator's change, and repeats that while the leader is unknown or unreachable; the change's id
// prevents a second application.
func (d *Daemon) change(ctx context.Context, command *fleet.Command) (fleet.Answer, error) {
	for {
		answer, err := d.proposeFleet(ctx, command)
		if err == nil {
			d.awaitRevision(ctx, answer.Revision)
			d.Log.Info("change answered", "change", command.Change, "operator", command.By, "what", command.Summary(),
				"revision", answer.Revision, "code", int(answer.Code))
			return answer, nil
		}
		if code := result.CodeOf(err); code != result.NoLeader && code != result.DaemonUnreached {
			return answer, err
		}
		if !sleep(ctx, changeRetryDelay) {
			return answer, result.Wrap(err, result.NoLeader, "no leader confirmed the change in time")
		}
	}
}

// awaitRevision waits until this daemon has the revision, so that an operator can read a change where it was made.
func (d *Daemon) awaitRevision(ctx context.Context, revision ident.Revision) {
	for d.fleet.Revision() < revision {
		changed := d.fleet.Changed()
		if d.fleet.Revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// admitMember admits a member's new data folder to every instance, each through its own leader.
func (d *Daemon) admitMember(ctx context.Context, name ident.Daemon) error {
	for i := range quorum.Instance(instanceCount) {
		if err := d.admitInstance(ctx, &peer.AdmitCall{Instance: i, Member: name}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) admitInstance(ctx context.Context, call *peer.AdmitCall) error {
	leader := d.leaders.Load().byInstance[call.Instance]
	var reply peer.AdmitReply
	var err error
	switch {
	case leader == d.cfg.Name && d.control != nil:
		reply = d.control.admitMember(ctx, call)
	case d.peers[leader] != nil:
		reply, err = d.peers[leader].Admit(ctx, proposeTimeout, call)
	default:
		err = result.New(result.NoLeader, "no control leader is known")
	}
	if err == nil && reply.Code != result.OK {
		err = result.New(reply.Code, "%s", reply.Text)
	}
	return err
}

func (d *Daemon) status() operator.Status {
	now := d.now()
	status := operator.Status{
		Daemon: d.cfg.Name, Leader: d.leaders.Load().byInstance[instanceFleet], Role: "entry", Revision: d.applied.revision(),
	}
	if d.control != nil {
		quorumStatus := d.control.nodes[instanceFleet].Status()
		status.Role, status.Term = quorumStatus.Role.String(), uint64(quorumStatus.Term)
	}
	if err := d.readiness(); err != nil {
		status.Reason = result.Text(err)
	}
	status.Serving = status.Reason == ""
	d.fleet.Read(func(state *fleet.State) { status.VMs, status.Groups = len(state.VMs), len(state.Groups) })
	totals := d.metrics.currentGroupTotals()
	status.Whole, status.Stranded, status.StrandedMillis, status.DownMillis = totals.wholeGroups, totals.strandedAccelerators, totals.strandedAcceleratorTime.Milliseconds(), totals.downtime.Milliseconds()
	for _, p := range d.daemons.All() {
		status.Daemons = append(status.Daemons, operator.DaemonView{
			Name: p.Name, Hall: p.Hall, Incarnation: p.Incarnation, Revision: p.Revision,
			HeardMillis: now.Sub(p.LastContact).Milliseconds(), Live: now.Sub(p.LastContact) <= d.daemons.Bound, Stopping: p.Stopping,
		})
	}
	return status
}

// revisionInForce reports whether each daemon of the settings serves by the revision. A daemon without contact for more
// than the control bound and the time of two calls counts as refusing requests by itself, see configFreshness.
func (d *Daemon) revisionInForce(revision ident.Revision) operator.InForce {
	now := d.now()
	answer := operator.InForce{Revision: revision, Done: true}
	refusesAfter := d.cfg.Times.ControlBound.Std() + 2*callTimeout
	for _, name := range d.cfg.DaemonNames() {
		p, contacted := d.daemons.Get(name)
		daemonState := operator.ForceView{Name: name, Revision: p.Revision, State: operator.ForceBehind}
		switch {
		case contacted && p.Revision >= revision:
			daemonState.State = operator.ForceHas
		case contacted && now.Sub(p.LastContact) > refusesAfter, !contacted && now.Sub(d.started) > refusesAfter:
			daemonState.State = operator.ForceRefuses
		default:
			answer.Done = false
		}
		answer.Daemons = append(answer.Daemons, daemonState)
	}
	return answer
}

// groupTotals holds the current numbers of groups and accelerators, and times added up since the daemon's start.
type groupTotals struct {
	wholeGroups             int
	strandedAccelerators    ident.Accelerators
	strandedAcceleratorTime time.Duration
	downtime                time.Duration
	// downtimeByGroup holds declared groups only.
	downtimeByGroup map[ident.Group]time.Duration
}

// groupCounter adds up group downtime and the time of stranded accelerators.
type groupCounter struct {
	mu           sync.Mutex
	countedUntil time.Time
	totals       groupTotals
}

// count attributes the time since the last call to the groups and VMs that are down or stranded in snapshot.
func (g *groupCounter) count(now time.Time, snapshot *planner.Snapshot, whole func(name ident.Group, epoch ident.Epoch) bool) groupTotals {
	g.mu.Lock()
	defer g.mu.Unlock()
	var elapsed time.Duration
	if !g.countedUntil.IsZero() {
		elapsed = now.Sub(g.countedUntil)
	}
	g.countedUntil = now
	g.totals.wholeGroups, g.totals.strandedAccelerators = 0, 0
	previous := g.totals.downtimeByGroup
	g.totals.downtimeByGroup = make(map[ident.Group]time.Duration, len(snapshot.Groups))
	inWholeGroup := map[ident.VM]bool{}
	for i := range snapshot.Groups {
		group := &snapshot.Groups[i]
		g.totals.downtimeByGroup[group.Spec.Name] = previous[group.Spec.Name]
		g.countGroup(group, elapsed, group.Phase == fleet.GroupServing && whole(group.Spec.Name, group.Epoch), inWholeGroup)
	}
	for i := range snapshot.VMs {
		if v := &snapshot.VMs[i]; v.Condition == planner.ConditionPresent && v.Eligible() && !inWholeGroup[v.Name] {
			g.totals.strandedAccelerators += v.Accelerators
			g.totals.strandedAcceleratorTime += elapsed * time.Duration(v.Accelerators)
		}
	}
	return g.totals
}

func (g *groupCounter) countGroup(group *planner.Group, elapsed time.Duration, whole bool, inWholeGroup map[ident.VM]bool) {
	if !whole {
		if !group.Deleted {
			g.totals.downtime += elapsed
			g.totals.downtimeByGroup[group.Spec.Name] += elapsed
		}
		return
	}
	g.totals.wholeGroups++
	for _, name := range group.Members {
		inWholeGroup[name] = true
	}
}

// groupWhole reports whether this daemon would route requests to the group now.
func (d *Daemon) groupWhole(name ident.Group, epoch ident.Epoch) bool {
	return d.applied.groupWhole(d.now(), name, epoch)
}

// countGroups updates the metrics of group downtime and stranded accelerators.
func (d *Daemon) countGroups() {
	d.leader.View(func(snapshot *planner.Snapshot) {
		d.metrics.setGroupTotals(d.groupCounter.count(d.now(), snapshot, d.groupWhole))
	})
}
