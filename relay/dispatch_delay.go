package relay

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// defaultDispatchDelay is what a first word takes beyond the passes of the estimate until it has been measured: what engines
	// usually need. defaultDelayDeviation is how far first words are off that.
	defaultDispatchDelay  = 100 * time.Millisecond
	defaultDelayDeviation = 30 * time.Millisecond
	// delaySmoothing is the weight of a new first word in what is known, maxDelayError how far off it may be taken to be: without
	// that a few first words of a group that stood still for a moment make an entry believe for long that nothing can be in time,
	// and refuse what others take.
	delaySmoothing = 0.05
	maxDelayError  = 100 * time.Millisecond
	// maxDispatchDelay, minDelayDeviation and maxDelayDeviation bound them.
	maxDispatchDelay  = 200 * time.Millisecond
	minDelayDeviation = 10 * time.Millisecond
	maxDelayDeviation = 60 * time.Millisecond
)

// dispatchDelay is what first words of a model take beyond the estimate: the average, and how far they are off it on average.
type dispatchDelay struct {
	mean      time.Duration
	deviation time.Duration
}

// update takes how long a first word took beyond the estimate.
func (l dispatchDelay) update(sample time.Duration) dispatchDelay {
	sampleError := min(maxDelayError, max(-maxDelayError, sample-l.mean))
	l.mean += time.Duration(delaySmoothing * float64(sampleError))
	l.mean = min(maxDispatchDelay, max(-maxDispatchDelay, l.mean))
	l.deviation += time.Duration(delaySmoothing * float64(sampleError.Abs()-l.deviation))
	l.deviation = min(maxDelayDeviation, max(minDelayDeviation, l.deviation))
	return l
}

// dispatchDelayOf returns what first words of a model take beyond the estimate; the mutex is held.
func (s *Relay) dispatchDelayOf(model ident.Model) dispatchDelay {
	if l, ok := s.dispatchDelays[model]; ok {
		return l
	}
	return dispatchDelay{defaultDispatchDelay, defaultDelayDeviation}
}

// learnDispatchDelay takes the first word of the first try of a request; the mutex is held.
func (x *exchange) learnDispatchDelay() {
	if x.expectedFirstEvent == 0 || len(x.attempts) != 1 {
		return
	}
	x.s.dispatchDelays[x.model] = x.s.dispatchDelayOf(x.model).update(x.firstEventAfter - x.expectedFirstEvent)
}
