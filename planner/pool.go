package planner

// A pool holds the free VMs that one selector admits, by fabric domain. Groups
// that share a selector share its pool, and each domain caches its best choice
// of k VMs until one of its VMs is taken, so that planning a fleet from
// scratch looks at each VM a few times rather than once for each group.

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
	members []int // free VMs, the fastest first
	// seen is the domain's version for which members and best hold.
	seen int
	best map[int]choice
}

// choice is the best set of a given size in one domain.
type choice struct {
	members []int
	spread  float64
	left    int
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
		if spec.FailedRequirement(p.world.VMs[i].VM) == nil {
			pl.add(i)
		}
	}
	for _, d := range pl.domains {
		p.sortFastest(d.members)
	}
	return pl
}

func (pl *pool) add(i int) {
	index := pl.plan.world.VMs[i].domain
	d := pl.byIndex[index]
	if d == nil {
		d = &poolDomain{index: index, best: map[int]choice{}, seen: pl.plan.version[index]}
		pl.byIndex[index] = d
		pl.domains = append(pl.domains, d)
	}
	d.members = append(d.members, i)
}

// refresh drops VMs that were taken since the last look.
func (pl *pool) refresh(d *poolDomain) {
	if version := pl.plan.version[d.index]; d.seen != version {
		d.members = slices.DeleteFunc(d.members, func(i int) bool { return pl.plan.taken[i] })
		d.best = map[int]choice{}
		d.seen = version
	}
}

// bestOf returns the set of k VMs in d whose speeds differ least, because the slowest sets the pace.
func (pl *pool) bestOf(d *poolDomain, k int) (choice, bool) {
	pl.refresh(d)
	if len(d.members) < k {
		return choice{}, false
	}
	if c, ok := d.best[k]; ok {
		return c, true
	}
	vms := pl.plan.world.VMs
	best := choice{spread: -1}
	for i := 0; i+k <= len(d.members); i++ {
		spread := vms[d.members[i]].Speed - vms[d.members[i+k-1]].Speed
		if best.spread < 0 || spread < best.spread {
			best = choice{members: d.members[i : i+k], spread: spread, left: len(d.members) - k}
		}
	}
	d.best[k] = best
	return best, true
}

// oneDomain returns the best k VMs of a single domain: even speeds first, then the domain that is left with the fewest.
func (pl *pool) oneDomain(k int) []int {
	var best choice
	found := false
	for _, d := range pl.domains {
		c, ok := pl.bestOf(d, k)
		if ok && (!found || c.before(&best)) {
			best, found = c, true
		}
	}
	return slices.Clone(best.members)
}

func (c *choice) before(other *choice) bool {
	if c.spread != other.spread {
		return c.spread < other.spread
	}
	return c.left < other.left
}

// manyDomains returns k VMs from as few domains as possible, all of one hall when a hall has enough.
func (pl *pool) manyDomains(k int) []int {
	for _, d := range pl.domains {
		pl.refresh(d)
	}
	for _, set := range [][]*poolDomain{pl.richestHall(k), pl.domains} {
		if members := pl.gather(set, k); members != nil {
			return members
		}
	}
	return nil
}

func (pl *pool) richestHall(k int) []*poolDomain {
	halls := map[string][]*poolDomain{}
	count := map[string]int{}
	best := ""
	for _, d := range pl.domains {
		if len(d.members) == 0 {
			continue
		}
		hall := string(pl.plan.world.VMs[d.members[0]].Hall)
		halls[hall] = append(halls[hall], d)
		count[hall] += len(d.members)
		// The fullest hall wins; equal ones are told apart by name, so that the result does not vary.
		if best == "" || count[hall] > count[best] || count[hall] == count[best] && hall < best {
			best = hall
		}
	}
	if count[best] < k {
		return nil
	}
	return halls[best]
}

func (pl *pool) gather(domains []*poolDomain, k int) []int {
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

// beside returns n VMs to join those that are kept: of their domain if it has enough, then of their hall, then any.
func (pl *pool) beside(kept []int, n int, oneDomain bool) []int {
	home, hall, slowest := pl.home(kept)
	vms := pl.plan.world.VMs
	var near, hallwide, far []int
	for _, d := range pl.domains {
		pl.refresh(d)
		for _, i := range d.members {
			switch {
			case d.index == home:
				near = append(near, i)
			case string(vms[i].Hall) == hall:
				hallwide = append(hallwide, i)
			default:
				far = append(far, i)
			}
		}
	}
	for _, set := range [][]int{near, hallwide, far} {
		pl.plan.sortClosest(set, slowest)
	}
	if len(near) >= n {
		return near[:n]
	}
	all := slices.Concat(near, hallwide, far)
	if oneDomain || len(all) < n {
		return nil
	}
	return all[:n]
}

// home returns the domain where most of the kept VMs lie, its hall, and the slowest speed among them.
func (pl *pool) home(kept []int) (domain int, hall string, slowest float64) {
	vms := pl.plan.world.VMs
	count := map[int]int{}
	domain = none
	for n, i := range kept {
		v := &vms[i]
		count[v.domain]++
		if domain == none || count[v.domain] > count[domain] {
			domain, hall = v.domain, string(v.Hall)
		}
		if n == 0 || v.Speed < slowest {
			slowest = v.Speed
		}
	}
	return domain, hall, slowest
}
