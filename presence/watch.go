package presence

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// WatchersPerVM is how many daemons probe each VM.
const WatchersPerVM = 2

// Watcher is a live daemon that can probe.
type Watcher struct {
	Name ident.Daemon
	Hall ident.Hall
}

// Watchers returns the daemons that probe vm: those of its hall first, among them the ones with the highest hash of both
// names, so that a daemon that comes or goes moves only its own share.
func Watchers(vm ident.VM, hall ident.Hall, live []Watcher) []ident.Daemon {
	type rated struct {
		Watcher
		weight uint64
	}
	all := make([]rated, len(live))
	for i, w := range live {
		all[i] = rated{w, xxhash.Sum64String(string(w.Name) + "\x00" + string(vm))}
	}
	sort.Slice(all, func(i, j int) bool {
		if a, b := all[i].Hall == hall, all[j].Hall == hall; a != b {
			return a
		}
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].Name < all[j].Name
	})
	var names []ident.Daemon
	for i := range min(WatchersPerVM, len(all)) {
		names = append(names, all[i].Name)
	}
	return names
}
