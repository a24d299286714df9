package planner

// A pool holds the free VMs that match one selector, by fabric domain. Groups with
// the same selector share a pool, and each domain caches its best set of k VMs
// until one of its VMs is assigned. Planning a fleet from scratch therefore visits
// each VM a few times instead of once for each group.

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/dunlinquay/dunlinquay/fleet"
)

type pool struct {
	plan    *plan
	domains []*poolDomain
	byIndex map[int]*poolDomain
}

type poolDomain struct {
	index   int
	members []int // free VMs, fastest first
	// version is the plan's domainVersion for which members and best are valid.
	version int
	best    map[int]selection
}

// selection is the best set of a given size in one domain; leftOver counts the VMs that stay free.
type selection struct {
	members     []int
	speedSpread float64
	leftOver    int
}

func selectorKey(spec *fleet.GroupSpec) string {
	var b strings.Builder
	for i := range spec.Selector {
		b.WriteString(strconv.Quote(spec.Selector[i].String()))
	}
	return b.String()
}

func newPool(p *plan, spec *fleet.GroupSpec) *pool {
	pl := &pool{plan: p, byIndex: map[int]*poolDomain{}}
	for _, i := range p.freeVMs() {
		if spec.FailedRequirement(p.snapshot.VMs[i].VM) == nil {
			pl.add(i)
		}
	}
	for _, d := range pl.domains {
		p.sortBySpeed(d.members)
	}
	return pl
}

func (pl *pool) add(i int) {
	index := pl.plan.snapshot.VMs[i].domain
	d := pl.byIndex[index]
	if d == nil {
		d = &poolDomain{index: index, best: map[int]selection{}, version: pl.plan.domainVersion[index]}
		pl.byIndex[index] = d
		pl.domains = append(pl.domains, d)
	}
	d.members = append(d.members, i)
}

// refresh drops VMs that were assigned since the last refresh.
func (pl *pool) refresh(d *poolDomain) {
	if current := pl.plan.domainVersion[d.index]; d.version != current {
		d.members = slices.DeleteFunc(d.members, func(i int) bool { return pl.plan.taken[i] })
		d.best = map[int]selection{}
		d.version = current
	}
}

// bestOf returns the set of k VMs in d whose speeds differ least, because the slowest VM determines the speed of a group.
func (pl *pool) bestOf(d *poolDomain, k int) (selection, bool) {
	pl.refresh(d)
	if len(d.members) < k {
		return selection{}, false
	}
	if c, ok := d.best[k]; ok {
		return c, true
	}
	vms := pl.plan.snapshot.VMs
	best := selection{speedSpread: -1}
	for i := 0; i+k <= len(d.members); i++ {
		spread := vms[d.members[i]].Speed - vms[d.members[i+k-1]].Speed
		if best.speedSpread < 0 || spread < best.speedSpread {
			best = selection{members: d.members[i : i+k], speedSpread: spread, leftOver: len(d.members) - k}
		}
	}
	d.best[k] = best
	return best, true
}

// fromOneDomain returns the best k VMs of a single domain: with the most even speeds, then from the domain with the fewest VMs left over.
func (pl *pool) fromOneDomain(k int) []int {
	var best selection
	found := false
	for _, d := range pl.domains {
		c, ok := pl.bestOf(d, k)
		if ok && (!found || c.betterThan(&best)) {
			best, found = c, true
		}
	}
	return slices.Clone(best.members)
}

func (c *selection) betterThan(other *selection) bool {
	if c.speedSpread != other.speedSpread {
		return c.speedSpread < other.speedSpread
	}
	return c.leftOver < other.leftOver
}

// fromSeveralDomains returns k VMs from as few domains as possible, all of one hall if a hall has enough.
func (pl *pool) fromSeveralDomains(k int) []int {
	for _, d := range pl.domains {
		pl.refresh(d)
	}
	for _, set := range [][]*poolDomain{pl.fullestHall(k), pl.domains} {
		if members := pl.collect(set, k); members != nil {
			return members
		}
	}
	return nil
}

// fullestHall returns the domains of the hall with the most free VMs, or nil if that hall has fewer than k.
func (pl *pool) fullestHall(k int) []*poolDomain {
	domainsByHall := map[string][]*poolDomain{}
	freeByHall := map[string]int{}
	best := ""
	for _, d := range pl.domains {
		if len(d.members) == 0 {
			continue
		}
		hall := string(pl.plan.snapshot.VMs[d.members[0]].Hall)
		domainsByHall[hall] = append(domainsByHall[hall], d)
		freeByHall[hall] += len(d.members)
		// Of equal halls the first by name is chosen, so that the result is deterministic.
		if best == "" || freeByHall[hall] > freeByHall[best] || freeByHall[hall] == freeByHall[best] && hall < best {
			best = hall
		}
	}
	if freeByHall[best] < k {
		return nil
	}
	return domainsByHall[best]
}

// collect returns k VMs of the domains, from those with the most VMs first, or nil if there are too few.
func (pl *pool) collect(domains []*poolDomain, k int) []int {
	domains = slices.Clone(domains)
	sort.SliceStable(domains, func(i, j int) bool { return len(domains[i].members) > len(domains[j].members) })
	var members []int
	for _, d := range domains {
		n := min(k-len(members), len(d.members))
		members = append(members, d.members[:n]...)
	}
	if len(members) < k {
		return nil
	}
	return members
}

// additions returns n VMs to add to the kept ones, or nil: from their main domain if it has enough, else with VMs of their hall and then of other
// halls.
func (pl *pool) additions(kept []int, n int, oneDomain bool) []int {
	mainDomain, hall, slowest := pl.mainDomain(kept)
	vms := pl.plan.snapshot.VMs
	var sameDomain, sameHall, elsewhere []int
	for _, d := range pl.domains {
		pl.refresh(d)
		for _, i := range d.members {
			switch {
			case d.index == mainDomain:
				sameDomain = append(sameDomain, i)
			case string(vms[i].Hall) == hall:
				sameHall = append(sameHall, i)
			default:
				elsewhere = append(elsewhere, i)
			}
		}
	}
	for _, set := range [][]int{sameDomain, sameHall, elsewhere} {
		pl.plan.sortForRepair(set, slowest)
	}
	if len(sameDomain) >= n {
		return sameDomain[:n]
	}
	all := slices.Concat(sameDomain, sameHall, elsewhere)
	if oneDomain || len(all) < n {
		return nil
	}
	return all[:n]
}

// mainDomain returns the domain with the most kept VMs, its hall, and the lowest speed of the kept VMs.
func (pl *pool) mainDomain(kept []int) (domain int, hall string, slowest float64) {
	vms := pl.plan.snapshot.VMs
	keptByDomain := map[int]int{}
	domain = noIndex
	for n, i := range kept {
		v := &vms[i]
		keptByDomain[v.domain]++
		if domain == noIndex || keptByDomain[v.domain] > keptByDomain[domain] {
			domain, hall = v.domain, string(v.Hall)
		}
		if n == 0 || v.Speed < slowest {
			slowest = v.Speed
		}
	}
	return domain, hall, slowest
}
