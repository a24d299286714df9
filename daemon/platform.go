package daemon

import (
	"context"
	"sync"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/vmlist"
)

// platformWatcher polls the platform's list of VMs and merges it with the upstreams of the settings.
type platformWatcher struct {
	d      *Daemon
	client *vmlist.Client

	mu   sync.Mutex
	list vmlist.List
}

func newPlatformWatcher(d *Daemon) *platformWatcher {
	p := &platformWatcher{d: d}
	if d.cfg.Platform.URL != "" {
		p.client = vmlist.NewClient(d.network.Dial, d.cfg.Platform.URL)
	}
	return p
}

func (p *platformWatcher) run(ctx context.Context) {
	if p.client == nil {
		return
	}
	runEvery(ctx, p.d.cfg.Platform.Interval.Std(), func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, err := p.client.List(ctx)
		if err != nil {
			// The last list is kept: a failure of the platform says nothing about the VMs.
			p.d.Log.V(1).Info("platform's list of VMs could not be read", "error", err.Error())
			return
		}
		p.mu.Lock()
		p.list = *list
		p.mu.Unlock()
	})
}

// registered returns the upstreams of the settings and the valid ones of the platform's list; where both have a VM, the
// platform's entry is used.
func (p *platformWatcher) registered() []fleet.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []fleet.VM
	listed := map[ident.VM]bool{}
	for i := range p.list.VMs {
		if entry := &p.list.VMs[i]; entry.Valid() {
			listed[entry.Name] = true
			vms = append(vms, vmlist.FleetVM(&entry.Upstream))
		}
	}
	for i := range p.d.cfg.Upstreams {
		if upstream := &p.d.cfg.Upstreams[i]; !listed[upstream.Name] {
			vms = append(vms, vmlist.FleetVM(upstream))
		}
	}
	return vms
}

func (p *platformWatcher) listings() map[ident.VM]fleet.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	listings := map[ident.VM]fleet.Listing{}
	for i := range p.list.VMs {
		listings[p.list.VMs[i].Name] = p.list.VMs[i].State.Listing()
	}
	return listings
}
