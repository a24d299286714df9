package replicaset

// A group that is closed for one of another model lowers the capacity of the donor
// at once, and raises that of the receiver only after its requests have ended and
// its members have loaded other weights and opened. If both models are short, two
// such changes in opposite directions leave both with less. A change is therefore
// judged by the mean loads over the time that the lack is expected to last.
//
// Example: a model has 3 of 5 groups, load 1.57, and gets one within 3 of the 6 s
// that the lack is expected to last. Its mean load becomes 1.37. The donor's load
// rises from 0.70 to 0.76, so the higher of both falls by 0.2.

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// expectedLack is how long a lack of groups is expected to last: the half-life of the demand that shows it. A mix of models that turns
	// within about twice that time would otherwise close groups of each model in turn.
	expectedLack = 6 * time.Second
	// clearDifference is how much lower the load of a donor must be afterwards for a small gain to suffice although the donor is short, too:
	// one group changes the load of a model with many groups only a little.
	clearDifference = 0.4
)

// exchangeWorth is the effect of closing groups for a group of another model.
type exchangeWorth struct {
	// before and after are the loads of the receiver, mean is its mean over the expected lack. donorBefore and donor are the highest loads
	// of the donors before and after the exchange.
	before, after, mean, donorBefore, donor float64
	// delay is the time until the new group serves.
	delay time.Duration
}

// gain is the reduction of the higher load of the models.
func (w *exchangeWorth) gain() float64 {
	if math.IsInf(w.before, 1) {
		return -max(w.after, w.donor)
	}
	return w.before - max(w.mean, w.donor)
}

// worthwhile reports whether the change lowers the higher load clearly. One group among many lowers the load of the receiver only a little;
// the change is still worthwhile if the donors can spare their groups, or remain clearly less loaded.
func (w *exchangeWorth) worthwhile() bool {
	if math.IsInf(w.donor, 1) {
		return false
	}
	if math.IsInf(w.before, 1) {
		return true
	}
	minGain := minLoadGain
	if w.donor <= plannedGroupLoad || w.donor <= w.mean-clearDifference {
		minGain = min(minLoadGain, minGainFraction*(w.before-w.mean))
	}
	return w.gain() > minGain
}

// restores reports whether a lost group brings its model back more than the donors lose, which still have enough.
func (w *exchangeWorth) restores() bool {
	return w.donor <= plannedGroupLoad && w.before-w.mean > w.donor-w.donorBefore
}

// worthOf returns the effect of closing groups so that m gets newGroups, which serve after delay. Of the donors only the groups that already
// serve count, since those being formed do not help them yet.
func (p *plan) worthOf(m *httproute.Model, newGroups int, toClose []*ExistingGroup, delay time.Duration) exchangeWorth {
	lost := map[ident.Model]float64{}
	for _, g := range toClose {
		lost[g.Model] += p.groupCapacity(g)
	}
	w := exchangeWorth{before: p.load(m, 0), after: p.load(m, float64(max(1, newGroups))-lost[m.Name]), delay: delay}
	for name, capacity := range lost {
		if donor, ok := p.Engine.Model(name); ok && name != m.Name {
			w.donorBefore = max(w.donorBefore, p.openLoad(donor, 0))
			w.donor = max(w.donor, p.openLoad(donor, -capacity))
		}
	}
	waiting := min(1, delay.Seconds()/expectedLack.Seconds())
	w.mean = waiting*w.before + (1-waiting)*w.after
	return w
}

// keepsRequired reports whether every other model than m keeps the groups that its demand requires when groups are closed.
func (p *plan) keepsRequired(m *httproute.Model, toClose []*ExistingGroup) bool {
	lost := map[ident.Model]float64{}
	for _, g := range toClose {
		lost[g.Model] += p.groupCapacity(g)
	}
	for name, capacity := range lost {
		if name != m.Name && p.openCapacity[name]-capacity < float64(p.requiredGroups[name]) {
			return false
		}
	}
	return true
}
