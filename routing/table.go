package routing

// Choosing looks at three targets however many there are: the one that
// probably holds the longest prefix of the prompt, and two taken at random. The
// best of the three wins. Taking the best of all would send every entry VM's
// next request to whichever group the last lagging report called idle (power of
// two choices, Mitzenmacher 2001). Only when none of the three can take the
// request are the others looked through, from a random place on.

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Request is what a request needs of a target.
type Request struct {
	Model   ident.Model
	Adapter string
	// Prefixes are the chained hashes of the prompt's beginnings, shortest first; see Prefixes.
	Prefixes     []uint64
	PromptTokens ident.Tokens
	// Avoid is a target that has just failed this request.
	Avoid *Target

	// Trial is set by Take when the request finds out whether a target that asked for time takes requests again, Free with BackedOff:
	// how long until the first target may be tried.
	Trial   bool
	RetryIn time.Duration
	// WaitsForPermit is set by Take when every target that could serve has a limit and no turn now: the request waits for one at the chosen target.
	WaitsForPermit bool
}

// Costs are the seconds by which the parts of a choice are weighed.
type Costs struct {
	// Service is the time of a usual request, by which load is weighed.
	Service float64
	// PrefillPerToken is the time to read one prompt token that is not cached.
	PrefillPerToken float64
	AdapterLoad     float64
	OtherHall       float64
}

// DefaultCosts suit a large model on several VMs.
func DefaultCosts() Costs {
	return Costs{Service: 2, PrefillPerToken: 0.0002, AdapterLoad: 1, OtherHall: 0.002}
}

// minCostDifference is the number of seconds by which a cost has to be lower to count.
const minCostDifference = 0.0005

type targetsByModel map[ident.Model][]*Target

type index struct {
	byModel targetsByModel
	byID    map[uint64]*Target
}

// Table holds the targets of all models; exported fields are set before use.
type Table struct {
	Hall   ident.Hall
	Bound  time.Duration
	Costs  Costs
	Record *PrefixRecord
	// Backoff is what the heads of targets asked this daemon for.
	Backoff *backoff.List[ident.Incarnation]
	// PermitIn returns how long until the head at an address has a turn for a request within its limit, 0 when it may have one now.
	PermitIn func(now time.Time, head string) time.Duration
	// Random returns a number in [0, n); tests give it a seed.
	Random func(n int) int

	current atomic.Pointer[index]
}

// NewTable returns an empty table for a daemon in hall with the presence bound.
func NewTable(hall ident.Hall, bound time.Duration) *Table {
	t := &Table{Hall: hall, Bound: bound, Costs: DefaultCosts(), Record: NewRecord(defaultRecordSize), Random: rand.IntN}
	t.Backoff = backoff.New[ident.Incarnation](backoff.DefaultRule())
	t.PermitIn = func(time.Time, string) time.Duration { return 0 }
	t.Replace(nil, nil)
	return t
}

// Replace makes targets the whole content of the table; a model that is declared and has none is not whole, others are unknown.
func (t *Table) Replace(targets []*Target, declared []ident.Model) {
	ix := &index{byModel: targetsByModel{}, byID: make(map[uint64]*Target, len(targets))}
	for _, model := range declared {
		ix.byModel[model] = nil
	}
	for _, target := range targets {
		ix.byModel[target.Model] = append(ix.byModel[target.Model], target)
		ix.byID[target.id] = target
	}
	t.current.Store(ix)
}

// Targets returns every target of a model; the caller must not change the slice.
func (t *Table) Targets(model ident.Model) []*Target {
	return t.current.Load().byModel[model]
}

// Outcome says why a choice succeeded or not.
type Outcome uint8

// The verdicts.
const (
	Chosen Outcome = iota
	UnknownModel
	NotWhole
	Full
	// BackedOff means that every target has asked for time.
	BackedOff
)

// Reserve chooses a target and counts one request in flight there, which Done gives back.
func (t *Table) Reserve(now time.Time, request *Request) (*Target, Outcome) {
	ix := t.current.Load()
	targets, declared := ix.byModel[request.Model]
	if !declared {
		return nil, UnknownModel
	}
	if len(targets) == 0 {
		return nil, NotWhole
	}
	request.WaitsForPermit = false
	prefixTarget, depth := t.Record.find(ix, request.Prefixes)
	best := t.best(now, request, targets, prefixTarget, depth)
	if best == nil {
		var outcome Outcome
		if best, outcome = t.search(now, request, targets); best == nil {
			return nil, outcome
		}
	}
	best.inFlight.Add(1)
	if latest := t.current.Load(); latest != ix && latest.byID[best.id] == nil {
		// The group left the table in this moment; a drain may already have counted nobody here.
		best.inFlight.Add(-1)
		return t.Reserve(now, request)
	}
	request.Trial = t.Backoff.BeginProbe(now, best.HeadIncarnation())
	t.Record.add(best, request.Prefixes)
	return best, Chosen
}

// Release gives back what Take counted.
func (t *Table) Release(target *Target) {
	target.inFlight.Add(-1)
}

func (t *Table) best(now time.Time, request *Request, targets []*Target, prefixTarget *Target, depth int) *Target {
	candidates := [...]*Target{prefixTarget, targets[t.Random(len(targets))], targets[t.Random(len(targets))]}
	var best *Target
	var lowest float64
	for i, target := range candidates {
		if target == nil || target == request.Avoid || target.Model != request.Model || i > 0 && target == candidates[i-1] {
			continue
		}
		cost, ok := t.cost(now, request, target, cachedFraction(target == prefixTarget, depth, len(request.Prefixes)))
		// Of nearly equal ones the first stays, which is random, so that a trace of a difference does not draw everybody.
		if ok && (best == nil || cost < lowest-minCostDifference) {
			best, lowest = target, cost
		}
	}
	return best
}

// cachedFraction estimates how much of the prompt is cached; each prefix is twice as long as the one before.
func cachedFraction(holdsPrefix bool, depth, prefixes int) float64 {
	if !holdsPrefix || depth == 0 {
		return 0
	}
	return 1 / float64(uint64(1)<<(prefixes-depth))
}

// cost returns the expected seconds until the first token beyond the unavoidable; ok is false when the target cannot take the request now.
func (t *Table) cost(now time.Time, request *Request, target *Target, cached float64) (seconds float64, ok bool) {
	slots, busy := target.load()
	if busy >= slots || !target.Whole(now, t.Bound) || !t.Backoff.StateOf(now, target.HeadIncarnation()).Admits() || t.PermitIn(now, target.Head) > 0 {
		return 0, false
	}
	seconds = t.Costs.Service * float64(busy) / float64(slots)
	seconds += t.Costs.PrefillPerToken * float64(request.PromptTokens) * (1 - cached)
	if !target.HasAdapter(request.Adapter) {
		seconds += t.Costs.AdapterLoad
	}
	// A slow target answers slowly whatever its load is.
	seconds = (seconds + t.Costs.Service) * target.currentSlowdown(now)
	if target.Hall != t.Hall {
		seconds += t.Costs.OtherHall
	}
	return seconds, true
}

// search looks through all targets; the one to avoid is taken only if there is no other.
func (t *Table) search(now time.Time, request *Request, targets []*Target) (*Target, Outcome) {
	start := t.Random(len(targets))
	outcome := NotWhole
	request.RetryIn = 0
	for i := range targets {
		target := targets[(start+i)%len(targets)]
		if remaining := t.backoffRemaining(now, target); remaining > 0 {
			if request.RetryIn == 0 || remaining < request.RetryIn {
				request.RetryIn = remaining
			}
			continue
		}
		if target == request.Avoid || t.PermitIn(now, target.Head) > 0 {
			continue
		}
		if _, ok := t.cost(now, request, target, 0); ok {
			return target, Chosen
		}
		if target.Whole(now, t.Bound) {
			outcome = Full
		}
	}
	if request.Avoid != nil {
		if _, ok := t.cost(now, request, request.Avoid, 0); ok {
			return request.Avoid, Chosen
		}
	}
	if outcome != NotWhole {
		return nil, outcome
	}
	if next := t.soonestPermit(now, targets); next != nil {
		request.WaitsForPermit = true
		return next, Chosen
	}
	if request.RetryIn > 0 {
		outcome = BackedOff
	}
	return nil, outcome
}

// soonestPermit returns the whole target that has a turn within its limit soonest, of those that have one later.
func (t *Table) soonestPermit(now time.Time, targets []*Target) *Target {
	var next *Target
	var soonest time.Duration
	for _, target := range targets {
		wait := t.PermitIn(now, target.Head)
		if wait > 0 && target.Whole(now, t.Bound) && t.backoffRemaining(now, target) == 0 && (next == nil || wait < soonest) {
			next, soonest = target, wait
		}
	}
	return next
}

// backoffRemaining returns how long a whole target wants nothing yet because it asked for time.
func (t *Table) backoffRemaining(now time.Time, target *Target) time.Duration {
	state := t.Backoff.StateOf(now, target.HeadIncarnation())
	if !state.Requested || !target.Whole(now, t.Bound) {
		return 0
	}
	return state.Remaining
}

// Capacity returns the slots of the whole groups of a model.
func (t *Table) Capacity(now time.Time, model ident.Model) int {
	total := 0
	for _, target := range t.Targets(model) {
		if target.Whole(now, t.Bound) {
			slots, _ := target.load()
			total += slots
		}
	}
	return total
}
