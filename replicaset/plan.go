package replicaset

// Plan is a pure function: from the free upstreams and the groups that exist
// it chooses the groups to begin. It prefers, in this order, the model that is
// furthest below its target, the members that are ready soonest (an engine
// remembers its last model, a host keeps staged weights), and the domain that
// keeps the fewest odd upstreams over.
//
// Targets come from the declared shares at first and from measured demand
// later. They are whole numbers of groups, so rounding is done by giving the
// next group to the model whose groups are the most loaded.

import (
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// rejoinTime is how long an engine takes to join when its last group had the same model.
const rejoinTime = 200 * time.Millisecond

// Candidate is an upstream that may be given to a group.
type Candidate struct {
	ID      ident.Incarnation
	Domain  ident.Domain
	Last    ident.Model
	Staged  []ident.Model
	FreeFor time.Duration
}

// Choice is a group to begin; Loads is how many members fetch weights from the store.
type Choice struct {
	Model   ident.Model
	Members []ident.Incarnation
	Far     bool
	Loads   int
	Ready   time.Duration
}

// Situation is what Plan decides on.
type Situation struct {
	Engine *httproute.Engine
	// Free are the upstreams without a group.
	Free []Candidate
	// Groups counts the groups of each model that serve or will serve.
	Groups map[ident.Model]int
	// Total is the number of usable upstreams, free or not.
	Total int
	// Demand is as in World.
	Demand map[ident.Model]float64
	// Loads is how many loads may begin now.
	Loads int
	// Patience is how long a free upstream waits for its own model before it is given to another one.
	Patience time.Duration
	// Early is set before the first request, while loads are cheap.
	Early bool
}

// Targets returns the number of groups wanted of each model: shares of the upstreams, corrected by demand.
func Targets(s *Situation) map[ident.Model]int {
	weights := weightsOf(s)
	targets := map[ident.Model]int{}
	left := s.Total
	for {
		best := -1
		bestScore := 0.0
		for i := range s.Engine.Models {
			m := &s.Engine.Models[i]
			if m.Size > left || weights[m.Name] <= 0 {
				continue
			}
			score := weights[m.Name] / float64((targets[m.Name]+1)*m.Size)
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return targets
		}
		targets[s.Engine.Models[best].Name]++
		left -= s.Engine.Models[best].Size
	}
}

// demandWeight is how far measured demand moves the targets away from the declared shares.
const demandWeight = 0.5

func weightsOf(s *Situation) map[ident.Model]float64 {
	weights := map[ident.Model]float64{}
	shares, demand := 0.0, 0.0
	for i := range s.Engine.Models {
		shares += s.Engine.Models[i].Share
		demand += s.Demand[s.Engine.Models[i].Name]
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		share := 1 / float64(len(s.Engine.Models))
		if shares > 0 {
			share = m.Share / shares
		}
		if demand > 0 {
			share = (1-demandWeight)*share + demandWeight*s.Demand[m.Name]/demand
		}
		weights[m.Name] = share
	}
	return weights
}

// Plan returns the groups to begin now, the most wanted first.
func Plan(s *Situation) []Choice {
	targets := Targets(s)
	groups := map[ident.Model]int{}
	for name, n := range s.Groups {
		groups[name] = n
	}
	free := append([]Candidate(nil), s.Free...)
	loads := s.Loads
	var choices []Choice
	for {
		choice, ok := next(s, targets, groups, free, loads)
		if !ok {
			return choices
		}
		choices = append(choices, choice)
		groups[choice.Model]++
		loads -= choice.Loads
		free = without(free, choice.Members)
	}
}

func without(free []Candidate, taken []ident.Incarnation) []Candidate {
	var rest []Candidate
	for _, c := range free {
		if !contains(taken, c.ID) {
			rest = append(rest, c)
		}
	}
	return rest
}

func contains(list []ident.Incarnation, id ident.Incarnation) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// next returns the best group of the model that is furthest below its target and can be formed.
func next(s *Situation, targets, groups map[ident.Model]int, free []Candidate, loads int) (Choice, bool) {
	for _, m := range byNeed(s.Engine.Models, targets, groups) {
		need := need(targets[m.Name], groups[m.Name])
		if choice, ok := bestIn(s, m, free, loads, need); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// need is the part of a model's groups that is missing; 0 or less when it has enough.
func need(target, have int) float64 {
	if target == 0 {
		return 0
	}
	return float64(target-have) / float64(target)
}

func byNeed(models []httproute.Model, targets, groups map[ident.Model]int) []*httproute.Model {
	var list []*httproute.Model
	for i := range models {
		list = append(list, &models[i])
	}
	sort.SliceStable(list, func(i, j int) bool {
		return need(targets[list[i].Name], groups[list[i].Name]) > need(targets[list[j].Name], groups[list[j].Name])
	})
	return list
}

// urgentNeed is the missing part from which on upstreams are taken over from another model without waiting, and groups
// span domains.
const urgentNeed = 0.4

// bestIn returns the best members for one group of m among free.
func bestIn(s *Situation, m *httproute.Model, free []Candidate, loads int, need float64) (Choice, bool) {
	domains := map[ident.Domain][]Candidate{}
	var names []ident.Domain
	for _, c := range free {
		if !allowed(s, m, c, need) {
			continue
		}
		if _, ok := domains[c.Domain]; !ok {
			names = append(names, c.Domain)
		}
		domains[c.Domain] = append(domains[c.Domain], c)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var best Choice
	found := false
	bestLeft := 0
	for _, name := range names {
		list := domains[name]
		if len(list) < m.Size {
			continue
		}
		choice := soonest(m, list)
		left := len(list) - m.Size
		if choice.Loads > loads {
			continue
		}
		if !found || choice.Ready < best.Ready || choice.Ready == best.Ready && left < bestLeft {
			best, bestLeft, found = choice, left, true
		}
	}
	if found || need < urgentNeed {
		return best, found
	}
	return acrossDomains(s, m, free, loads)
}

// allowed reports whether c may be given to m. An upstream that still holds another model waits for that model first.
func allowed(s *Situation, m *httproute.Model, c Candidate, need float64) bool {
	if readyIn(m, c) <= m.Warm || s.Early {
		return readyIn(m, c) <= m.Warm || need > 0
	}
	if need <= 0 {
		return false
	}
	fresh := c.Last == "" && len(c.Staged) == 0
	return fresh || c.FreeFor >= s.Patience || need >= urgentNeed
}

// acrossDomains forms a slower group, when the time to do so is short and nothing better can be had.
func acrossDomains(s *Situation, m *httproute.Model, free []Candidate, loads int) (Choice, bool) {
	var near []Candidate
	for _, c := range free {
		if readyIn(m, c) <= m.Warm && c.FreeFor >= s.Patience {
			near = append(near, c)
		}
	}
	if len(near) < m.Size {
		return Choice{}, false
	}
	choice := soonest(m, near)
	choice.Far = true
	return choice, choice.Loads <= loads
}

// soonest takes the members that are ready first.
func soonest(m *httproute.Model, list []Candidate) Choice {
	sorted := append([]Candidate(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool { return readyIn(m, sorted[i]) < readyIn(m, sorted[j]) })
	choice := Choice{Model: m.Name}
	for _, c := range sorted[:m.Size] {
		choice.Members = append(choice.Members, c.ID)
		choice.Ready = max(choice.Ready, readyIn(m, c))
		if readyIn(m, c) > m.Warm {
			choice.Loads++
		}
	}
	return choice
}

// readyIn returns how long c takes to join a group of m.
func readyIn(m *httproute.Model, c Candidate) time.Duration {
	switch {
	case c.Last == m.Name:
		return rejoinTime
	case roster.Has(c.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}
