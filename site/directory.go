package site

import (
	"sort"
	"sync"
)

// directory is what a daemon knows of where control is: the seeds of its settings, and what control daemons told it.
// A seed may be gone for good, so learned addresses count as much as seeds.
type directory struct {
	mu       sync.Mutex
	seeds    []string
	controls []string
	leader   string
	next     int
}

func newDirectory(seeds []string) *directory {
	return &directory{seeds: seeds}
}

// setSeeds replaces the seeds after the settings have changed.
func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// update takes what a control daemon told.
func (d *directory) update(leader string, controls []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(controls) > 0 {
		d.controls = controls
	}
	d.leader = leader
}

// forgetLeader is called when the leader does not answer, or does not lead any more.
func (d *directory) forgetLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address {
		d.leader = ""
	}
}

func (d *directory) knownLeader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// nextAddress returns the leader, or one after the other of all known control daemons.
func (d *directory) nextAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" {
		return d.leader
	}
	all := d.addressesLocked()
	if len(all) == 0 {
		return ""
	}
	d.next++
	return all[d.next%len(all)]
}

// addressesLocked returns every known address once, in order; the mutex is held.
func (d *directory) addressesLocked() []string {
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

// addresses returns every known address.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesLocked()
}
