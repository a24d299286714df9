package replicaset

// What operators ask for: what each model has and needs, what keeps it from
// having more, and what every upstream does. It is worked out from what the
// planner works on, so it says what the planner sees.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// DomainCapacity counts the free upstreams of a domain as members of a group of one model.
type DomainCapacity struct {
	Domain ident.Domain `json:"domain"`
	// Ready have the weights, Loading are getting them, Other would have to; Slow are left out, whatever they have.
	Ready   int `json:"ready"`
	Loading int `json:"loading"`
	Other   int `json:"other"`
	Slow    int `json:"slow"`
}

// Outlook tells what a model has and needs and what keeps it from having more.
type Outlook struct {
	Model ident.Model `json:"model"`
	Size  int         `json:"size"`
	// Serving counts the groups that serve or are about to, one across domains as the part of a whole one that it carries.
	Serving float64 `json:"serving"`
	Wanted  float64 `json:"wanted"`
	// Load is the demand in parts of what these groups carry, 0 while it is not known or nothing serves.
	Load  float64          `json:"load"`
	Rooms []DomainCapacity `json:"rooms"`
	Why   string           `json:"why"`
}

// Explain returns the outlook of every model, or nothing before the first step.
func (f *Formation) Explain() []Outlook {
	if f.snapshot == nil {
		return nil
	}
	return Explain(f.planInput())
}

// Explain returns the outlook of every model.
func Explain(input *PlanInput) []Outlook {
	p := newPlan(input)
	var reports []Outlook
	for i := range input.Engine.Models {
		m := &input.Engine.Models[i]
		report := Outlook{Model: m.Name, Size: m.Size, Serving: p.capacity[m.Name], Wanted: p.wantedGroups(m.Name), Rooms: p.domainCapacities(m)}
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
	for _, name := range sortedKeys(domains) {
		r := DomainCapacity{Domain: name}
		for i := range domains[name] {
			switch c := &domains[name][i]; {
			case !fastEnough(c):
				r.Slow++
			case hasWeights(m, c):
				r.Ready++
			case c.Staging == m.Name:
				r.Loading++
			default:
				r.Other++
			}
		}
		capacities = append(capacities, r)
	}
	return capacities
}

// explain says why m has the groups that it has.
func (p *plan) explain(m *httproute.Model, capacities []DomainCapacity) string {
	ready, loading, other, slow := 0, 0, 0, 0
	for _, r := range capacities {
		if r.Ready >= m.Size && p.deficit(m.Name) > 0 {
			return fmt.Sprintf("domain %s has the members of a group, it is begun unless a model lacks groups more", r.Domain)
		}
		ready += r.Ready
		loading += r.Loading
		other += r.Other
		slow += r.Slow
	}
	switch {
	case p.deficit(m.Name) <= 0:
		return "has the groups that it needs"
	case len(p.closingsFor(m)) > 0:
		return "groups end so that a domain has the members of a better one"
	case ready >= m.Size:
		return fmt.Sprintf("no domain has %d free upstreams with the weights; one across domains is formed when %.0f%% of the groups lack", m.Size, crossDomainDeficit*100)
	case ready+loading+other >= m.Size:
		return fmt.Sprintf("of %d free upstreams %d have the weights and %d are getting them", ready+loading+other, ready, loading)
	case slow > 0:
		return fmt.Sprintf("only %d upstreams are free, and %d that are slow", ready+loading+other, slow)
	}
	return fmt.Sprintf("only %d upstreams are free", ready+loading+other)
}

// DescribeUpstream tells what an upstream does, and if it is in no group, why.
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
		return "leaves"
	case u.Silent:
		return "silent"
	case f.snapshot.Unreachable[u.ID]:
		return "takes no connections"
	case f.snapshot.ReportAges[u.ID] >= missedReportAge:
		return "has missed a report"
	case !f.outOfGroup(u):
		return "has not left " + string(u.Member.Group) + " yet"
	case !f.boundUntil[u.ID].IsZero():
		return fmt.Sprintf("may be put back into a group that has ended by late orders for another %v", f.boundUntil[u.ID].Sub(f.snapshot.Now).Round(100*time.Millisecond))
	case f.domainReserved(u.Domain):
		return "waits for a group of its domain that ends for a better one"
	case c.Staging != "":
		return "free, gets the weights of " + string(c.Staging)
	case withoutWeights(&c):
		return "free, without weights"
	}
	return "free, with the weights of " + strings.Join(modelsWithWeights(&c), " and ")
}

// modelsWithWeights names the models that c joins without a load.
func modelsWithWeights(c *Candidate) []string {
	var models []string
	for _, m := range append([]ident.Model{c.LastModel}, c.Staged...) {
		if m != "" && !slices.Contains(models, string(m)) {
			models = append(models, string(m))
		}
	}
	return models
}
