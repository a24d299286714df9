package planner

import (
	"fmt"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Candidate tells whether one VM can join or stay in the group, and why.
type Candidate struct {
	VM     ident.VM     `json:"vm"`
	Hall   ident.Hall   `json:"hall"`
	Domain ident.Domain `json:"domain"`
	Member bool         `json:"member"`
	Fits   bool         `json:"fits"`
	Reason string       `json:"reason"`
}

// Explanation tells why a group is complete or not, from the same checks that Plan uses. Kept counts members that can stay, Fitting other VMs
// that can join, and Next is the next action.
type Explanation struct {
	Group      ident.Group `json:"group"`
	Phase      string      `json:"phase"`
	Epoch      ident.Epoch `json:"epoch"`
	Wanted     int         `json:"wanted"`
	Kept       int         `json:"kept"`
	Fitting    int         `json:"fitting"`
	Next       string      `json:"next"`
	Candidates []Candidate `json:"candidates"`
}

// Explain explains the group of that name under policy; ok is false if there is none.
func Explain(s *Snapshot, policy Policy, name ident.Group) (e Explanation, ok bool) {
	g := s.Group(name)
	if g == nil {
		return e, false
	}
	e = Explanation{Group: name, Phase: g.Phase.String(), Epoch: g.Epoch, Wanted: g.Spec.Size, Kept: len(s.keptMembers(g))}
	for i := range s.VMs {
		c := s.candidate(g, i)
		if c.Fits && !c.Member {
			e.Fitting++
		}
		e.Candidates = append(e.Candidates, c)
	}
	e.Next = nextStep(g, s.intact(g), Plan(s, policy))
	return e, true
}

// candidate checks VM i as a member of g or as one that could join g.
func (s *Snapshot) candidate(g *Group, i int) Candidate {
	v := &s.VMs[i]
	c := Candidate{VM: v.Name, Hall: v.Hall, Domain: v.Domain}
	for _, m := range g.members {
		if m == i {
			c.Member = true
			c.Fits = s.canKeep(g, i)
			c.Reason = fmt.Sprintf("member, %s, %s", v.Phase, v.Condition)
			return c
		}
	}
	fit := s.fit(&g.Spec, i)
	c.Fits = fit == FitYes
	c.Reason = s.fitReason(g, i, fit)
	return c
}

// fitReason formats why VM i fits g or not, with the values that decide it.
func (s *Snapshot) fitReason(g *Group, i int, fit Fit) string {
	v := &s.VMs[i]
	switch fit {
	case FitSelector:
		q := g.Spec.FailedRequirement(v.VM)
		return fmt.Sprintf("label %s is %q, wanted %s", q.Label, v.Label(q.Label), q)
	case FitInGroup, FitLeavingGroup:
		return fmt.Sprintf("%s: %s in epoch %d", fit, v.Group, v.Epoch)
	case FitAbsent:
		return fmt.Sprintf("%s: %s for %s", fit, v.Condition, v.StableFor)
	case FitFlapping:
		return fmt.Sprintf("%s: lost %d times, present for %s of the required %s", fit, v.Flaps, v.StableFor, requiredStability(v.Flaps))
	}
	return fit.String()
}

// nextStep formats the planned action for g or, without one, what the group waits for.
func nextStep(g *Group, intact bool, actions []Action) string {
	for _, a := range actions {
		if a.Group != g.Spec.Name {
			continue
		}
		if a.Kind == ActionDrain {
			return "drain: " + a.Reason
		}
		return fmt.Sprintf("assign %v: %s", a.Members, a.Reason)
	}
	switch {
	case g.Phase == fleet.GroupServing && intact:
		return "none: the group serves"
	case g.Phase == fleet.GroupForming && intact:
		return "wait until every member has loaded the weights and confirmed"
	case g.Phase == fleet.GroupDraining:
		return "wait until requests in progress have ended"
	case g.Spec.OneDomain:
		return "wait: no single domain has enough fitting VMs, and one-domain is set"
	}
	return "wait: too few fitting VMs, or the weight store has no load left"
}
