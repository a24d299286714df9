package httproute

import (
	"strings"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// place is where a route stands, as clients see it; no two routes may share it.
type place struct {
	host   string
	prefix string
}

// Check returns a ChangeInvalid error that names the first fault of cfg, or nil.
func Check(cfg *Config) error {
	services := map[ident.Service]bool{}
	for i := range cfg.Services {
		if cfg.Services[i].Name == "" {
			return invalid("a service has no name")
		}
		services[cfg.Services[i].Name] = true
	}
	places := map[place]bool{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := checkRoute(r, services); err != nil {
			return err
		}
		at := place{canonicalHost(r.Host), strings.TrimRight(canonicalPrefix(r.Prefix), "/")}
		if places[at] {
			return invalid("route %s has the host and prefix of another route", r.Name)
		}
		places[at] = true
	}
	return checkKeys(cfg.Customers)
}

func checkRoute(r *Route, services map[ident.Service]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %s has no time-out", r.Name)
	}
	total := 0.0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %s names service %s, which is not declared", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %s has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %s add up to 0", r.Name)
	}
	return nil
}

func checkKeys(customers []Customer) error {
	owners := map[string]int{}
	for i := range customers {
		for _, h := range customers[i].KeyHashes {
			if owner, taken := owners[h]; taken && owner != i {
				return invalid("customers %s and %s have the same key", customers[owner].Name, customers[i].Name)
			}
			owners[h] = i
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.ChangeInvalid, format, args...)
}
