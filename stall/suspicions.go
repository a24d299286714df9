package stall

import (
	"maps"
	"math"
	"time"
)

const (
	// suspicionLifetime is how long a suspicion counts: entries waiting for a stalled group suspect it within an iteration or two of
	// each other. Suspicions are not withdrawn when the group works again.
	suspicionLifetime = 300 * time.Millisecond
	// sameIterationSpan is how far apart the events of one iteration reach different entries at most; iterations take 25 ms or more.
	sameIterationSpan = 20 * time.Millisecond
	// suspicionQuorum is the fraction of the entries with requests at a group that must suspect it. It is below 1 because the newest
	// requests have not waited long enough and datagrams can be lost, and not lower because entries behind a lossy link suspect
	// groups that work.
	suspicionQuorum = 0.4
	// minSuspicions is the smallest number: a single entry can have been suspended itself.
	minSuspicions = 2
)

// suspicion is when an entry last reported that a group is overdue, and since when the group had sent it nothing.
type suspicion struct {
	reportedAt  time.Time
	silentSince time.Time
}

// Suspicions holds the entries that suspect one group; K identifies an entry.
type Suspicions[K comparable] struct {
	bySuspecter map[K]suspicion
}

// Add adds or renews the suspicion of an entry to which the group has sent nothing since silentSince.
func (d *Suspicions[K]) Add(now, silentSince time.Time, suspecter K) {
	if d.bySuspecter == nil {
		d.bySuspecter = map[K]suspicion{}
	}
	d.bySuspecter[suspecter] = suspicion{now, silentSince}
}

// Clear drops all suspicions.
func (d *Suspicions[K]) Clear() {
	clear(d.bySuspecter)
}

// Refute drops the suspicions that are older than progress of the group seen by another entry, and reports whether there were any.
func (d *Suspicions[K]) Refute(progressAt time.Time) bool {
	before := len(d.bySuspecter)
	maps.DeleteFunc(d.bySuspecter, func(_ K, s suspicion) bool { return InLaterIteration(progressAt, s.silentSince) })
	return len(d.bySuspecter) < before
}

// InLaterIteration reports whether an event that one entry received belongs to a later iteration than the one that ended, for another
// entry, at iterationEnd.
func InLaterIteration(eventAt, iterationEnd time.Time) bool {
	return eventAt.Sub(iterationEnd) > sameIterationSpan
}

// Count returns how many entries suspect the group now.
func (d *Suspicions[K]) Count(now time.Time) int {
	maps.DeleteFunc(d.bySuspecter, func(_ K, s suspicion) bool { return now.Sub(s.reportedAt) > suspicionLifetime })
	return len(d.bySuspecter)
}

// RequiredSuspicions returns how many entries must suspect a group, with that many requests from that many entries, until it counts as
// stalled.
func RequiredSuspicions(requests, entries int) int {
	if entries <= 1 || requests <= 0 {
		return minSuspicions
	}
	// Requests are distributed at random, so some entries have several.
	waiting := float64(entries) * (1 - math.Pow(1-1/float64(entries), float64(requests)))
	return max(minSuspicions, int(math.Ceil(suspicionQuorum*waiting)))
}
