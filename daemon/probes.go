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

// prober watches this daemon's share of the upstreams; the leader also looks itself at those that seem absent.
type prober struct {
	d *Daemon

	mu         sync.Mutex
	latest     map[ident.VM]probeRecord
	inProgress map[ident.VM]bool

	// assigned is this daemon's share among live for the VMs of revision at; only run uses it.
	assigned   []probeTarget
	watchers   []presence.Watcher
	assignedAt ident.Revision
}

type probeRecord struct {
	sentAt time.Time
	presence.Observation
}

// maxProbes bounds the probes on their way at once.
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

// targets returns the VMs that this daemon has to watch now.
func (p *prober) targets() []probeTarget {
	now := p.d.now()
	p.assign(p.liveWatchers(now))
	if p.d.control == nil || !p.d.control.leads() {
		return p.assigned
	}
	list := slices.Clone(p.assigned)
	p.d.fleet.Read(func(s *fleet.State) {
		for name, v := range s.VMs {
			// One that is in the list already is being probed when its second turn comes.
			if v.Listing != fleet.ListingGone && p.d.leader.Detector.Absent(now, v) {
				list = append(list, probeTarget{name, v.Address})
			}
		}
	})
	return list
}

// assign works out the share anew when the VMs or the live daemons have changed, which is seldom beside the probes.
func (p *prober) assign(live []presence.Watcher) {
	p.d.fleet.Read(func(s *fleet.State) {
		if p.assignedAt == s.Revision && slices.Equal(p.watchers, live) {
			return
		}
		p.assignedAt, p.watchers, p.assigned = s.Revision, live, nil
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
	// The age counts from the question: the answer may have been true only then.
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

// recent returns the sightings that are young enough to matter, with their ages; older ones are forgotten.
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
