package overload

// Requests of different urgency share the groups of a model, and each entry of a
// large site sees few of them. A less urgent request can usually be in time with
// the last of the capacity, so without a rule it takes what a more urgent request
// at another entry needs a moment later:
//
//	more urgent requests                 a less urgent request may use
//	none arrive anywhere                 any capacity
//	arrive                               what leaves capacity for one more of them
//	arrive, and it must go soon          the floor
//	a part of them waits or is refused   the floor, and idle groups
//
// The floor is a fraction of all sends. Each entry has its part of it as a credit
// that grows with the sends of more urgent requests, of all entries by the site's
// rate or else of its own.

import (
	"cmp"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	// arrivalMemory is how long after its own last request of an urgency an entry expects more. siteMemory is the same for the requests
	// of all entries, whose reports are up to half a second old.
	arrivalMemory = 1500 * time.Millisecond
	siteMemory    = time.Second
	// contentionMemory is how long after a refusal more urgent requests count as refused, and how long without contention the floor
	// credit is kept.
	contentionMemory = time.Second
	// contendedFraction is the fraction of the more urgent requests of all entries that must be refused for the less urgent ones to get the
	// floor only: a single long prompt that no group can take in time says nothing about capacity. contendedWait is their mean time in the
	// queue that has the same effect, about one iteration of an engine.
	contendedFraction = 0.1
	contendedWait     = 50 * time.Millisecond
	// floorWaitFraction is the fraction of its time to wait after which a request may use the floor. Until then the contention may end;
	// after more than that, a group with a few requests no longer answers in time.
	floorWaitFraction = 0.5
	// An entry without less urgent requests keeps no more credit than maxFloorCredit, or that of floorCreditTime, since all entries may use
	// theirs at once.
	maxFloorCredit  = 2.0
	floorCreditTime = 500 * time.Millisecond
	// A shortfall is made up within shortfallTime. It is bounded to what the floor allows in maxShortfallTime.
	shortfallTime    = time.Second
	maxShortfallTime = 2 * time.Second
)

// Needs are what a kind of request needs from a group; they are unknown if Aim is 0.
type Needs struct {
	Prompt ident.Tokens
	// Aim is the aim for the first event, GapAim the one for the gaps between events.
	Aim    time.Duration
	GapAim time.Duration
	// Rate is the number of such requests per second that arrive at all entries, 0 if unknown.
	Rate float64
}

// Site is what is known of the requests of all entries for the same groups; it is empty while no fresh sums are known.
type Site struct {
	Levels []siteload.LevelSummary
	// Own is what this entry reported last, which the sums contain.
	Own []siteload.LevelReport
	// Age is the time since the sums were received, Entries the number of entries.
	Age     time.Duration
	Entries int
}

// Claim is what a request must leave to more urgent ones.
type Claim struct {
	// Contended is set while more urgent requests wait or are refused: only idle groups may be used.
	Contended bool
	// Reserve is what a more urgent request needs that arrives next; no capacity is reserved if its Aim is 0.
	Reserve Needs
	// Floor is set when the request may use any capacity instead, by UseFloor.
	Floor bool
}

// Restricts reports whether the request must leave anything.
func (c *Claim) Restricts() bool {
	return c.Contended || c.Reserve.Aim > 0
}

// activity is what an entry saw of its own requests of one urgency.
type activity struct {
	arrivedAt, sentAt, refusedAt time.Time
	needs                        Needs
}

// floorCredit is what the requests of one urgency may send while more urgent ones wait, in requests.
type floorCredit struct {
	credit      float64
	contendedAt time.Time
	accruedAt   time.Time
	// shortfall is by how many requests the sends of all entries are short of the floor.
	shortfall float64
}

func (a *activity) noteArrival(now time.Time, needs Needs) {
	if a.needs.Aim == 0 || needs.Aim <= a.needs.Aim || now.Sub(a.arrivedAt) > arrivalMemory {
		a.needs = needs
	}
	a.arrivedAt = now
}

// SetSite replaces what is known of all entries.
func (q *Queue[T]) SetSite(now time.Time, site Site) {
	q.site = site
	for _, l := range q.levels {
		q.accrue(now, l)
	}
}

// Claim returns what the request must leave to more urgent ones; it holds while the request is being offered.
func (q *Queue[T]) Claim(now time.Time, queued *Queued[T]) Claim {
	if queued.rank == Started {
		return Claim{}
	}
	l := q.level(queued.Urgency)
	claim := l.claim
	due := queued.Due
	if q.ArrivalCheck && queued.waitLimit().Before(due) {
		due = queued.waitLimit()
	}
	waitUntil := queued.QueuedAt.Add(time.Duration(floorWaitFraction * float64(due.Sub(queued.QueuedAt))))
	claim.Floor = claim.Restricts() && l.floor.credit >= 1 && !now.Before(waitUntil)
	return claim
}

// UseFloor notes that the request was sent by the floor.
func (q *Queue[T]) UseFloor(queued *Queued[T]) {
	q.level(queued.Urgency).floor.credit--
}

// claimOf returns what requests of the level at index i must leave to more urgent ones.
func (q *Queue[T]) claimOf(now time.Time, i int) Claim {
	if q.Floor >= 1 {
		return Claim{}
	}
	own := q.levels[i].urgency
	claim := Claim{Contended: q.contended(now, own)}
	rate := 0.0
	reserve := func(needs Needs) {
		if needs.Aim > 0 && (claim.Reserve.Aim == 0 || needs.Aim < claim.Reserve.Aim) {
			claim.Reserve = needs
		}
	}
	for _, l := range q.levels[:i] {
		if within(now, l.activity.arrivedAt, arrivalMemory) {
			reserve(l.activity.needs)
		}
	}
	for j := range q.site.Levels {
		if l := &q.site.Levels[j]; l.Urgency < own && l.ArrivalRate > 0 && l.SinceArrival+q.site.Age <= siteMemory {
			reserve(Needs{Prompt: l.MeanPrompt, Aim: l.Aim, GapAim: l.GapAim})
			rate += l.ArrivalRate
		}
	}
	claim.Reserve.Rate = rate
	q.accrue(now, q.levels[i])
	return claim
}

// contended reports whether a part of the requests that are more urgent than u waits or is refused while others of them are sent. If none
// are sent, the capacity is of no use to them.
func (q *Queue[T]) contended(now time.Time, u siteload.Urgency) bool {
	ownWaits, ownSent := false, false
	for _, l := range q.levels {
		if l.urgency >= u {
			break
		}
		ownWaits = ownWaits || l.len() > 0 || within(now, l.activity.refusedAt, contentionMemory)
		ownSent = ownSent || within(now, l.activity.sentAt, contentionMemory)
	}
	if len(q.site.Levels) == 0 {
		return ownWaits && ownSent
	}
	return q.siteContended(u)
}

// siteContended is contended by the sums over all entries.
func (q *Queue[T]) siteContended(u siteload.Urgency) bool {
	var arrived, refused, sent float64
	waiting := 0
	for j := range q.site.Levels {
		l := &q.site.Levels[j]
		if l.Urgency >= u {
			break
		}
		waiting += l.Waiting
		arrived += l.ArrivalRate
		if l.SinceRefusal+q.site.Age <= contentionMemory {
			refused += l.RefusalRate
		}
		if l.SinceSend+q.site.Age <= contentionMemory {
			sent += l.SendRate
		}
	}
	return sent > 0 && (refused > contendedFraction*arrived || float64(waiting) > contendedWait.Seconds()*arrived)
}

// accrue adds the floor credit of a level for the time since the last call: its part of what all entries send.
func (q *Queue[T]) accrue(now time.Time, l *level[T]) {
	f := &l.floor
	if q.contended(now, l.urgency) {
		if !within(now, f.contendedAt, contentionMemory) {
			f.credit, f.accruedAt, f.shortfall = q.phase(), now, 0
		}
		f.contendedAt = now
	}
	elapsed := min(contentionMemory, now.Sub(f.accruedAt))
	f.accruedAt = now
	perSecond := q.floorRate(l, elapsed) / float64(max(1, q.site.Entries))
	f.credit = min(max(maxFloorCredit, floorCreditTime.Seconds()*perSecond), f.credit+elapsed.Seconds()*perSecond)
}

// floorRate returns the rate at which the floor credit of all entries together grows, in requests per second: that of the floor, and what
// makes up for earlier sends that fell short of it, because entries without waiting requests leave their credit unused.
func (q *Queue[T]) floorRate(l *level[T], elapsed time.Duration) float64 {
	sendRate := 0.0
	for j := range q.site.Levels {
		if q.site.Levels[j].Urgency < l.urgency {
			sendRate += q.site.Levels[j].SendRate
		}
	}
	floor := sendRate * q.floorRatio()
	own := q.siteLevel(l.urgency)
	if own == nil {
		return floor
	}
	missing := min(floor, own.ArrivalRate) - own.SendRate
	l.floor.shortfall = min(maxShortfallTime.Seconds()*floor, max(0, l.floor.shortfall+elapsed.Seconds()*missing))
	return floor + l.floor.shortfall/shortfallTime.Seconds()
}

// noteSent notes that requests of the level were sent. Without sums over all entries, less urgent ones get credit for them.
func (q *Queue[T]) noteSent(now time.Time, l *level[T], sent int) {
	l.activity.sentAt = now
	if len(q.site.Levels) > 0 {
		return
	}
	for _, less := range q.levels {
		if cmp.Less(l.urgency, less.urgency) {
			less.floor.credit = min(maxFloorCredit, less.floor.credit+float64(sent)*q.floorRatio())
		}
	}
}

// floorRatio is the floor relative to the sends of more urgent requests, whose part of all sends is the remainder.
func (q *Queue[T]) floorRatio() float64 {
	if q.Floor >= 1 {
		return 0
	}
	return q.Floor / (1 - q.Floor)
}

func (q *Queue[T]) phase() float64 {
	if q.Phase == nil {
		return 0
	}
	return q.Phase()
}

// within reports whether t is at most d before now.
func within(now, t time.Time, d time.Duration) bool {
	return !t.IsZero() && now.Sub(t) <= d
}
