package presence

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// WatchersPerVM is how many daemons probe each VM.
const WatchersPerVM = 2

// Watcher is a live daemon that can probe VMs.
type Watcher struct {
	Name ident.Daemon
	Hall ident.Hall
}

// rankedDaemon is a daemon with its rank as a watcher of one VM.
type rankedDaemon struct {
	name     ident.Daemon
	sameHall bool
	hash     uint64
}

// before ranks daemons of the VM's hall first, then those with the higher hash of both names.
func (a rankedDaemon) before(b rankedDaemon) bool {
	if a.sameHall != b.sameHall {
		return a.sameHall
	}
	if a.hash != b.hash {
		return a.hash > b.hash
	}
	return a.name < b.name
}

// Watchers returns the daemons that probe vm, chosen by rendezvous hashing with preference for the VM's hall, so that a daemon that is added
// or removed changes the watchers of its own VMs only.
func Watchers(vm ident.VM, hall ident.Hall, live []Watcher) []ident.Daemon {
	var first, second rankedDaemon
	var digest xxhash.Digest
	for _, w := range live {
		digest.Reset()
		_, _ = digest.WriteString(string(w.Name))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(string(vm))
		r := rankedDaemon{w.Name, w.Hall == hall, digest.Sum64()}
		switch {
		case first.name == "" || r.before(first):
			first, second = r, first
		case second.name == "" || r.before(second):
			second = r
		}
	}
	names := make([]ident.Daemon, 0, WatchersPerVM)
	for _, r := range []rankedDaemon{first, second} {
		if r.name != "" {
			names = append(names, r.name)
		}
	}
	return names
}
