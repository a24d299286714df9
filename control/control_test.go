package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/control"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/result"
)

var start = time.Unix(1000, 0)

// Each case lists the observations of a member and the condition that follows.
func TestFailureDetector(t *testing.T) {
	answer := presence.Observation{VM: "w", Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7}
	refused := presence.Observation{VM: "w", Sight: presence.ProbeRefused}
	silent := presence.Observation{VM: "w", Sight: presence.ProbeTimedOut}
	type timedObservation struct {
		at          time.Duration
		observation presence.Observation
	}
	for _, c := range []struct {
		name         string
		phase        fleet.VMPhase
		observations []timedObservation
		at           time.Duration
		want         planner.Condition
	}{
		{"no observation", fleet.VMJoined, nil, time.Hour, planner.ConditionUnknown},
		{"present", fleet.VMJoined, []timedObservation{{time.Second, answer}}, 2 * time.Second, planner.ConditionPresent},
		{"silent for less than the loss bound", fleet.VMJoined, []timedObservation{{time.Second, answer}, {3 * time.Second, silent}}, 3 * time.Second, planner.ConditionPresent},
		{"silent for the loss bound, with an observer", fleet.VMJoined, []timedObservation{{time.Second, answer}, {4 * time.Second, silent}}, 4 * time.Second, planner.ConditionLost},
		{"silent for the loss bound, without an observer", fleet.VMJoined, []timedObservation{{time.Second, answer}}, time.Minute, planner.ConditionUnknown},
		{"refused for less than the loss bound", fleet.VMJoined, []timedObservation{{time.Second, answer}, {2 * time.Second, refused}}, 2 * time.Second, planner.ConditionSuspect},
		{"refused for the loss bound", fleet.VMJoined, []timedObservation{{time.Second, answer}, {4 * time.Second, refused}}, 4 * time.Second, planner.ConditionLost},
		{"seen by one of two observers", fleet.VMJoined, []timedObservation{{3 * time.Second, answer}, {4 * time.Second, silent}}, 4 * time.Second, planner.ConditionPresent},
		{"another incarnation", fleet.VMJoined, []timedObservation{{time.Second, presence.Observation{VM: "w", Sight: presence.ProbeAnswered, Incarnation: "j", Epoch: 7}}}, 2 * time.Second, planner.ConditionRestarted},
		{"old epoch, observed after joining", fleet.VMJoined, []timedObservation{{time.Second, presence.Observation{VM: "w", Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 6}}}, 2 * time.Second, planner.ConditionRestarted},
		{"old epoch, observed before joining", fleet.VMJoined, []timedObservation{{0, presence.Observation{VM: "w", Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 6}}}, time.Second, planner.ConditionPresent},
		{"free VM that never answered", fleet.VMFree, []timedObservation{{time.Second, refused}}, 2 * time.Second, planner.ConditionSuspect},
	} {
		table := presence.NewTable()
		detector := control.NewFailureDetector(table, time.Second, 2*time.Second)
		s := fleet.NewState()
		s.VMs["w"] = &fleet.VM{Name: "w", Phase: c.phase, Epoch: 7, Incarnation: "i"}
		input := planner.NewSnapshot(s)
		detector.Assess(start, input)
		for _, timed := range c.observations {
			table.Observe(start.Add(timed.at), []presence.Observation{timed.observation})
		}
		detector.Assess(start.Add(c.at), input)
		if got := input.VM("w").Condition; got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestFailureDetectorCountsFlaps(t *testing.T) {
	table := presence.NewTable()
	detector := control.NewFailureDetector(table, time.Second, 2*time.Second)
	s := fleet.NewState()
	s.VMs["w"] = &fleet.VM{Name: "w"}
	input := planner.NewSnapshot(s)
	now := start
	for range 3 {
		table.Observe(now, []presence.Observation{{VM: "w", Sight: presence.ProbeAnswered}})
		detector.Assess(now, input)
		now = now.Add(5 * time.Second)
		table.Observe(now, []presence.Observation{{VM: "w", Sight: presence.ProbeRefused}})
		detector.Assess(now, input)
	}
	if got := input.VM("w").Flaps; got != 3 {
		t.Errorf("%d flaps, want 3", got)
	}
	now = now.Add(11 * time.Minute)
	detector.Assess(now, input)
	if got := input.VM("w").Flaps; got != 0 {
		t.Errorf("%d flaps after the flap window, want 0", got)
	}
}

// orderRecorder records orders and replies with a function of the test.
type orderRecorder struct {
	*control.Orders
	mu        sync.Mutex
	sent      []string
	fences    []engine.Fence
	confirmed []fleet.Confirmation
	authority control.Authority
	reply     func(o *engine.Order) (engine.OrderAnswer, error)
}

func newOrderRecorder() *orderRecorder {
	r := &orderRecorder{Orders: control.NewOrders(), authority: control.Authority{Leads: true, Term: 3, MayOrderUnchecked: true, LeaseEnd: time.Now().Add(time.Hour)}}
	r.Deadline = time.Second
	r.reply = func(*engine.Order) (engine.OrderAnswer, error) {
		return engine.OrderAnswer{Incarnation: "i", Done: true}, nil
	}
	r.Authority = func() control.Authority { return r.authority }
	r.Confirmed = func(c fleet.Confirmation) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.confirmed = append(r.confirmed, c)
	}
	r.Send = func(_ context.Context, address string, o *engine.Order) (engine.OrderAnswer, error) {
		r.mu.Lock()
		r.sent = append(r.sent, fmt.Sprintf("%s %s %d rank %d", address, o.Kind, o.Epoch, o.Rank))
		r.fences = append(r.fences, o.Fence)
		r.mu.Unlock()
		return r.reply(o)
	}
	return r
}

// formingState returns a group of two VMs that join in epoch 7, and a VM that leaves epoch 5.
func formingState(checksOrders bool) *fleet.State {
	s := fleet.NewState()
	for i, name := range []ident.VM{"w0", "w1", "w2"} {
		s.VMs[name] = &fleet.VM{Name: name, Address: string(name), ChecksOrders: checksOrders, Group: "g", Epoch: 7, Phase: fleet.VMJoining}
		if i == 2 {
			s.VMs[name].Epoch, s.VMs[name].Phase = 5, fleet.VMLeaving
		}
	}
	s.Groups["g"] = &fleet.Group{Spec: fleet.GroupSpec{Name: "g", Model: "m", Size: 2}, Epoch: 7, Phase: fleet.GroupForming, Members: []ident.VM{"w1", "w0"}}
	return s
}

func TestOrdersFollowFromTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		r.Reconcile(t.Context(), formingState(true))
		r.Wait()
		want := map[string]bool{"w2 leave 5 rank 0": true, "w0 join 7 rank 1": true, "w1 join 7 rank 0": true}
		got := map[string]bool{}
		for _, order := range r.sent {
			got[order] = true
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("orders (-want +got):\n%s", diff)
		}
		if len(r.confirmed) != 3 {
			t.Errorf("confirmations %v, want 3", r.confirmed)
		}
		for i := 1; i < len(r.fences); i++ {
			if r.fences[i].Term != 3 || r.fences[i] == r.fences[i-1] {
				t.Errorf("fences %v, want term 3 and no two equal in a row", r.fences)
			}
		}
	})
}

func TestOrdersRequireAuthority(t *testing.T) {
	for _, c := range []struct {
		name         string
		authority    control.Authority
		checksOrders bool
		want         int
	}{
		{"no leader, engines check fences", control.Authority{}, true, 0},
		{"leader without a lease, engines check fences", control.Authority{Leads: true}, true, 3},
		{"leader without a lease, engines do not check fences", control.Authority{Leads: true}, false, 0},
		{"leader with a lease, engines do not check fences", control.Authority{Leads: true, MayOrderUnchecked: true, LeaseEnd: start.Add(time.Second)}, false, 3},
		{"leader whose lease has just ended, engines do not check fences", control.Authority{Leads: true, MayOrderUnchecked: true, LeaseEnd: start}, false, 0},
	} {
		r := newOrderRecorder()
		r.Now = func() time.Time { return start }
		r.authority = c.authority
		r.Reconcile(t.Context(), formingState(c.checksOrders))
		r.Wait()
		if got := len(r.sent); got != c.want {
			t.Errorf("%s: %d orders, want %d", c.name, got, c.want)
		}
	}
}

// An order to an engine that does not check fences must not be in flight after the end of the lease.
func TestOrdersEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		r.authority.LeaseEnd = time.Now().Add(300 * time.Millisecond)
		started := time.Now()
		var elapsed time.Duration
		r.Send = func(ctx context.Context, _ string, _ *engine.Order) (engine.OrderAnswer, error) {
			<-ctx.Done()
			r.mu.Lock()
			elapsed = time.Since(started)
			r.mu.Unlock()
			return engine.OrderAnswer{}, ctx.Err()
		}
		r.Reconcile(t.Context(), formingState(false))
		r.Wait()
		if elapsed > 300*time.Millisecond {
			t.Errorf("an order was in flight for %s, the lease ended after 300ms", elapsed)
		}
	})
}

func TestOrdersAreRepeatedUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		attempts := 0
		r.reply = func(*engine.Order) (engine.OrderAnswer, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch attempts++; {
			case attempts < 3:
				return engine.OrderAnswer{}, result.New(result.TimedOut, "lost")
			case attempts < 6:
				return engine.OrderAnswer{}, nil
			}
			return engine.OrderAnswer{Incarnation: "i", Done: true}, nil
		}
		s := formingState(true)
		delete(s.VMs, "w2")
		s.VMs["w0"].Phase = fleet.VMJoined
		for range 100 {
			if len(r.confirmed) > 0 {
				break
			}
			r.Reconcile(t.Context(), s)
			r.Wait()
			time.Sleep(50 * time.Millisecond)
		}
		if diff := cmp.Diff([]fleet.Confirmation{{VM: "w1", Epoch: 7, Incarnation: "i"}}, r.confirmed); diff != "" {
			t.Errorf("confirmed after %d attempts (-want +got):\n%s", attempts, diff)
		}
	})
}

// Four VMs load at full rate. Groups load one after another, and a dead VM does not block the next group.
func TestGroupsLoadOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		r.ConcurrentLoads = 4
		r.reply = func(*engine.Order) (engine.OrderAnswer, error) { return engine.OrderAnswer{}, nil }
		s := fleet.NewState()
		add := func(name ident.Group, epoch ident.Epoch, vms ...ident.VM) {
			s.Groups[name] = &fleet.Group{Spec: fleet.GroupSpec{Name: name, Size: len(vms)}, Epoch: epoch, Phase: fleet.GroupForming, Members: vms}
			for _, v := range vms {
				s.VMs[v] = &fleet.VM{Name: v, Address: string(v), ChecksOrders: true, Group: name, Epoch: epoch, Phase: fleet.VMJoining}
			}
		}
		add("large", 1, "l1", "l2", "l3", "l4")
		add("small", 2, "s1", "s2", "s3")
		ordered := func() map[string]bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			got := map[string]bool{}
			for _, order := range r.sent {
				got[order[:2]] = true
			}
			return got
		}
		for range 5 {
			r.Reconcile(t.Context(), s)
			r.Wait()
			time.Sleep(200 * time.Millisecond)
		}
		if diff := cmp.Diff(map[string]bool{"s1": true, "s2": true, "s3": true}, ordered()); diff != "" {
			t.Errorf("while the small group loads (-want +got):\n%s", diff)
		}
		// The VMs of the small group die: their failed orders no longer hold a slot, and the large group loads.
		r.reply = func(o *engine.Order) (engine.OrderAnswer, error) {
			if o.Group == "small" {
				return engine.OrderAnswer{}, result.New(result.NeverSent, "dead")
			}
			return engine.OrderAnswer{}, nil
		}
		for range 5 {
			r.Reconcile(t.Context(), s)
			r.Wait()
			time.Sleep(3 * time.Second)
		}
		if !ordered()["l4"] {
			t.Errorf("the large group never loaded: %v", ordered())
		}
	})
}

func TestShouldStartLoad(t *testing.T) {
	for _, c := range []struct {
		vms, groups, additional, limit int
		want                           bool
	}{
		{0, 0, 100, 8, true},
		{4, 1, 4, 8, true},
		{4, 1, 6, 8, true},
		{8, 2, 8, 8, false},
		{8, 1, 1, 8, true},
		{8, 1, 8, 8, false},
	} {
		if got := control.ShouldStartLoad(c.vms, c.groups, c.additional, c.limit); got != c.want {
			t.Errorf("%d loading VMs of %d groups, %d additional, limit %d: %t, want %t", c.vms, c.groups, c.additional, c.limit, got, c.want)
		}
	}
}

// A drain waits for each daemon that can still have a request in progress.
func TestDrainWaitsForDaemonsThatMayStillServe(t *testing.T) {
	const bound = 8 * time.Second
	peerState := func(lastContact time.Duration, revision ident.Revision, inFlight int) *presence.Peer {
		return &presence.Peer{Name: "b", LastContact: start.Add(lastContact), Revision: revision, InFlight: map[ident.Group]int{"g": inFlight}}
	}
	for _, c := range []struct {
		name string
		peer *presence.Peer
		at   time.Duration
		want bool
	}{
		{"knows of the drain, nothing in progress", peerState(0, 9, 0), time.Second, true},
		{"one request in progress", peerState(0, 9, 1), time.Second, false},
		{"does not know of the drain yet", peerState(0, 8, 0), time.Second, false},
		{"silent for less than the bound", peerState(0, 8, 1), bound, false},
		{"silent for so long that it refuses requests", peerState(0, 8, 1), bound + 1, true},
		{"unknown to this leader", nil, bound, false},
		{"unknown for longer than it may serve", nil, bound + 1, true},
		{"drain bound has passed", peerState(time.Hour, 9, 1), time.Hour + time.Minute, true},
	} {
		l := control.NewLeader()
		l.Machine, l.Members = fleet.NewMachine(), presence.NewMembers(time.Second)
		l.Detector = control.NewFailureDetector(presence.NewTable(), time.Second, 2*time.Second)
		l.Daemons, l.Started, l.ControlBound, l.DrainBound = []ident.Daemon{"b"}, start, bound, 30*time.Minute
		s := fleet.NewState()
		s.Revision = 9
		s.Groups["g"] = &fleet.Group{Spec: fleet.GroupSpec{Name: "g", Size: 1}, Epoch: 5, Phase: fleet.GroupDraining, DrainRevision: 9}
		data, err := s.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Machine.Restore(9, data); err != nil {
			t.Fatal(err)
		}
		if c.peer != nil {
			l.Members.Update(*c.peer)
		}
		l.Now = func() time.Time { return start }
		l.View(func(*planner.Snapshot) {})
		l.Now = func() time.Time { return start.Add(c.at) }
		l.View(func(input *planner.Snapshot) {
			if got := input.Group("g").Drained; got != c.want {
				t.Errorf("%s: drained %t, want %t", c.name, got, c.want)
			}
		})
	}
}

// The platform's last listing stays in force while the platform cannot be read, also under a new leader.
func TestListingsFollowPlatformAndEngine(t *testing.T) {
	for _, c := range []struct {
		name        string
		before      fleet.Listing
		listings    map[ident.VM]fleet.Listing
		hasPlatform bool
		leaving     bool
		want        fleet.Listing
	}{
		{"engine leaves", fleet.ListingLive, nil, true, true, fleet.ListingLeaving},
		{"platform lists it as live, engine leaves", fleet.ListingLive, map[ident.VM]fleet.Listing{"w": fleet.ListingLive}, true, true, fleet.ListingLeaving},
		{"leaving, platform cannot be read", fleet.ListingLeaving, nil, true, false, fleet.ListingLeaving},
		{"leaving, platform lists it as live", fleet.ListingLeaving, map[ident.VM]fleet.Listing{"w": fleet.ListingLive}, true, false, fleet.ListingLive},
		{"without a platform, engine no longer leaves", fleet.ListingLeaving, nil, false, false, fleet.ListingLive},
	} {
		l := control.NewLeader()
		l.Machine, l.Members, l.Orders = fleet.NewMachine(), presence.NewMembers(time.Second), control.NewOrders()
		l.Orders.Authority = func() control.Authority { return control.Authority{} }
		l.HasPlatform = c.hasPlatform
		table := presence.NewTable()
		table.Observe(time.Now(), []presence.Observation{{VM: "w", Sight: presence.ProbeAnswered, Leaving: c.leaving}})
		l.Detector = control.NewFailureDetector(table, time.Second, 2*time.Second)
		l.Listings = func() map[ident.VM]fleet.Listing { return c.listings }
		s := fleet.NewState()
		s.VMs["w"] = &fleet.VM{Name: "w", Listing: c.before, Accelerators: 1}
		data, err := s.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Machine.Restore(1, data); err != nil {
			t.Fatal(err)
		}
		revision := ident.Revision(1)
		l.Propose = func(_ context.Context, command *fleet.Command) (fleet.Answer, error) {
			data, err := fleet.Encode(command)
			if err != nil {
				return fleet.Answer{}, err
			}
			revision++
			return l.Machine.Apply(revision, data), nil
		}
		if err := l.Tick(t.Context()); err != nil {
			t.Fatal(err)
		}
		l.Machine.Read(func(s *fleet.State) {
			if got := s.VMs["w"].Listing; got != c.want {
				t.Errorf("%s: got %s, want %s", c.name, got, c.want)
			}
		})
	}
}
