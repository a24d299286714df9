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
	return t.urgentServices[service]
}

// urgentServices returns the services whose routes have different priorities.
func urgentServices(cfg *Config) map[ident.Service]bool {
	first := map[ident.Service]int{}
	differ := map[ident.Service]bool{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		for _, share := range r.Split {
			priority, ok := first[share.Service]
			if !ok {
				first[share.Service] = r.Priority
			}
			differ[share.Service] = differ[share.Service] || ok && priority != r.Priority
		}
	}
	return differ
}
