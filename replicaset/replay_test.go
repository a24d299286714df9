package replicaset_test

import (
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// scarceConfig is a site with a model of groups of 16 and one of groups of 4.
func scarceConfig() *httproute.Engine {
	config := engineConfig()
	config.Models[0].Size, config.Models[1].Size = 16, 4
	return config
}

// demandOf returns the demand that requires the given numbers of groups of a configuration.
func demandOf(config *httproute.Engine, large, small float64) map[ident.Model]float64 {
	return map[ident.Model]float64{"large": large * float64(config.Models[0].Size) * 0.94, "small": small * float64(config.Models[1].Size) * 0.94}
}

// replaceLost ends n members of groups and starts an upstream without weights in the domain of each.
func (f *fleet) replaceLost(n int, accept func(e *engine) bool) {
	for range n {
		var members []*engine
		for _, e := range f.living() {
			if e.member.State != roster.MemberNone && accept(e) {
				members = append(members, e)
			}
		}
		if len(members) == 0 {
			return
		}
		e := members[f.random.IntN(len(members))]
		f.kill(e)
		f.add(e.domain, e.hall, "")
	}
}

func anyMember(*engine) bool { return true }
