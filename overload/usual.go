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
	// usualTrusted is how many more requests must have said the usual time than others before it counts, usualMost bounds
	// that number so that another one can take its place within a second or two.
	usualTrusted = 8
	usualMost    = 64
	// shortPart is the part of the longest time below which one has come back; first tries differ a little among themselves.
	shortPart = 0.75
	// shortMost is the part of the requests that may say so little when nobody is refused, shortSmoothing the weight of a new
	// one in that; longestFades is what the longest time loses with each request.
	shortMost      = 0.05
	shortSmoothing = 0.02
	longestFades   = 0.0005
	// longestTrusted is how many requests must have come until the longest time counts.
	longestTrusted = 8
)

// TypicalWait is the time that the callers of a class say they wait when they come for the first time.
type TypicalWait struct {
	told  time.Duration
	votes int
	// longest is the longest time that was said of late, after so many requests, and short the part that said far less.
	longest  time.Duration
	requests int
	short    float64
}

// PriorElapsed takes the time that a caller says it waits, and returns what it spent on earlier tries as far as that is known. Calm is set
// while no one has been refused for so long that nearly all requests are first tries.
func (u *TypicalWait) PriorElapsed(told time.Duration, calm bool) time.Duration {
	if told <= 0 {
		return 0
	}
	u.vote(told)
	spent := u.belowLongest(told, calm)
	if u.votes >= usualTrusted {
		return max(0, u.told-told)
	}
	return spent
}

// vote counts for or against the time that most say.
func (u *TypicalWait) vote(told time.Duration) {
	switch {
	case told == u.told:
		u.votes = min(usualMost, u.votes+1)
	case u.votes == 0:
		u.told, u.votes = told, 1
	default:
		u.votes--
	}
}

// belowLongest returns how much less a caller says than nearly all first tries do.
func (u *TypicalWait) belowLongest(told time.Duration, calm bool) time.Duration {
	u.requests++
	u.longest = max(told, u.longest-time.Duration(longestFades*float64(u.longest)))
	less := max(0, time.Duration(shortPart*float64(u.longest))-told)
	if calm {
		isShort := 0.0
		if less > 0 {
			isShort = 1
		}
		u.short += shortSmoothing * (isShort - u.short)
	}
	if u.requests < longestTrusted || u.short > shortMost {
		return 0
	}
	return less
}
