package routing

// A choice compares three targets: the one that probably has the longest prefix of
// the prompt in its cache, and two random ones. Comparing all targets would make all
// entries send their next requests to the group that the last delayed report showed
// as idle (power of two choices, Mitzenmacher 2001). Only if none of the three can
// accept the request are all targets searched, starting at a random one.

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Request is a request for which a target is chosen.
type Request struct {
	Model   ident.Model
	Adapter string
	// Prefixes is the result of the function Prefixes for the prompt.
	Prefixes     []uint64
	PromptTokens ident.Tokens
	// Avoid is a target that has just failed this request.
	Avoid *Target

	// Trial is set by Reserve if the request probes whether a target that requested backoff accepts requests again.
	Trial bool
	// RetryIn is set by Reserve with the outcome BackedOff: the time until the first target may be tried.
	RetryIn time.Duration
	// WaitsForPermit is set by Reserve if every target that could serve the request has a limit and no permit now: the request has to wait
	// for a permit of the chosen target.
	WaitsForPermit bool
}

// Costs holds the costs of a choice, in seconds.
type Costs struct {
	// Service is the time of a typical request, for the cost of load.
	Service float64
	// PrefillPerToken is the prefill time of one prompt token that is not cached.
	PrefillPerToken float64
	AdapterLoad     float64
	OtherHall       float64
}

// DefaultCosts returns costs for a large model on several VMs.
func DefaultCosts() Costs {
	return Costs{Service: 2, PrefillPerToken: 0.0002, AdapterLoad: 1, OtherHall: 0.002}
}

// minCostDifference is the number of seconds by which a cost must be lower to be preferred.
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
	// Backoff holds the backoff that heads of targets requested from this daemon.
	Backoff *backoff.List[ident.Incarnation]
	// PermitIn returns the time until a permit within the limit of the head at an address is expected; 0 if one may be available now.
	PermitIn func(now time.Time, head string) time.Duration
	// Random returns a number in [0, n); tests replace it by a seeded generator.
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

// Replace replaces the content of the table. Requests for a declared model without targets get NotWhole, for other models UnknownModel.
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

// Outcome is the result of a choice.
type Outcome uint8

// The outcomes.
const (
	Chosen Outcome = iota
	UnknownModel
	// NotWhole means that no target with all members present was found.
	NotWhole
	// Full means that no target can accept the request now, but at least one has all members present.
	Full
	// BackedOff means that the targets with all members present have requested backoff.
	BackedOff
)

// Reserve chooses a target and counts one request in flight at it, until Release.
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
		// The target was removed from the table meanwhile, and a drain may already have read the number of requests as 0.
		best.inFlight.Add(-1)
		return t.Reserve(now, request)
	}
	request.Trial = t.Backoff.BeginProbe(now, best.HeadIncarnation())
	t.Record.add(best, request.Prefixes)
	return best, Chosen
}

// Release ends the request that Reserve counted.
func (t *Table) Release(target *Target) {
	target.inFlight.Add(-1)
}

// best returns the cheapest of the prefix target and two random ones, or nil if none can accept the request.
func (t *Table) best(now time.Time, request *Request, targets []*Target, prefixTarget *Target, depth int) *Target {
	candidates := [...]*Target{prefixTarget, targets[t.Random(len(targets))], targets[t.Random(len(targets))]}
	var best *Target
	var lowest float64
	for i, target := range candidates {
		if target == nil || target == request.Avoid || target.Model != request.Model || i > 0 && target == candidates[i-1] {
			continue
		}
		cost, ok := t.cost(now, request, target, cachedFraction(target == prefixTarget, depth, len(request.Prefixes)))
		// Of nearly equal costs the first candidate is kept, so that a tiny difference does not direct all entries to one target.
		if ok && (best == nil || cost < lowest-minCostDifference) {
			best, lowest = target, cost
		}
	}
	return best
}

// cachedFraction estimates the fraction of the prompt that is cached; each prefix is twice as long as the previous one.
func cachedFraction(holdsPrefix bool, depth, prefixes int) float64 {
	if !holdsPrefix || depth == 0 {
		return 0
	}
	return 1 / float64(uint64(1)<<(prefixes-depth))
}

// cost returns a measure, in seconds, of the expected time to first token; ok is false if the target cannot accept the request now.
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
	// A slow target answers slowly even without load, so the service time counts as well.
	seconds = (seconds + t.Costs.Service) * target.currentSlowdown(now)
	if target.Hall != t.Hall {
		seconds += t.Costs.OtherHall
	}
	return seconds, true
}

// search returns the first target that can accept the request, starting at a random one; the one to avoid only if no other can.
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

// soonestPermit returns the target with the soonest permit, of those that have all members present and no permit now.
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

// backoffRemaining returns how long the backoff that a target requested still lasts; 0 unless all its members are present.
func (t *Table) backoffRemaining(now time.Time, target *Target) time.Duration {
	state := t.Backoff.StateOf(now, target.HeadIncarnation())
	if !state.Requested || !target.Whole(now, t.Bound) {
		return 0
	}
	return state.Remaining
}

// Capacity returns the slots of the groups of a model that have all members present.
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
