package relay

// The times to first event that engines publish are estimates; what first events
// take beyond them is learnt. An entry of a large site sees a request for a model
// every few seconds and would learn this within a minute, the site as a whole
// within a second. The estimate therefore combines both averages by the number of
// first events behind them:
//
//	own    decaying count of this entry's first events
//	site   those of all other entries, at most maxSiteDelayWeight
//
// An entry with many requests hence decides by its own average, which shows a
// change first, and one with few by the site's.

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
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
	// initialDelayWeight is the weight of the initial mean in first events. With less, a single first event after a brief stall would
	// replace it.
	initialDelayWeight = 1
	// minSiteDelaySamples is the weight from which the site's average is used: with fewer first events its error is about the deviation.
	minSiteDelaySamples = 8
	// maxSiteDelayWeight is the weight of the site's average in first events: the number of first events that the own average remembers,
	// so that an entry with many more decides by its own.
	maxSiteDelayWeight = 1 / delaySmoothing
	// maxSiteDelayAge is how long the site's average is used after its summary. Delays depend on the engines and change rarely, whereas
	// electing a leader and hearing from all entries again takes seconds.
	maxSiteDelayAge = 10 * time.Second
)

// dispatchDelay is how much later than estimated the first events of a model arrive: the mean, and the mean deviation from it.
type dispatchDelay struct {
	mean      time.Duration
	deviation time.Duration
}

// initialDelay returns the dispatch delay that is assumed until a first event has arrived.
func initialDelay() dispatchDelay {
	return dispatchDelay{defaultDispatchDelay, defaultDelayDeviation}
}

// bounded returns the delay within its bounds.
func (l dispatchDelay) bounded() dispatchDelay {
	return dispatchDelay{
		min(maxDispatchDelay, max(-maxDispatchDelay, l.mean)), min(maxDelayDeviation, max(minDelayDeviation, l.deviation)),
	}
}

// update adds the delay of one first event with that weight.
func (l dispatchDelay) update(sample time.Duration, weight float64) dispatchDelay {
	sampleError := min(maxDelayError, max(-maxDelayError, sample-l.mean))
	// The first samples have a large weight and correct the mean itself; only what then remains of their error is deviation.
	remainingError := (1 + delaySmoothing - weight) * float64(sampleError.Abs())
	l.mean += time.Duration(weight * float64(sampleError))
	l.deviation += time.Duration(weight * (remainingError - float64(l.deviation)))
	return l.bounded()
}

// ownDelay is the average of this entry's first events of a model.
type ownDelay struct {
	dispatchDelay
	// seen counts the first events until the weight of further ones is constant.
	seen float64
	// recent counts the first events and decays with the half-life of the site's average, at a point in time.
	recent float64
	at     time.Time
}

// update adds the delay of one first event.
func (d *ownDelay) update(now time.Time, sample time.Duration) {
	d.dispatchDelay = d.dispatchDelay.update(sample, max(delaySmoothing, 1/(d.seen+initialDelayWeight+1)))
	d.seen = min(d.seen+1, maxSiteDelayWeight)
	d.recent, d.at = d.recentAt(now)+1, now
}

// recentAt returns the decaying count of first events at a time.
func (d *ownDelay) recentAt(now time.Time) float64 {
	return d.recent * siteload.DelayWeight(now.Sub(d.at))
}

// siteDelay is the average of the first events of a model at all entries, as of a summary received at a point in time.
type siteDelay struct {
	siteload.DelaySummary
	receivedAt time.Time
}

// samplesAt returns the weight of the first events behind the average at a time, 0 if it is not to be used.
func (d *siteDelay) samplesAt(now time.Time) float64 {
	if age := now.Sub(d.receivedAt); age <= maxSiteDelayAge {
		return d.Samples * siteload.DelayWeight(age)
	}
	return 0
}

// usable reports whether the average has enough samples; a sum that overflowed has not.
func (d *siteDelay) usable() bool {
	return d.Samples >= minSiteDelaySamples && !math.IsInf(d.Samples, 0)
}

// setSiteDelays replaces the averages of all entries' first events by those of a summary. A summary with fewer samples than what remains
// of an earlier one replaces it only if it has at least as many as are ever weighted: a new leader starts without samples. The mutex is
// held.
func (s *Relay) setSiteDelays(summary *siteload.Summary, now time.Time) {
	for model, known := range s.siteDelays {
		if known.samplesAt(now) == 0 {
			delete(s.siteDelays, model)
		}
	}
	if summary == nil {
		return
	}
	for i := range summary.Queues {
		q := &summary.Queues[i]
		latest := siteDelay{q.Delay, now}
		if q.Key.Model == "" || !latest.usable() {
			continue
		}
		if known, ok := s.siteDelays[q.Key.Model]; !ok || latest.Samples >= min(maxSiteDelayWeight, known.samplesAt(now)) {
			s.siteDelays[q.Key.Model] = latest
		}
	}
}

// dispatchDelayOf returns the dispatch delay of a model; the mutex is held.
func (s *Relay) dispatchDelayOf(model ident.Model, now time.Time) dispatchDelay {
	own, seen := s.dispatchDelays[model]
	if !seen {
		own = ownDelay{dispatchDelay: initialDelay()}
	}
	site, ok := s.siteDelays[model]
	if !ok {
		return own.dispatchDelay
	}
	ownWeight := own.recentAt(now)
	// The site's average includes this entry's first events.
	siteWeight := min(maxSiteDelayWeight, site.samplesAt(now)-ownWeight)
	if siteWeight <= 0 {
		return own.dispatchDelay
	}
	fraction := siteWeight / (siteWeight + ownWeight)
	return dispatchDelay{
		own.mean + time.Duration(fraction*float64(site.Mean-own.mean)),
		own.deviation + time.Duration(fraction*float64(site.Deviation-own.deviation)),
	}.bounded()
}

// learnDispatchDelay learns from the first event of a request with a single attempt; the mutex is held.
func (x *exchange) learnDispatchDelay() {
	if x.expectedFirstEvent == 0 || len(x.attempts) != 1 || x.arrivedAt.Sub(x.s.newEntryAt) < newEntryGrace {
		// Until all entries know each other, the estimate lacks the prompts of some, and all entries would learn their delay after a restart.
		return
	}
	x.s.learnDelay(x.queueKey(), x.firstEventAfter-x.expectedFirstEvent, x.s.Now())
}

// learnDelay adds the delay of one first event to this entry's average and to its report; the mutex is held.
func (s *Relay) learnDelay(key queueKey, delay time.Duration, now time.Time) {
	known := s.dispatchDelayOf(key.model, now)
	own, seen := s.dispatchDelays[key.model]
	if !seen {
		// The first event of a model is learnt from the best that is known, which is the site's average if there is one.
		own = ownDelay{dispatchDelay: known}
	}
	reported := delay
	if _, hasSite := s.siteDelays[key.model]; hasSite || own.seen >= minSiteDelaySamples {
		// A deviation from sums of squares depends on few large errors more than the own one, so they are bounded once the mean is known.
		reported = min(known.mean+maxDelayError, max(known.mean-maxDelayError, delay))
	}
	s.countsOf(key).firstEvents.Add(reported)
	own.update(now, delay)
	s.dispatchDelays[key.model] = own
}
