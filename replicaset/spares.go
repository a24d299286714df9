package replicaset

// A group of 16 loses a member four times as often as one of 4, and needs 16 free
// upstreams of one domain to be formed again. Replacements for lost upstreams have
// no weights for as long as a load from the store takes. A domain with a group of
// a large model therefore keeps as many spares as that group loses meanwhile, and
// the members that remain of a lost large group are not used for other models that
// have enough groups.
//
// Example: with 0.003 losses per second and upstream, and loads of 16 s, a group of
// 16 loses 0.8 members during a load, so its domain keeps 2 spares. If two members
// are lost, the 14 others and the spares form the group again at once.

import (
	"fmt"
	"math"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxSpareFraction bounds the spares of a domain, since spares serve no requests: with more losses than these cover, taking members
	// from other groups costs less.
	maxSpareFraction = 0.125
	// spareHysteresis further upstreams must be free before a group without need is formed in a domain that keeps spares; otherwise each
	// loss would dissolve the group again.
	spareHysteresis = 1
	// surplusFactor is how many times its required groups a model must have before one is dissolved for spares: the required groups follow
	// a demand that varies by a few percent.
	surplusFactor = 1.1
	// dissolveRateFactor is how many times the rate of losses must be above that for which spares are kept before groups are dissolved for
	// them: the rate falls between losses, and the groups would be formed again.
	dissolveRateFactor = 1.5
)

// Dissolution is a group to dissolve so that its members become spares.
type Dissolution struct {
	Group  ident.Group
	Reason string
}

// sparedModel returns the model that a domain keeps spares for, the one with the largest groups in the domain; nil if these are not larger
// than those of other models.
func (p *plan) sparedModel(domain ident.Domain) *httproute.Model {
	var largest *httproute.Model
	for i := range p.Engine.Models {
		m := &p.Engine.Models[i]
		if p.isLarge(m) && p.localGroups[domain][m.Name] > 0 && (largest == nil || m.Size > largest.Size) {
			largest = m
		}
	}
	return largest
}

// keptSpares returns how many spares a domain keeps for its group of m: the losses that are expected from the group during a load, and
// their standard deviation, since members are often lost several at a time.
func (p *plan) keptSpares(m *httproute.Model, domain ident.Domain) int {
	return p.sparesFor(p.LossRate, m, domain)
}

func (p *plan) sparesFor(lossRate float64, m *httproute.Model, domain ident.Domain) int {
	expected := max(0, lossRate*float64(m.Size)*m.LoadTime.Seconds())
	upperBound := maxSpareFraction * float64(p.domainSizes[domain])
	return max(sparesPerDomain, int(min(math.Ceil(expected+math.Sqrt(expected)), upperBound)))
}

// countSpares counts the upstreams of a domain that can join a group of m without a load, or are about to: those with other weights get
// these of m on their host.
func countSpares(domain ident.Domain, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) && !withoutWeights(c) {
			n++
		}
	}
	return n
}

// takesSpares reports whether a group of m would leave a domain with fewer spares than it keeps for a larger model.
func (p *plan) takesSpares(m *httproute.Model, domain ident.Domain, remaining []Candidate) bool {
	spared := p.sparedModel(domain)
	if spared == nil || spared.Size <= m.Size {
		return false
	}
	kept := p.keptSpares(spared, domain)
	return kept > sparesPerDomain && countSpares(domain, remaining) < kept+spareHysteresis
}

// chooseDissolutions returns surplus groups to dissolve in domains that have too few spares, at most one for each domain, and only while
// nothing else changes there.
func (p *plan) chooseDissolutions() []Dissolution {
	if !p.sparesApply() || p.anyDeficit() {
		return nil
	}
	var dissolutions []Dissolution
	for _, domain := range sortedKeys(p.localGroups) {
		spared := p.sparedModel(domain)
		if spared == nil {
			continue
		}
		kept, spares := p.sparesFor(p.LossRate/dissolveRateFactor, spared, domain), countSpares(domain, p.free)
		if kept <= sparesPerDomain || spares >= kept || !p.calm(domain) {
			continue
		}
		if g := p.surplusGroup(spared, domain); g != nil {
			capacity := p.groupCapacity(g)
			p.capacity[g.Model] -= capacity
			p.openCapacity[g.Model] -= capacity
			dissolutions = append(dissolutions, Dissolution{g.Name, fmt.Sprintf(
				"%s has more groups than it requires, and domain %s keeps %d spares for %s at %.4f losses per second and upstream but has %d",
				g.Model, domain, kept, spared.Name, p.LossRate, spares)})
		}
	}
	return dissolutions
}

// calm reports whether no group of a domain is being formed or ends.
func (p *plan) calm(domain ident.Domain) bool {
	if p.Expected[domain].Count > 0 {
		return false
	}
	for i := range p.Ending {
		if p.Ending[i].Domain == domain {
			return false
		}
	}
	for i := range p.Groups {
		if g := &p.Groups[i]; !g.Open && g.Members[0].Domain == domain {
			return false
		}
	}
	return true
}

// surplusGroup returns the settled group of a domain with the most possible members of a group of m, of a model with smaller groups and
// clearly more of them than the demand requires.
func (p *plan) surplusGroup(m *httproute.Model, domain ident.Domain) *ExistingGroup {
	var best *ExistingGroup
	for i := range p.Groups {
		g := &p.Groups[i]
		model, ok := p.Engine.Model(g.Model)
		if !ok || !g.Settled || g.CrossDomain || g.Members[0].Domain != domain || model.Size >= m.Size {
			continue
		}
		if p.capacity[g.Model]-p.groupCapacity(g) < surplusFactor*float64(p.requiredGroups[g.Model]) {
			continue
		}
		if best == nil || countReady(m, domain, g.Members) > countReady(m, domain, best.Members) {
			best = g
		}
	}
	return best
}

// spareNeed is how many more spares a domain needs for a model.
type spareNeed struct {
	model   *httproute.Model
	missing int
}

// spareNeeds returns the needs of the domains that keep spares because of losses; has selects the upstreams that are spares already.
func (p *plan) spareNeeds(has func(m *httproute.Model, c *Candidate) bool) map[ident.Domain]*spareNeed {
	needs := map[ident.Domain]*spareNeed{}
	if !p.sparesApply() {
		return needs
	}
	for domain := range p.localGroups {
		if spared := p.sparedModel(domain); spared != nil && p.keptSpares(spared, domain) > sparesPerDomain {
			needs[domain] = &spareNeed{spared, p.keptSpares(spared, domain)}
		}
	}
	for i := range p.free {
		c := &p.free[i]
		if need := needs[c.Domain]; need != nil && fastEnough(c) && has(need.model, c) {
			need.missing--
		}
	}
	return needs
}

// describeSpares returns how many spares domains keep, for the reason of a decision; "" while they keep as many as without losses.
func (p *plan) describeSpares() string {
	if !p.sparesApply() {
		return ""
	}
	kept := 0
	for _, domain := range sortedKeys(p.localGroups) {
		if spared := p.sparedModel(domain); spared != nil {
			kept = max(kept, p.keptSpares(spared, domain))
		}
	}
	if kept <= sparesPerDomain {
		return ""
	}
	return fmt.Sprintf("; domains keep up to %d spares at %.4f losses per second and upstream", kept, p.LossRate)
}

// willHaveWeights reports whether c can join a group of m without a load, or is loading the weights.
func willHaveWeights(m *httproute.Model, c *Candidate) bool {
	return hasWeights(m, c) || c.Staging == m.Name
}

// inUse reports whether the last group of c was of m, so that it joins at once.
func inUse(m *httproute.Model, c *Candidate) bool { return c.LastModel == m.Name }

// chooseSpareStaging chooses weights of a domain's large model for spares that have only others.
func (p *plan) chooseSpareStaging(needs map[ident.Domain]*spareNeed, addLoad func(c *Candidate, m ident.Model)) {
	for i := range p.free {
		c := &p.free[i]
		need := needs[c.Domain]
		if p.loadsLeft < 1 || need == nil || need.missing < 1 || c.Staging != "" || withoutWeights(c) || hasWeights(need.model, c) {
			continue
		}
		need.missing--
		addLoad(c, need.model.Name)
		c.Staging = need.model.Name
	}
}

// chooseSpareWarmUps chooses spares with the weights of their domain's large model on their host to load them, so that they join a group of
// it at once.
func (p *plan) chooseSpareWarmUps(toStage map[ident.Incarnation]bool) []WeightLoad {
	var joins []WeightLoad
	needs := p.spareNeeds(inUse)
	for i := range p.free {
		c := &p.free[i]
		need := needs[c.Domain]
		if need == nil || need.missing < 1 || c.Staging != "" || toStage[c.ID] || !p.calm(c.Domain) {
			continue
		}
		if c.LastModel == "" || inUse(need.model, c) || !hasWeights(need.model, c) {
			continue
		}
		need.missing--
		joins = append(joins, WeightLoad{c.ID, need.model.Name})
	}
	return joins
}
