package daemon

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/control"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

const proposeTimeout = 3 * time.Second

func (d *Daemon) buildLeader() {
	leader := control.NewLeader()
	times := &d.cfg.Times
	leader.Machine, leader.Members = d.fleet, d.daemons
	leader.Daemons, leader.Started = d.cfg.DaemonNames(), d.started
	leader.Detector = control.NewFailureDetector(d.vmTable, times.PresenceBound.Std(), times.LossBound.Std())
	leader.Policy = planner.DefaultPolicy()
	leader.Policy.DowntimeWeight, leader.Policy.StrandedWeight = d.cfg.Policy.Downtime, d.cfg.Policy.Stranded
	leader.DrainBound, leader.ControlBound = times.DrainBound.Std(), times.ControlBound.Std()
	leader.Propose = d.proposeFleet
	leader.Registered = func() []fleet.VM { return d.platform.registered() }
	leader.HasPlatform = d.cfg.Platform.URL != ""
	leader.Listings = func() map[ident.VM]fleet.Listing { return d.platform.listings() }
	orders := control.NewOrders()
	orders.ConcurrentLoads = d.cfg.WeightStore.ConcurrentLoads
	orders.Deadline, orders.Authority, orders.Send = times.OrderDeadline.Std(), d.orderAuthority, d.engineClient.Order
	orders.Confirmed, orders.Failed = leader.Confirm, d.logOrderFailed
	leader.Orders = orders
	d.leader = leader
}

// orderAuthority returns what this daemon may order at this moment; it is called before each order.
func (d *Daemon) orderAuthority() control.Authority {
	if d.control == nil {
		return control.Authority{}
	}
	n := d.control.nodes[instanceFleet]
	now := d.now()
	s := n.Status()
	return control.Authority{
		Leads: s.Role == quorum.RoleLeader, Term: uint64(s.Term),
		MayOrderUnchecked: n.HoldsLease(now) && n.PriorLeasesExpired(now), LeaseEnd: s.LeaseEnd,
	}
}

func (d *Daemon) logOrderFailed(vm ident.VM, kind engine.OrderKind, err error) {
	d.Log.V(1).Info("order failed", "vm", vm, "order", kind, "code", int(result.CodeOf(err)), "text", result.Message(err))
}

// leadLoop runs the leader's checks while this control member leads; group downtime is counted whether it leads or not.
func (d *Daemon) leadLoop(ctx context.Context) {
	d.leader.Log = d.Log
	closedFor := map[ident.Daemon]ident.Incarnation{}
	defer d.leader.Orders.Wait()
	runEvery(ctx, tickInterval, func() {
		d.countGroups()
		if !d.control.leads() {
			return
		}
		if err := d.leader.Tick(ctx); err != nil {
			d.Log.V(1).Info("leader's check failed, retrying", "code", int(result.CodeOf(err)), "text", result.Message(err))
			return
		}
		d.closeOrphanedClaims(ctx, closedFor)
	})
}

// closeOrphanedClaims closes claims that earlier incarnations of restarted daemons left open. closedFor holds the
// incarnations for which that is done.
func (d *Daemon) closeOrphanedClaims(ctx context.Context, closedFor map[ident.Daemon]ident.Incarnation) {
	for _, p := range d.daemons.Live(d.now()) {
		if closedFor[p.Name] == p.Incarnation {
			continue
		}
		data, err := ledger.Encode(&ledger.Command{Kind: ledger.KindOrphan, Daemon: p.Name, Incarnation: p.Incarnation})
		if err != nil {
			continue
		}
		if _, err := d.proposeLedger(ctx, ledger.Key{}, data); err == nil {
			closedFor[p.Name] = p.Incarnation
		}
	}
}

// propose writes a command through the leader of an instance, here or on another daemon.
func (d *Daemon) propose(ctx context.Context, instance quorum.Instance, data []byte) (peer.ProposeReply, error) {
	call := &peer.ProposeCall{Instance: instance, Data: data}
	leader := d.leaders.Load().byInstance[instance]
	var reply peer.ProposeReply
	switch {
	case leader == "" || leader != d.cfg.Name && d.peers[leader] == nil:
		return reply, result.New(result.NoLeader, "no control leader is known")
	case leader == d.cfg.Name:
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		reply = d.control.proposeLocally(ctx, call)
	default:
		var err error
		if reply, err = d.peers[leader].Propose(ctx, proposeTimeout, call); err != nil {
			return reply, err
		}
	}
	if reply.Code != result.OK {
		return reply, result.New(reply.Code, "%s", reply.Text)
	}
	return reply, nil
}

func (d *Daemon) proposeFleet(ctx context.Context, command *fleet.Command) (fleet.Answer, error) {
	data, err := fleet.Encode(command)
	if err != nil {
		return fleet.Answer{}, result.Wrap(err, result.ChangeInvalid, "change cannot be encoded")
	}
	reply, err := d.propose(ctx, instanceFleet, data)
	if err != nil {
		return fleet.Answer{}, err
	}
	return decodeFleetAnswer(reply.Answer)
}

func (d *Daemon) proposeLedger(ctx context.Context, _ ledger.Key, data []byte) (ledger.Answer, error) {
	reply, err := d.propose(ctx, instanceLedger, data)
	if err != nil {
		return ledger.Answer{}, err
	}
	return decodeLedgerAnswer(reply.Answer)
}
