package forecast

import "math"

const (
	// changeSignificance is how many standard errors the mean of the newest steps must differ from the level before them to count as a
	// change: windows of several lengths are tested in each step, and a false change in an hour of steady demand is acceptable.
	changeSignificance = 4.1
	// minChangeRequests is how many requests a window must have for a change: the mean of fewer, of sizes that differ tenfold, is far off
	// more often than its standard error says, and a forecast from it is worse than the average.
	minChangeRequests = 100
	// settledSignificance is the difference in standard errors below which an average has followed the change, minSettledSteps the least
	// time that this takes: the quick average may be right by chance before the slow one is.
	settledSignificance = 1.5
	minSettledSteps     = 24
	// minChangeSteps and maxChangeSteps bound the window in which a change is searched.
	minChangeSteps = 2
	maxChangeSteps = 10
	// refineSteps is how many steps after it was found the beginning of a change is searched again.
	refineSteps = 4
	// maxLevelSteps bounds the window of the level since the change, so that it follows what comes later. Later changes are compared with
	// a window of maxReferenceSteps, which has less noise.
	maxLevelSteps     = 12
	maxReferenceSteps = 40
	// minReferenceSteps is the least length of that window.
	minReferenceSteps = 4
	// selectionBias is the fraction of a change, times the square of its standard errors, that is left out: the window of the largest
	// difference is used, which exaggerates it.
	selectionBias = 2.0
	// changeTolerance is how much larger than the average's the squared error of the level since a change may have been so far: where
	// changes are short, following them is worse than the average.
	changeTolerance = 1.2
)

// change is the newest significant change of the level.
type change struct {
	active bool
	// since is the first step after the change, detected the step at which it was found.
	since    int
	detected int
	before   reference
	level    float64
}

// reference is a level that the newest steps are compared with, the mean number of requests in a step, and the number of steps.
type reference struct {
	level    float64
	requests float64
	steps    float64
}

// window sums the known steps from step first to the newest.
func (s *Series) window(first, end int) (mean, requests float64, known int) {
	for i := first; i < end; i++ {
		if p := s.at(i); p.Known {
			mean += p.Rate
			requests += p.Requests
			known++
		}
	}
	if known > 0 {
		mean /= float64(known)
	}
	return mean, requests, known
}

// updateChange looks for a change within the newest steps, and ends the present one once the average has followed it.
func (s *Series) updateChange() {
	c := &s.change
	if !s.newest().Known {
		return
	}
	found, ok := s.findChange()
	switch {
	case ok:
		*c = found
	case !c.active:
		return
	case s.count-1-c.detected <= refineSteps:
		s.refine(c)
	}
	first := max(c.since, s.count-maxLevelSteps)
	c.level, _, _ = s.window(first, s.count)
	if z := s.significance(first, &c.before); z > 0 {
		c.level = c.before.level + (c.level-c.before.level)*max(0, 1-selectionBias/(z*z))
	}
	if ok {
		s.trend = trend{started: true, level: c.level}
	}
	if s.count-c.since >= minSettledSteps && s.averagesFollowed() {
		c.active = false
	}
}

// averagesFollowed reports whether the averages have reached the level since the change, and the newest steps show no other one.
func (s *Series) averagesFollowed() bool {
	end := s.count - targetSteps
	level, requests, _ := s.window(max(s.change.since, end-maxLevelSteps), end)
	newest, newestRequests, known := s.window(end, s.count)
	tolerance := settledSignificance * math.Sqrt(sampleVariance(level, requests))
	newestTolerance := settledSignificance * math.Sqrt(sampleVariance(newest, newestRequests))
	return known > 0 && math.Abs(newest-level) < newestTolerance &&
		math.Abs(s.newest().Average-level) < tolerance && math.Abs(s.slow.mean()-level) < tolerance
}

// findChange returns the most significant change within the newest steps.
func (s *Series) findChange() (c change, ok bool) {
	best := changeSignificance
	for n := minChangeSteps; n <= maxChangeSteps; n++ {
		first := s.count - n
		before, valid := s.reference(first)
		if !valid {
			continue
		}
		if z := s.significance(first, &before); z > best {
			best, c, ok = z, change{active: true, since: first, detected: s.count - 1, before: before}, true
		}
	}
	return c, ok
}

// refine moves the first step after a new change to where the newest steps differ most from the level before it: a change that is found
// early has steps from before it in its window.
func (s *Series) refine(c *change) {
	best := 0.0
	for first := max(c.since, s.count-maxChangeSteps); first <= s.count-minChangeSteps; first++ {
		if z := s.significance(first, &c.before); z > best {
			best, c.since = z, first
		}
	}
}

// significance returns by how many standard errors the mean of the steps from first on differs from the level before.
func (s *Series) significance(first int, before *reference) float64 {
	mean, _, known := s.window(first, s.count)
	// If nothing had changed, the window would have this many requests.
	expected := before.requests * float64(known)
	if known < minChangeSteps || expected < minChangeRequests || before.level <= 0 {
		return 0
	}
	return math.Abs(mean-before.level) / math.Sqrt(sampleVariance(before.level, expected)*(1+float64(known)/before.steps))
}

// reference returns the level before a step: the mean of a few seconds, but not from before the present change.
func (s *Series) reference(first int) (before reference, ok bool) {
	begin := max(s.change.since, s.oldest(), first-maxReferenceSteps)
	level, requests, known := s.window(begin, max(begin, first))
	steps := float64(max(1, known))
	return reference{level, requests / steps, steps}, known >= minReferenceSteps
}

// changeUnjudged reports whether no forecast that was made after the change was found can be judged yet.
func (s *Series) changeUnjudged() bool {
	return s.forecastFor(s.count-1) <= s.change.detected
}

// changeAllowed reports whether following changes was not worse than the average so far, apart from sampling noise.
func (s *Series) changeAllowed() bool {
	changed, average := &s.errors[Change], &s.errors[Average]
	return s.unknown <= maxUnknownSteps && changed.mean() <= changeTolerance*average.mean()+keptUnexplained*s.noise.mean()
}
