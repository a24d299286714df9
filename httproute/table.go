package httproute

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
)

// Table is a configuration laid out for lookups; it is never changed after NewTable.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route
	services map[ident.Service]*Service
	owners   map[string]*Customer
}

// NewTable lays cfg out; cfg must have passed Check and must not change afterwards.
func NewTable(cfg *Config) *Table {
	t := &Table{
		Config:   cfg,
		byHost:   map[string][]*Route{},
		services: map[ident.Service]*Service{},
		owners:   map[string]*Customer{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Customers {
		for _, h := range cfg.Customers[i].KeyHashes {
			t.owners[h] = &cfg.Customers[i]
		}
	}
	return t
}

// Route returns the route of host (a port is ignored) with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	routes, ok := t.byHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name ident.Service) *Service {
	return t.services[name]
}

// Pick draws one of the route's services by weight.
func (t *Table) Pick(r *Route) *Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return nil
	}
	n := rand.IntN(total)
	for _, s := range r.Split {
		if n < s.Weight {
			return t.services[s.Service]
		}
		n -= s.Weight
	}
	return nil
}

// NeedsKeys reports whether any customer is declared; without one, requests carry no key.
func (t *Table) NeedsKeys() bool {
	return len(t.Config.Customers) > 0
}

// Owner returns the customer that holds key, or nil. The lookup compares hashes, so its time tells nothing about keys.
func (t *Table) Owner(key string) *Customer {
	if key == "" {
		return nil
	}
	return t.owners[keys.Hash(key)]
}
