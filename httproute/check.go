package httproute

import (
	"strings"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// hostPrefix is the canonical host and prefix of a route; they must be unique.
type hostPrefix struct {
	host   string
	prefix string
}

// Check returns nil, or an error with code ChangeInvalid that describes the first defect of cfg.
func Check(cfg *Config) error {
	services := map[ident.Service]bool{}
	for i := range cfg.Services {
		if cfg.Services[i].Name == "" {
			return invalid("a service has no name")
		}
		services[cfg.Services[i].Name] = true
	}
	taken := map[hostPrefix]bool{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := checkRoute(r, services); err != nil {
			return err
		}
		key := hostPrefix{canonicalHost(r.Host), strings.TrimRight(canonicalPrefix(r.Prefix), "/")}
		if taken[key] {
			return invalid("route %s has the host and prefix of another route", r.Name)
		}
		taken[key] = true
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
		for _, hash := range customers[i].KeyHashes {
			if owner, found := owners[hash]; found && owner != i {
				return invalid("customers %s and %s have the same key", customers[owner].Name, customers[i].Name)
			}
			owners[hash] = i
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.ChangeInvalid, format, args...)
}
