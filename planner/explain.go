package planner

import (
	"fmt"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Candidate says of one VM whether it could join the group, or what it is as a member.
type Candidate struct {
	VM     ident.VM     `json:"vm"`
	Hall   ident.Hall   `json:"hall"`
	Domain ident.Domain `json:"domain"`
	Member bool         `json:"member"`
	Fits   bool         `json:"fits"`
	Reason string       `json:"reason"`
}

// Explanation says why a group is or is not whole, from the same tests that planning uses.
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

// Explain describes the group called name under policy; ok is false when there is none.
func Explain(w *Snapshot, policy Policy, name ident.Group) (e Explanation, ok bool) {
	g := w.Group(name)
	if g == nil {
		return e, false
	}
	e = Explanation{Group: name, Phase: g.Phase.String(), Epoch: g.Epoch, Wanted: g.Spec.Size, Kept: len(w.kept(g))}
	for i := range w.VMs {
		c := w.candidate(g, i)
		if c.Fits && !c.Member {
			e.Fitting++
		}
		e.Candidates = append(e.Candidates, c)
	}
	e.Next = nextStep(g, w.sound(g), Plan(w, policy))
	return e, true
}

func (w *Snapshot) candidate(g *Group, i int) Candidate {
	v := &w.VMs[i]
	c := Candidate{VM: v.Name, Hall: v.Hall, Domain: v.Domain}
	for _, m := range g.members {
		if m == i {
			c.Member = true
			c.Fits = w.keeps(g, i)
			c.Reason = fmt.Sprintf("member, %s, %s", v.Phase, v.Condition)
			return c
		}
	}
	fit := w.fit(&g.Spec, i)
	c.Fits = fit == FitYes
	c.Reason = w.words(g, i, fit)
	return c
}

func (w *Snapshot) words(g *Group, i int, fit Fit) string {
	v := &w.VMs[i]
	switch fit {
	case FitSelector:
		q := g.Spec.FailedRequirement(v.VM)
		return fmt.Sprintf("label %s is %q, wanted %s", q.Label, v.Label(q.Label), q)
	case FitInGroup, FitLeavingGroup:
		return fmt.Sprintf("%s: %s in epoch %d", fit, v.Group, v.Epoch)
	case FitAbsent:
		return fmt.Sprintf("%s: %s for %s", fit, v.Condition, v.StableFor)
	case FitFlapping:
		return fmt.Sprintf("%s: lost %d times, steady for %s, wanted %s", fit, v.Flaps, v.StableFor, steadyFor(v.Flaps))
	}
	return fit.String()
}

func nextStep(g *Group, sound bool, actions []Action) string {
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
	case g.Phase == fleet.GroupServing && sound:
		return "nothing: the group serves"
	case g.Phase == fleet.GroupForming && sound:
		return "wait until every member has loaded and confirmed"
	case g.Phase == fleet.GroupDraining:
		return "wait until requests in progress have ended"
	case g.Spec.OneDomain:
		return "wait: no single domain has enough fitting VMs, and one-domain is set"
	}
	return "wait: too few fitting VMs, or the weight store's loads are all in use"
}
