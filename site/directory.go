package site

import (
	"sort"
	"sync"
)

// controlDirectory holds the known addresses of control daemons: the seeds of the settings, and the addresses from
// control daemons' replies. A seed may no longer exist, so received addresses count as much as seeds.
type controlDirectory struct {
	mu        sync.Mutex
	seeds     []string
	controls  []string
	leader    string
	nextIndex int
}

func newControlDirectory(seeds []string) *controlDirectory {
	return &controlDirectory{seeds: seeds}
}

// setSeeds replaces the seeds after the settings have changed.
func (d *controlDirectory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// update applies the leader and the control daemons that a control daemon's reply names.
func (d *controlDirectory) update(leader string, controls []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(controls) > 0 {
		d.controls = controls
	}
	d.leader = leader
}

// forgetLeader is called when the leader does not answer or no longer leads.
func (d *controlDirectory) forgetLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address {
		d.leader = ""
	}
}

func (d *controlDirectory) knownLeader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// nextAddress returns the leader, or if that is unknown all known control daemons in rotation.
func (d *controlDirectory) nextAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	all := d.addressesLocked()
	if len(all) == 0 {
		return ""
	}
	d.nextIndex++
	return all[d.nextIndex%len(all)]
}

// addressesLocked returns every known address once, in order; the mutex is held.
func (d *controlDirectory) addressesLocked() []string {
	known := map[string]bool{}
	var list []string
	for _, address := range append(append([]string(nil), d.seeds...), d.controls...) {
		if !known[address] {
			known[address] = true
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}

// addresses returns every known address once, in order.
func (d *controlDirectory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesLocked()
}
