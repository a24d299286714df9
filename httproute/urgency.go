package httproute

import "github.com/dunlinquay/dunlinquay/ident"

// customerLevels is the number of priorities of routes within one priority of customers.
const customerLevels = 1000

// Urgency returns the urgency of a customer's request on a route; lower values are more urgent. The priority of the customer comes first,
// and the priority of the route decides among customers of the same priority. A customer without a priority of its own has that of the
// route.
func Urgency(route *Route, customer *Customer) int {
	priority := route.Priority
	if customer != nil && customer.HasPriority {
		priority = customer.Priority
	}
	return priority*customerLevels + min(customerLevels-1, max(0, route.Priority))
}

// HasUrgencies reports whether routes to a service have different priorities, so that its requests are ordered by urgency.
func (t *Table) HasUrgencies(service ident.Service) bool {
	p := t.routePriorities[service]
	return p.first != p.last
}

// HighestPriority returns the lowest number among the priorities of the routes to a service.
func (t *Table) HighestPriority(service ident.Service) int {
	return t.routePriorities[service].first
}

// priorityRange holds the lowest and the highest number among the priorities of routes.
type priorityRange struct {
	first, last int
}

// routePriorities returns the priorities of the routes to each service.
func routePriorities(cfg *Config) map[ident.Service]priorityRange {
	ranges := map[ident.Service]priorityRange{}
	for i := range cfg.Routes {
		priority := cfg.Routes[i].Priority
		for _, share := range cfg.Routes[i].Split {
			p, ok := ranges[share.Service]
			if !ok {
				p = priorityRange{priority, priority}
			}
			ranges[share.Service] = priorityRange{min(p.first, priority), max(p.last, priority)}
		}
	}
	return ranges
}
