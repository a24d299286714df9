package httproute

import (
	"math/rand/v2"
	"net"
	"net/url"
	"sort"
	"strings"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
)

// placedRoute is a route and its prefix as it stands in decoded paths.
type placedRoute struct {
	prefix string
	*Route
}

// Table is a configuration laid out for lookups; it is never changed after NewTable.
type Table struct {
	Config   *Config
	byHost   map[string][]placedRoute
	services map[ident.Service]*Service
	owners   map[string]*Customer
}

// NewTable lays cfg out; cfg must have passed Check and must not change afterwards.
func NewTable(cfg *Config) *Table {
	t := &Table{
		Config:   cfg,
		byHost:   map[string][]placedRoute{},
		services: map[ident.Service]*Service{},
		owners:   map[string]*Customer{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], placedRoute{canonicalPrefix(r.Prefix), r})
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
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

// Route returns the route of host with the longest prefix of path, which is decoded, or nil. A port counts only where a route names it.
func (t *Table) Route(host, path string) *Route {
	host = canonicalHost(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		routes = t.byHost[canonicalHost(name)]
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].prefix) {
			return routes[i].Route
		}
	}
	return nil
}

// defaultPort is the port that a host without one means (RFC 9110, section 4.2.1).
const defaultPort = ":80"

// canonicalHost returns the one form of all that name the same host: case, the default port and a final dot make no difference.
func canonicalHost(host string) string {
	return strings.TrimSuffix(strings.TrimSuffix(strings.ToLower(host), defaultPort), ".")
}

// canonicalPrefix returns a prefix as it stands in a decoded path; one that can't be decoded stays as it is.
func canonicalPrefix(prefix string) string {
	if decoded, err := url.PathUnescape(prefix); err == nil {
		return decoded
	}
	return prefix
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name ident.Service) *Service {
	return t.services[name]
}

// Pick draws one of the route's services by weight.
func (t *Table) Pick(r *Route) *Service {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	n := rand.Float64() * total
	var last *Service
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = t.services[s.Service]
		if n < s.Weight {
			return last
		}
		n -= s.Weight
	}
	return last
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
