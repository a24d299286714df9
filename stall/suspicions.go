package stall

import (
	"maps"
	"math"
	"time"
)

const (
	// suspicionLifetime is how long a suspicion counts: those who wait for a group that has stopped suspect it within a pass or two of each
	// other. One who sees the group work again does not say so.
	suspicionLifetime = 300 * time.Millisecond
	// sameIterationSpan is how far apart the events of one pass reach different entries at most: passes take 25 ms and more.
	sameIterationSpan = 20 * time.Millisecond
	// suspicionQuorum is the part of the entries with requests at a group that must suspect it. Its newest requests have not waited
	// for long, and a datagram may be lost; where one link loses packets only those behind it suspect.
	suspicionQuorum = 0.4
	// minSuspicions is the least number: one alone may be the one that has stopped.
	minSuspicions = 2
)

// suspicion is when someone last said that a group is overdue, and since when it was silent for them.
type suspicion struct {
	reportedAt  time.Time
	silentSince time.Time
}

// Suspicions are those who wait for a sign of a group that is overdue; K tells them apart.
type Suspicions[K comparable] struct {
	bySuspecter map[K]suspicion
}

// Add takes the suspicion of one to whom the group has been silent since a time.
func (d *Suspicions[K]) Add(now, silentSince time.Time, suspecter K) {
	if d.bySuspecter == nil {
		d.bySuspecter = map[K]suspicion{}
	}
	d.bySuspecter[suspecter] = suspicion{now, silentSince}
}

// Clear forgets all suspicions, as after a sign of the group.
func (d *Suspicions[K]) Clear() {
	clear(d.bySuspecter)
}

// Refute takes a sign that the group gave someone else at a time, and reports whether that was after the silence of any began.
func (d *Suspicions[K]) Refute(progressAt time.Time) bool {
	before := len(d.bySuspecter)
	maps.DeleteFunc(d.bySuspecter, func(_ K, s suspicion) bool { return InLaterIteration(progressAt, s.silentSince) })
	return len(d.bySuspecter) < before
}

// InLaterIteration reports whether a sign that one got at a time belongs to a later pass than the last one of another, which ended at since.
func InLaterIteration(eventAt, iterationEnd time.Time) bool {
	return eventAt.Sub(iterationEnd) > sameIterationSpan
}

// Count returns how many suspect the group now.
func (d *Suspicions[K]) Count(now time.Time) int {
	maps.DeleteFunc(d.bySuspecter, func(_ K, s suspicion) bool { return now.Sub(s.reportedAt) > suspicionLifetime })
	return len(d.bySuspecter)
}

// RequiredSuspicions returns how many must suspect a group with so many requests of so many entries until it stands still for certain.
func RequiredSuspicions(requests, entries int) int {
	if entries <= 1 || requests <= 0 {
		return minSuspicions
	}
	// Requests fall on entries by chance, so some have several.
	waiting := float64(entries) * (1 - math.Pow(1-1/float64(entries), float64(requests)))
	return max(minSuspicions, int(math.Ceil(suspicionQuorum*waiting)))
}
