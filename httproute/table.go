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

// prefixedRoute is a route with its prefix in decoded form.
type prefixedRoute struct {
	prefix string
	*Route
}

// Table indexes a configuration for lookups. It is immutable.
type Table struct {
	Config            *Config
	routesByHost      map[string][]prefixedRoute
	services          map[ident.Service]*Service
	customerByKeyHash map[string]*Customer
	routePriorities   map[ident.Service]priorityRange
}

// NewTable returns an index of cfg, which must have passed Check and must not change afterwards.
func NewTable(cfg *Config) *Table {
	t := &Table{
		Config:            cfg,
		routesByHost:      map[string][]prefixedRoute{},
		services:          map[ident.Service]*Service{},
		customerByKeyHash: map[string]*Customer{},
		routePriorities:   routePriorities(cfg),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := canonicalHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], prefixedRoute{canonicalPrefix(r.Prefix), r})
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Customers {
		for _, hash := range cfg.Customers[i].KeyHashes {
			t.customerByKeyHash[hash] = &cfg.Customers[i]
		}
	}
	return t
}

// Route returns the route of host with the longest prefix of the decoded path, or nil. The port of host is ignored unless a route's host
// includes it.
func (t *Table) Route(host, path string) *Route {
	host = canonicalHost(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		routes = t.routesByHost[canonicalHost(name)]
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].prefix) {
			return routes[i].Route
		}
	}
	return nil
}

// defaultPort is the port of a host that names none (RFC 9110, section 4.2.1).
const defaultPort = ":80"

// canonicalHost returns host in lower case, without the default port and the final dot, which do not change its meaning.
func canonicalHost(host string) string {
	return strings.TrimSuffix(strings.TrimSuffix(strings.ToLower(host), defaultPort), ".")
}

// canonicalPrefix returns the decoded prefix, or the unchanged prefix if decoding fails.
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

// Pick returns one of the route's services at random by weight, or nil if no weight is positive.
func (t *Table) Pick(r *Route) *Service {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := rand.Float64() * total
	var picked *Service
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		picked = t.services[s.Service]
		if remaining < s.Weight {
			return picked
		}
		remaining -= s.Weight
	}
	return picked
}

// NeedsKeys reports whether routes that are not public require an API key, which is the case if any customer is declared.
func (t *Table) NeedsKeys() bool {
	return len(t.Config.Customers) > 0
}

// Owner returns the customer with the given API key, or nil. The lookup compares hashes, so that its duration reveals nothing about keys.
func (t *Table) Owner(key string) *Customer {
	if key == "" {
		return nil
	}
	return t.customerByKeyHash[keys.Hash(key)]
}
