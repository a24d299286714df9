package relay

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// defaultDispatchDelay and defaultDelayDeviation are typical of engines; they are used until a first event of a model has arrived.
	defaultDispatchDelay  = 100 * time.Millisecond
	defaultDelayDeviation = 30 * time.Millisecond
	// delaySmoothing is the weight of a new first event, maxDelayError bounds its deviation from the mean: otherwise a few first events of
	// a group that had stalled briefly would make an entry refuse requests for a long time because none seems to be in time.
	delaySmoothing = 0.05
	maxDelayError  = 100 * time.Millisecond
	// maxDispatchDelay bounds the mean in both directions, minDelayDeviation and maxDelayDeviation bound the deviation.
	maxDispatchDelay  = 200 * time.Millisecond
	minDelayDeviation = 10 * time.Millisecond
	maxDelayDeviation = 60 * time.Millisecond
)

// dispatchDelay is how much later than estimated the first events of a model arrive: the mean, and the mean deviation from it.
type dispatchDelay struct {
	mean      time.Duration
	deviation time.Duration
}

// update adds the delay of one first event.
func (l dispatchDelay) update(sample time.Duration) dispatchDelay {
	sampleError := min(maxDelayError, max(-maxDelayError, sample-l.mean))
	l.mean += time.Duration(delaySmoothing * float64(sampleError))
	l.mean = min(maxDispatchDelay, max(-maxDispatchDelay, l.mean))
	l.deviation += time.Duration(delaySmoothing * float64(sampleError.Abs()-l.deviation))
	l.deviation = min(maxDelayDeviation, max(minDelayDeviation, l.deviation))
	return l
}

// dispatchDelayOf returns the dispatch delay of a model; the mutex is held.
func (s *Relay) dispatchDelayOf(model ident.Model) dispatchDelay {
	if l, ok := s.dispatchDelays[model]; ok {
		return l
	}
	return dispatchDelay{defaultDispatchDelay, defaultDelayDeviation}
}

// learnDispatchDelay learns from the first event of a request with a single attempt; the mutex is held.
func (x *exchange) learnDispatchDelay() {
	if x.expectedFirstEvent == 0 || len(x.attempts) != 1 {
		return
	}
	delay, known := x.firstEventAfter-x.expectedFirstEvent, x.s.dispatchDelayOf(x.model)
	x.s.countsOf(x.queueKey()).firstEvents.Add(delay, known.mean)
	x.s.dispatchDelays[x.model] = known.update(delay)
}
