package relay

import (
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
)

// Chooser returns a function that chooses a group for a prompt, as for a request on route.
func Chooser(s *Relay, route *httproute.Route, model ident.Model, prompt ident.Tokens) func() error {
	table := s.table.Load()
	x := &exchange{s: s, began: s.Now(), table: table, route: route, service: table.Service(route.Split[0].Service), model: model, prompt: prompt}
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, err := s.choose(x, overload.InTime, s.Now())
		return err
	}
}

// RequestsAt returns how many requests are taken to be at the group with that head.
func RequestsAt(s *Relay, head ident.Incarnation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, models := range s.fleet.groups {
		for _, list := range models {
			for i := range list {
				if list[i].id == head {
					return s.loadOf(&list[i], s.Now()).Requests
				}
			}
		}
	}
	return -1
}

// Chosen returns the head of the group that a prompt would go to, and whether there is room.
func Chosen(s *Relay, route *httproute.Route, model ident.Model, prompt ident.Tokens) (ident.Incarnation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	x := &exchange{s: s, began: s.Now(), table: table, route: route, service: table.Service(route.Split[0].Service), model: model, prompt: prompt}
	t, err := s.choose(x, overload.InTime, s.Now())
	if err != nil {
		return "", false
	}
	return t.id, t.fits
}

// Kept returns how many connections to an upstream are kept.
func Kept(s *Relay, address string) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return len(s.pool.idle[address])
}

// CloseIdle closes all connections that are kept.
func CloseIdle(s *Relay) {
	s.pool.prune(func(string) bool { return false })
}
