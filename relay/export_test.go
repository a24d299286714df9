package relay

import (
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
)

// GroupChooser returns a function that chooses a group for a request with a prompt of that size.
func GroupChooser(s *Relay, route *httproute.Route, model ident.Model, prompt ident.Tokens) func() error {
	table := s.table.Load()
	x := &exchange{s: s, arrivedAt: s.Now(), table: table, route: route, service: table.Service(route.Split[0].Service), model: model, promptTokens: prompt}
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, err := s.choose(x, overload.InTime, s.Now())
		return err
	}
}

// ShareNoter returns a function that counts an arriving request of a customer and decides whether the customer is over its share.
func ShareNoter(s *Relay, route *httproute.Route, model ident.Model) func(customer *httproute.Customer) {
	table := s.table.Load()
	x := &exchange{s: s, arrivedAt: s.Now(), table: table, route: route, service: table.Service(route.Split[0].Service), model: model, promptTokens: 1000, answerTokens: 100}
	x.r = &http.Request{}
	return func(customer *httproute.Customer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.Now()
		x.customer, x.work = customer, requestWork{}
		x.noteOverShare(now)
		x.noteArrivedWork(now)
	}
}

// RequestsAt returns the estimated number of requests at the group with that head, -1 if there is no such group.
func RequestsAt(s *Relay, head ident.Incarnation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, models := range s.index.groupTargets {
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

// PendingPromptAt returns the estimated pending prompt tokens at the group with that head.
func PendingPromptAt(s *Relay, head ident.Incarnation) ident.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadOf(s.index.byHead[head], s.Now()).PendingPrompt
}

// ChooseGroup returns the head of the group chosen for a prompt of that size, and whether the group has capacity.
func ChooseGroup(s *Relay, route *httproute.Route, model ident.Model, prompt ident.Tokens) (ident.Incarnation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	x := &exchange{s: s, arrivedAt: s.Now(), table: table, route: route, service: table.Service(route.Split[0].Service), model: model, promptTokens: prompt}
	t, err := s.choose(x, overload.InTime, s.Now())
	if err != nil {
		return "", false
	}
	return t.id, t.hasCapacity
}

// LearnDelay adds the delay of one first event of a model.
func LearnDelay(s *Relay, service ident.Service, model ident.Model, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnDelay(queueKey{service, model}, delay, s.Now())
}

// DispatchDelay returns the mean dispatch delay of a model and the mean deviation.
func DispatchDelay(s *Relay, model ident.Model) (mean, deviation time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchDelayOf(model, s.Now())
	return d.mean, d.deviation
}

// IdleConnections returns the number of idle connections to an upstream.
func IdleConnections(s *Relay, address string) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return len(s.pool.idle[address])
}

// CloseIdleConnections closes all idle connections.
func CloseIdleConnections(s *Relay) {
	s.pool.prune(func(string) bool { return false })
}
