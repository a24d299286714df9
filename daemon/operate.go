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

const changeRetry = 100 * time.Millisecond

// change writes an operator's change; while no leader is found it is sent again, which its id makes harmless.
func (d *Daemon) change(ctx context.Context, c *fleet.Command) (fleet.Answer, error) {
	for {
		answer, err := d.proposeFleet(ctx, c)
		if err == nil {
			d.awaitRevision(ctx, answer.Revision)
			d.Log.Info("change answered", "change", c.Change, "operator", c.By, "what", c.What(),
				"revision", answer.Revision, "code", int(answer.Code))
			return answer, nil
		}
		if code := result.CodeOf(err); code != result.NoLeader && code != result.DaemonUnreached {
			return answer, err
		}
		if !sleep(ctx, changeRetry) {
			return answer, result.Wrap(err, result.NoLeader, "no leader confirmed the change")
		}
	}
}

// awaitRevision lets an operator read from the same daemon what it has just changed.
func (d *Daemon) awaitRevision(ctx context.Context, revision ident.Revision) {
	for d.machine.Revision() < revision {
		changed := d.machine.Changed()
		if d.machine.Revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// admitMember takes in a member's new data folder in every instance, each through its own leader.
func (d *Daemon) admitMember(ctx context.Context, name ident.Daemon) error {
	for i := range quorum.Instance(instanceCount) {
		if err := d.admitInstance(ctx, &peer.AdmitCall{Instance: i, Member: name}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) admitInstance(ctx context.Context, c *peer.AdmitCall) error {
	leader := d.leaders.Load().byInstance[c.Instance]
	var reply peer.AdmitReply
	var err error
	switch {
	case leader == d.cfg.Name && d.control != nil:
		reply = d.control.admit(ctx, c)
	case d.peers[leader] != nil:
		reply, err = d.peers[leader].Admit(ctx, proposeTimeout, c)
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
	s := operator.Status{
		Daemon: d.cfg.Name, Leader: d.leaders.Load().byInstance[instanceFleet], Role: "entry", Revision: d.view.revision(),
	}
	if d.control != nil {
		q := d.control.nodes[instanceFleet].Status()
		s.Role, s.Term = q.Role.String(), uint64(q.Term)
	}
	if err := d.readiness(); err != nil {
		s.Reason = result.Text(err)
	}
	s.Serving = s.Reason == ""
	d.machine.Read(func(st *fleet.State) { s.VMs, s.Groups = len(st.VMs), len(st.Groups) })
	c := d.metrics.counted()
	s.Whole, s.Stranded, s.StrandedMillis, s.DownMillis = c.whole, c.stranded, c.strandedTime.Milliseconds(), c.downTime.Milliseconds()
	for _, p := range d.members.All() {
		s.Daemons = append(s.Daemons, operator.DaemonView{
			Name: p.Name, Hall: p.Hall, Incarnation: p.Incarnation, Revision: p.Revision,
			HeardMillis: now.Sub(p.LastContact).Milliseconds(), Live: now.Sub(p.LastContact) <= d.members.Bound, Stopping: p.Stopping,
		})
	}
	return s
}

// inForce tells of every daemon that the settings name whether it serves by the revision. One that was silent for the
// control bound and a beat has stopped serving by itself, see force.
func (d *Daemon) inForce(revision ident.Revision) operator.InForce {
	now := d.now()
	out := operator.InForce{Revision: revision, Done: true}
	refusing := d.cfg.Times.ControlBound.Std() + 2*callTimeout
	for _, name := range d.cfg.DaemonNames() {
		p, heard := d.members.Get(name)
		v := operator.ForceView{Name: name, Revision: p.Revision, State: operator.ForceBehind}
		switch {
		case heard && p.Revision >= revision:
			v.State = operator.ForceHas
		case heard && now.Sub(p.LastContact) > refusing, !heard && now.Sub(d.started) > refusing:
			v.State = operator.ForceRefuses
		default:
			out.Done = false
		}
		out.Daemons = append(out.Daemons, v)
	}
	return out
}

// groupTotals is what this daemon has counted of groups and accelerators.
type groupTotals struct {
	whole        int
	stranded     ident.Accelerators
	strandedTime time.Duration
	downTime     time.Duration
	// byGroup is the downtime of each group that is declared now.
	byGroup map[ident.Group]time.Duration
}

type groupClock struct {
	mu   sync.Mutex
	last time.Time
	sum  groupTotals
}

// add counts the time since the last look by what is seen now.
func (g *groupClock) add(now time.Time, w *planner.Snapshot, whole func(name ident.Group, epoch ident.Epoch) bool) groupTotals {
	g.mu.Lock()
	defer g.mu.Unlock()
	var since time.Duration
	if !g.last.IsZero() {
		since = now.Sub(g.last)
	}
	g.last = now
	g.sum.whole, g.sum.stranded = 0, 0
	before := g.sum.byGroup
	g.sum.byGroup = make(map[ident.Group]time.Duration, len(w.Groups))
	inWhole := map[ident.VM]bool{}
	for i := range w.Groups {
		group := &w.Groups[i]
		g.sum.byGroup[group.Spec.Name] = before[group.Spec.Name]
		g.countGroup(group, since, group.Phase == fleet.GroupServing && whole(group.Spec.Name, group.Epoch), inWhole)
	}
	for i := range w.VMs {
		if v := &w.VMs[i]; v.Condition == planner.ConditionPresent && v.Eligible() && !inWhole[v.Name] {
			g.sum.stranded += v.Accelerators
			g.sum.strandedTime += since * time.Duration(v.Accelerators)
		}
	}
	return g.sum
}

func (g *groupClock) countGroup(group *planner.Group, since time.Duration, whole bool, inWhole map[ident.VM]bool) {
	if !whole {
		if !group.Deleted {
			g.sum.downTime += since
			g.sum.byGroup[group.Spec.Name] += since
		}
		return
	}
	g.sum.whole++
	for _, name := range group.Members {
		inWhole[name] = true
	}
}

// whole reports whether this daemon would send requests to the group now.
func (d *Daemon) whole(name ident.Group, epoch ident.Epoch) bool {
	return d.view.whole(d.now(), name, epoch)
}

// measureGroups counts group downtime and stranded accelerators.
func (d *Daemon) measureGroups() {
	d.leader.View(func(w *planner.Snapshot) {
		d.metrics.groups(d.clock.add(d.now(), w, d.whole))
	})
}
