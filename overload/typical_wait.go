package overload

// Callers say how long they wait. One that comes back says less than it did
// before, by what it has spent already. Where the callers of a class all wait
// for the same time, that shows by how much:
//
//	6000 6000 5710 6000 4630 6000   -> 0 0 290 0 1370 0 ms were spent before
//
// Where they differ, one that says far less than the longest has come back,
// unless many say so little while nobody is refused:
//
//	5130 5870 5520 5990 3480 5210   -> 0 0 0 0 1010 0 ms at least
//
// Neither a single caller that says more makes all others look as if they came
// back, nor do callers who come back in a flood count as those who wait less.

import "time"

const (
	// minVotes is how many more requests must have said the usual time than others before it counts, maxVotes bounds
	// that number so that another one can take its place within a second or two.
	minVotes = 8
	maxVotes = 64
	// shortWaitFraction is the part of the longest time below which one has come back; first tries differ a little among themselves.
	shortWaitFraction = 0.75
	// maxShortShare is the part of the requests that may say so little when nobody is refused, shortShareWeight the weight of a new
	// one in that; longestDecay is what the longest time loses with each request.
	maxShortShare    = 0.05
	shortShareWeight = 0.02
	longestDecay     = 0.0005
	// minRequests is how many requests must have come until the longest time counts.
	minRequests = 8
)

// TypicalWait is the time that the callers of a class say they wait when they come for the first time.
type TypicalWait struct {
	announced time.Duration
	votes     int
	// longest is the longest time that was said of late, after so many requests, and short the part that said far less.
	longest    time.Duration
	requests   int
	shortShare float64
}

// PriorElapsed takes the time that a caller says it waits, and returns what it spent on earlier tries as far as that is known. Calm is set
// while no one has been refused for so long that nearly all requests are first tries.
func (u *TypicalWait) PriorElapsed(announced time.Duration, noRefusals bool) time.Duration {
	if announced <= 0 {
		return 0
	}
	u.vote(announced)
	belowLongest := u.shortOfLongest(announced, noRefusals)
	if u.votes >= minVotes {
		return max(0, u.announced-announced)
	}
	return belowLongest
}

// vote counts for or against the time that most say.
func (u *TypicalWait) vote(announced time.Duration) {
	switch {
	case announced == u.announced:
		u.votes = min(maxVotes, u.votes+1)
	case u.votes == 0:
		u.announced, u.votes = announced, 1
	default:
		u.votes--
	}
}

// shortOfLongest returns how much less a caller says than nearly all first tries do.
func (u *TypicalWait) shortOfLongest(announced time.Duration, noRefusals bool) time.Duration {
	u.requests++
	u.longest = max(announced, u.longest-time.Duration(longestDecay*float64(u.longest)))
	missing := max(0, time.Duration(shortWaitFraction*float64(u.longest))-announced)
	if noRefusals {
		isShort := 0.0
		if missing > 0 {
			isShort = 1
		}
		u.shortShare += shortShareWeight * (isShort - u.shortShare)
	}
	if u.requests < minRequests || u.shortShare > maxShortShare {
		return 0
	}
	return missing
}
