package replicaset

// Capacity reports for operators: the groups that each model has and needs, the
// reason why it has no more, and the state of every upstream. The reports are
// computed from the input of Plan, so they show the same state that Plan uses.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// DomainCapacity counts the free upstreams of a domain by how soon they could join a group of one model.
type DomainCapacity struct {
	Domain ident.Domain `json:"domain"`
	// Ready upstreams have the weights, Loading ones are loading them, Other ones would have to load them. Slow ones join no group,
	// with or without the weights.
	Ready   int `json:"ready"`
	Loading int `json:"loading"`
	Other   int `json:"other"`
	Slow    int `json:"slow"`
	// Donors counts the members of other models' groups that have the weights, Members those of all groups.
	Donors  int `json:"donors"`
	Members int `json:"members"`
}

// Outlook is the capacity report of one model.
type Outlook struct {
	Model ident.Model `json:"model"`
	Size  int         `json:"size"`
	// Serving is the number of groups that serve or will serve; degraded groups count by their fraction of the full throughput.
	Serving float64 `json:"serving"`
	// Wanted is the number of groups that the model should have.
	Wanted float64 `json:"wanted"`
	// Load is the demand as a fraction of the throughput of the Serving groups; 0 while the demand is unknown or no group serves.
	Load  float64          `json:"load"`
	Rooms []DomainCapacity `json:"rooms"`
	// LoadBudget is the number of loads that may start now.
	LoadBudget int `json:"load-budget"`
	// Why is the reason why the model has no more groups.
	Why string `json:"why"`
}

// Explain returns the capacity report of every model, or nil before the first step.
func (f *Formation) Explain() []Outlook {
	if f.snapshot == nil {
		return nil
	}
	return Explain(f.planInput())
}

// ExplainShortages returns the capacity reports of the models that lack groups.
func (f *Formation) ExplainShortages() []Outlook {
	return slices.DeleteFunc(f.Explain(), func(o Outlook) bool { return o.Serving >= o.Wanted })
}

// Explain returns the capacity report of every model.
func Explain(input *PlanInput) []Outlook {
	p := newPlan(input)
	var reports []Outlook
	for i := range input.Engine.Models {
		m := &input.Engine.Models[i]
		report := Outlook{Model: m.Name, Size: m.Size, Serving: p.capacity[m.Name], Wanted: p.wantedGroups(m.Name), Rooms: p.domainCapacities(m), LoadBudget: input.LoadBudget}
		if report.Serving > 0 {
			report.Load = p.load(m, 0)
		}
		report.Why = p.explain(m, report.Rooms)
		reports = append(reports, report)
	}
	return reports
}

func (p *plan) domainCapacities(m *httproute.Model) []DomainCapacity {
	domains := byDomain(p.free, func(*Candidate) bool { return true })
	var capacities []DomainCapacity
	for _, domain := range sortedKeys(p.domainSizes) {
		capacity := DomainCapacity{Domain: domain}
		for i := range p.Groups {
			g := &p.Groups[i]
			for j := range g.Members {
				if g.Members[j].Domain == domain {
					capacity.Members++
				}
			}
			if g.Model != m.Name {
				capacity.Donors += countReady(m, domain, g.Members)
			}
		}
		for i := range domains[domain] {
			switch c := &domains[domain][i]; {
			case !fastEnough(c):
				capacity.Slow++
			case hasWeights(m, c):
				capacity.Ready++
			case c.Staging == m.Name:
				capacity.Loading++
			default:
				capacity.Other++
			}
		}
		capacities = append(capacities, capacity)
	}
	return capacities
}

// explain returns the reason why m has no more groups.
func (p *plan) explain(m *httproute.Model, capacities []DomainCapacity) string {
	ready, loading, other, slow := 0, 0, 0, 0
	for _, capacity := range capacities {
		if capacity.Ready >= m.Size && p.deficit(m.Name) > 0 {
			return fmt.Sprintf("domain %s has enough members for a group, which is formed unless another model has a greater need", capacity.Domain)
		}
		ready += capacity.Ready
		loading += capacity.Loading
		other += capacity.Other
		slow += capacity.Slow
	}
	switch {
	case p.deficit(m.Name) <= 0:
		return "has the groups it needs"
	case p.gainsByClosing(m):
		return "groups are closed to free the members of a better one"
	case ready >= m.Size:
		return fmt.Sprintf("no domain has %d free upstreams with the weights; a group across domains is formed when %.0f%% of the groups are missing", m.Size, crossDomainDeficit*100)
	case ready+loading+other >= m.Size:
		return fmt.Sprintf("of %d free upstreams, %d have the weights and %d are loading them", ready+loading+other, ready, loading)
	case slow > 0:
		return fmt.Sprintf("only %d upstreams are free, not counting %d slow ones", ready+loading+other, slow)
	}
	return fmt.Sprintf("only %d upstreams are free", ready+loading+other)
}

// gainsByClosing reports whether groups are closed for one of m.
func (p *plan) gainsByClosing(m *httproute.Model) bool {
	if p.sparesApply() {
		return p.bestExchangeFor(m) != nil
	}
	return len(p.closingsFor(m)) > 0
}

// DescribeUpstream returns the group of an upstream or, if it is in no group, its state.
func (f *Formation) DescribeUpstream(id ident.Incarnation) string {
	u := f.byID[id]
	if u == nil {
		return "unknown"
	}
	for _, g := range f.groups() {
		if rank := slices.Index(g.Members, id); rank >= 0 {
			return fmt.Sprintf("member %d of %d of %s, which is %s", rank+1, len(g.Members), g.Name, g.Phase)
		}
	}
	return f.freeReason(u)
}

func (f *Formation) freeReason(u *roster.Upstream) string {
	c := f.candidate(u)
	switch {
	case u.Draining:
		return "shutting down"
	case u.Silent:
		return "silent"
	case f.snapshot.Unreachable[u.ID]:
		return "accepts no connections"
	case f.snapshot.ReportAges[u.ID] >= missedReportAge:
		return "missed a report"
	case !f.outOfGroup(u):
		return "has not left " + string(u.Member.Group) + " yet"
	case !f.boundUntil[u.ID].IsZero():
		return fmt.Sprintf("late orders may make it join an ended group again, for another %v", f.boundUntil[u.ID].Sub(f.snapshot.Now).Round(100*time.Millisecond))
	case f.domainReserved(u.Domain):
		return "reserved for a better group while a group of its domain closes"
	case c.Staging != "":
		return "free, loading the weights of " + string(c.Staging)
	case withoutWeights(&c):
		return "free, without weights"
	}
	return "free, with the weights of " + strings.Join(modelsWithWeights(&c), " and ")
}

// modelsWithWeights names the models whose groups c can join without a load from the store.
func modelsWithWeights(c *Candidate) []string {
	var models []string
	for _, m := range append([]ident.Model{c.LastModel}, c.Staged...) {
		if m != "" && !slices.Contains(models, string(m)) {
			models = append(models, string(m))
		}
	}
	return models
}
