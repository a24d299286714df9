package replicaset_test

import (
	"math"
	"testing"
	"time"
)

// The leader must find the rate of losses, or domains keep too few or too many spares: a restart that was announced is no loss, losses are
// forgotten after a while, and a new leader knows none.
func TestLossRate(t *testing.T) {
	f := newFleetOf(t, 5, &fleetOptions{domains: 6, perDomain: 37, config: scarceConfig(), spares: true})
	f.stallConfirmed = true
	f.run(12*time.Second, nil)
	f.demand = demandOf(f.config, 5, 22)
	f.run(10*time.Second, nil)
	if got := f.formation.LossRate(); got != 0 {
		t.Errorf("rate %v without losses", got)
	}
	steps := 0
	f.run(40*time.Second, func() {
		if steps%60 == 0 {
			f.replaceLost(2, anyMember)
		}
		steps++
	})
	want := 2.0 / 3 / 222
	if got := f.formation.LossRate(); math.Abs(got-want) > want/3 {
		t.Errorf("rate %v with two losses every three seconds, want %v", got, want)
	}
	f.run(60*time.Second, nil)
	if got := f.formation.LossRate(); got > want/20 {
		t.Errorf("rate %v a minute after the last loss", got)
	}
	before := f.formation.LossRate()
	for _, e := range f.living()[:20] {
		e.draining, e.reportDue = true, true
	}
	f.run(5*time.Second, nil)
	for _, e := range f.living()[:20] {
		e.signedOff = true
		f.kill(e)
		f.roster.SignOff(f.now, e.id)
	}
	f.run(5*time.Second, nil)
	if got := f.formation.LossRate(); got > before {
		t.Errorf("rate %v after announced ends, %v before", got, before)
	}
	f.elect(f.copyRoster())
	f.run(tick, nil)
	if got := f.formation.LossRate(); got != 0 {
		t.Errorf("rate %v at a new leader", got)
	}
}
