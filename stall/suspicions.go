package stall

import (
	"maps"
	"math"
	"time"
)

const (
	// suspectFor is how long a suspicion counts: those who wait for a group that has stopped suspect it within a pass or two of each
	// other. One who sees the group work again does not say so.
	suspectFor = 300 * time.Millisecond
	// samePass is how far apart the events of one pass reach different entries at most: passes take 25 ms and more.
	samePass = 20 * time.Millisecond
	// witnessPart is the part of the entries with requests at a group that must suspect it. Its newest requests have not waited
	// for long, and a datagram may be lost; where one link loses packets only those behind it suspect.
	witnessPart = 0.4
	// fewestWitnesses is the least number: one alone may be the one that has stopped.
	fewestWitnesses = 2
)

// suspicion is when someone last said that a group is overdue, and since when it was silent for them.
type suspicion struct {
	at    time.Time
	since time.Time
}

// Suspicions are those who wait for a sign of a group that is overdue; K tells them apart.
type Suspicions[K comparable] struct {
	by map[K]suspicion
}

// Add takes the suspicion of one to whom the group has been silent since a time.
func (d *Suspicions[K]) Add(now, since time.Time, who K) {
	if d.by == nil {
		d.by = map[K]suspicion{}
	}
	d.by[who] = suspicion{now, since}
}

// Clear forgets all suspicions, as after a sign of the group.
func (d *Suspicions[K]) Clear() {
	clear(d.by)
}

// Refute takes a sign that the group gave someone else at a time, and reports whether that was after the silence of any began.
func (d *Suspicions[K]) Refute(at time.Time) bool {
	before := len(d.by)
	maps.DeleteFunc(d.by, func(_ K, o suspicion) bool { return InLaterIteration(at, o.since) })
	return len(d.by) < before
}

// InLaterIteration reports whether a sign that one got at a time belongs to a later pass than the last one of another, which ended at since.
func InLaterIteration(at, since time.Time) bool {
	return at.Sub(since) > samePass
}

// Count returns how many suspect the group now.
func (d *Suspicions[K]) Count(now time.Time) int {
	maps.DeleteFunc(d.by, func(_ K, o suspicion) bool { return now.Sub(o.at) > suspectFor })
	return len(d.by)
}

// RequiredSuspicions returns how many must suspect a group with so many requests of so many entries until it stands still for certain.
func RequiredSuspicions(requests, entries int) int {
	if entries <= 1 || requests <= 0 {
		return fewestWitnesses
	}
	// Requests fall on entries by chance, so some have several.
	waiting := float64(entries) * (1 - math.Pow(1-1/float64(entries), float64(requests)))
	return max(fewestWitnesses, int(math.Ceil(witnessPart*waiting)))
}
