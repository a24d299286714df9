package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/result"
)

// prober probes the VMs that are assigned to this daemon; the leader also probes all that seem absent to it.
type prober struct {
	d *Daemon

	mu         sync.Mutex
	latest     map[ident.VM]probeRecord
	inProgress map[ident.VM]bool

	// assigned holds the VMs of assignedRevision that this daemon probes when assignedWatchers are live; only run uses it.
	assigned         []probeTarget
	assignedWatchers []presence.Watcher
	assignedRevision ident.Revision
}

type probeRecord struct {
	sentAt time.Time
	presence.Observation
}

// maxProbes bounds the probes in progress.
const maxProbes = 512

func newProber(d *Daemon) *prober {
	return &prober{d: d, latest: map[ident.VM]probeRecord{}, inProgress: map[ident.VM]bool{}}
}

func (p *prober) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	runEvery(ctx, p.d.cfg.Times.Probe.Std(), func() {
		for _, v := range p.targets() {
			if !p.startProbe(v.name) {
				continue
			}
			wg.Go(func() {
				defer p.endProbe(v.name)
				p.probe(ctx, v)
			})
		}
	})
}

type probeTarget struct {
	name    ident.VM
	address string
}

// targets returns the VMs that this daemon is to probe now.
func (p *prober) targets() []probeTarget {
	now := p.d.now()
	p.assign(p.liveWatchers(now))
	if p.d.control == nil || !p.d.control.leads() {
		return p.assigned
	}
	list := slices.Clone(p.assigned)
	p.d.fleet.Read(func(s *fleet.State) {
		for name, v := range s.VMs {
			// A VM that is already in the list is not probed twice: its probe is in progress at the second entry.
			if v.Listing != fleet.ListingGone && p.d.leader.Detector.Absent(now, v) {
				list = append(list, probeTarget{name, v.Address})
			}
		}
	})
	return list
}

// assign recomputes assigned when the VMs or the live daemons have changed, which is rare compared to probes.
func (p *prober) assign(live []presence.Watcher) {
	p.d.fleet.Read(func(s *fleet.State) {
		if p.assignedRevision == s.Revision && slices.Equal(p.assignedWatchers, live) {
			return
		}
		p.assignedRevision, p.assignedWatchers, p.assigned = s.Revision, live, nil
		for name, v := range s.VMs {
			if v.Listing != fleet.ListingGone && slices.Contains(presence.Watchers(name, v.Hall, live), p.d.cfg.Name) {
				p.assigned = append(p.assigned, probeTarget{name, v.Address})
			}
		}
	})
}

func (p *prober) liveWatchers(now time.Time) []presence.Watcher {
	var live []presence.Watcher
	for _, peer := range p.d.daemons.Live(now) {
		live = append(live, presence.Watcher{Name: peer.Name, Hall: peer.Hall})
	}
	return live
}

func (p *prober) startProbe(name ident.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[name] || len(p.inProgress) >= maxProbes {
		return false
	}
	p.inProgress[name] = true
	return true
}

func (p *prober) endProbe(name ident.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, name)
}

func (p *prober) probe(ctx context.Context, target probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, p.d.cfg.Times.PresenceBound.Std())
	defer cancel()
	// The age counts from the time of sending: the engine may have read its state at that moment.
	sentAt := p.d.now()
	state, err := p.d.engineClient.State(ctx, target.address)
	if ctx.Err() != nil && err != nil && result.CodeOf(err) == result.Cancelled {
		return
	}
	observed := newObservation(target.name, &state, err)
	p.mu.Lock()
	p.latest[target.name] = probeRecord{sentAt, observed}
	p.mu.Unlock()
	p.d.vmTable.Observe(sentAt, []presence.Observation{observed})
}

func newObservation(name ident.VM, state *engine.State, err error) presence.Observation {
	switch {
	case err == nil:
		return presence.Observation{
			VM: name, Sight: presence.ProbeAnswered, Incarnation: state.Incarnation, Group: state.Group, Epoch: state.Epoch,
			Leaving: state.Leaving, Slots: state.Slots, Running: state.Running, Queued: state.Queued,
		}
	case result.CodeOf(err) == result.NeverSent:
		return presence.Observation{VM: name, Sight: presence.ProbeRefused}
	}
	return presence.Observation{VM: name, Sight: presence.ProbeTimedOut}
}

// recent returns the observations within the loss bound with their ages, and deletes older ones.
func (p *prober) recent(now time.Time) []presence.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []presence.Observation
	for name, record := range p.latest {
		age := now.Sub(record.sentAt)
		if age > p.d.cfg.Times.LossBound.Std() {
			delete(p.latest, name)
			continue
		}
		observed := record.Observation
		observed.Age = age.Milliseconds()
		list = append(list, observed)
	}
	return list
}
