package overload

// Callers announce how long they will wait. A caller that retries announces less
// than at its first attempt, by the time that has elapsed since. Where all
// callers of a class wait for the same time, the difference is known:
//
//	6000 6000 5710 6000 4630 6000   -> 0 0 290 0 1370 0 ms elapsed before
//
// Where the announced times differ, a caller that announces far less than the
// longest is taken to be retrying, unless many announce so little while no
// request is refused:
//
//	5130 5870 5520 5990 3480 5210   -> 0 0 0 0 1010 0 ms at least
//
// A single caller that announces more does not make all others appear to retry,
// and the many retries of an overload do not count as first attempts of callers
// that wait for less.

import "time"

const (
	// minVotes is how many more requests must have announced the typical time than other times before it is used. maxVotes bounds
	// that number, so that a new typical time replaces it within a second or two.
	minVotes = 8
	maxVotes = 64
	// shortWaitFraction is the fraction of the longest time below which a caller is taken to be retrying.
	shortWaitFraction = 0.75
	// maxShortShare is the largest share of short times, while no request is refused, with which short times still indicate retries;
	// shortShareWeight is the weight of a new request in that share. longestDecay is the fraction that the longest time loses per request.
	maxShortShare    = 0.05
	shortShareWeight = 0.02
	longestDecay     = 0.0005
	// minRequests is how many requests must have arrived before the longest time is used.
	minRequests = 8
)

// TypicalWait is the time that the callers of a class announce at their first attempts.
type TypicalWait struct {
	announced time.Duration
	votes     int
	// longest is the longest time announced recently, requests the number of requests so far, and shortShare the share of them that
	// announced far less.
	longest    time.Duration
	requests   int
	shortShare float64
}

// PriorElapsed counts the time that a caller announces, and returns the time elapsed on its earlier attempts, 0 where that is not known.
// The parameter noRefusals is set when the last refusal was so long ago that nearly all requests are first attempts.
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

// vote counts for or against the present typical time.
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

// shortOfLongest returns how much the announced time is below the times of nearly all first attempts.
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
