package answerlen

// A request's answer is estimated from the answers to similar requests, the
// most similar ones first. Each level counts by the number of answers that it has
// beyond those of the level before, and leaves the rest to the next:
//
//	n answers of the class to the customer   n/(n+shrinkWeight)
//	n more answers of the class              n/(n+shrinkWeight) of the rest
//	n more answers of the model              n/(n+shrinkWeight) of the rest
//	the hint, or the typical answer          the rest
//
// Otherwise one answer would count at all three levels. With few answers an estimate therefore differs little from the hint, and a
// customer whose hints are far off is known as soon as it has sent some requests.

import (
	"maps"
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// shrinkWeight is the number of answers at which a level counts as much as all more general ones. Lengths are spread widely: the
	// standard error of the mean of 30 ratios with a spread of 0.7 to 1.6 is a seventh to a half of it.
	shrinkWeight = 30
	// maxSeries bounds the series, reservedSeries those that only series without a customer can use.
	maxSeries      = 512
	reservedSeries = 128
	// minWeight is the number of answers, after decay, below which a series may be dropped; it then counts less than 1% in an estimate.
	minWeight = 0.25
	// dropInterval is how often idle series are searched for while there are too many.
	dropInterval = time.Second
)

// Key identifies similar requests. Without a customer it stands for all of them, without a class for all requests of the model.
type Key struct {
	Class    ident.Class
	Customer ident.Customer
	Model    ident.Model
}

// levels returns the keys from the most specific to the most general.
func (k Key) levels() [3]Key {
	return [3]Key{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
}

// Size is what is known of an answer's length before it is written.
type Size struct {
	// Hint is the caller's estimate, 0 without one; Typical is the length that is assumed without any.
	Hint    ident.Tokens
	Typical ident.Tokens
	// Max is the largest length that the caller or the engine allows, 0 without a bound.
	Max ident.Tokens
}

// prior returns the length that is assumed without any answers.
func (s Size) prior() float64 {
	if s.Hint > 0 {
		return float64(s.Hint)
	}
	return float64(s.Typical)
}

// limit returns the upper bound of the length.
func (s Size) limit() float64 {
	if s.Max > 0 {
		return float64(s.Max)
	}
	return math.Inf(1)
}

// series holds the lengths of the answers to similar requests at a point in time: their ratios to the hints, and their tokens.
type series struct {
	ratio, tokens histogram
	at            time.Time
}

func (l *series) add(now time.Time, tokens, hint ident.Tokens) {
	l.decay(now)
	l.tokens.add(tokenScale, float64(tokens))
	if hint > 0 {
		l.ratio.add(ratioScale, float64(tokens)/float64(hint))
	}
}

func (l *series) decay(now time.Time) {
	f := remaining(now.Sub(l.at))
	l.ratio.decay(f)
	l.tokens.decay(f)
	l.at = now
}

// merge adds the answers of another series; both must have decayed to the same time.
func (l *series) merge(other *series) {
	l.ratio.merge(&other.ratio)
	l.tokens.merge(&other.tokens)
}

// of returns the histogram that applies to a size.
func (l *series) of(size Size) *histogram {
	if size.Hint > 0 {
		return &l.ratio
	}
	return &l.tokens
}

// dropIdle removes the series of which little weight remains.
func dropIdle(all map[Key]*series, now time.Time) {
	maps.DeleteFunc(all, func(_ Key, l *series) bool {
		l.decay(now)
		return l.tokens.total() < minWeight
	})
}

// Estimator holds the lengths of the answers that this entry forwarded, and those of all entries. The zero value is empty; it is not safe
// for concurrent use.
type Estimator struct {
	own map[Key]*series
	// site holds the series of all entries by class and model.
	site map[Key]*series
	// unreported are the answers since the last report, by class and model.
	unreported map[Key]*series
	droppedAt  time.Time
}

// Add counts an answer of that many tokens; hint is what the caller had estimated, 0 if it had not.
func (e *Estimator) Add(now time.Time, key Key, tokens, hint ident.Tokens) {
	if tokens <= 0 {
		return
	}
	if e.own == nil {
		e.own, e.unreported = map[Key]*series{}, map[Key]*series{}
	}
	added := map[Key]bool{}
	for _, level := range key.levels() {
		if added[level] {
			continue
		}
		added[level] = true
		if l := e.seriesOf(now, level); l != nil {
			l.add(now, tokens, hint)
		}
	}
	shared := Key{Class: key.Class, Model: key.Model}
	l := e.unreported[shared]
	if l == nil {
		if len(e.unreported) >= maxShared {
			return
		}
		l = &series{at: now}
		e.unreported[shared] = l
	}
	// Reports hold whole counts, so those of a report do not decay; a report covers less than a second.
	l.at = now
	l.add(now, tokens, hint)
}

// seriesOf returns the series of a key, nil if there are too many.
func (e *Estimator) seriesOf(now time.Time, key Key) *series {
	if l := e.own[key]; l != nil {
		return l
	}
	limit := maxSeries
	if key.Customer != "" {
		limit -= reservedSeries
	}
	if len(e.own) >= limit && now.Sub(e.droppedAt) >= dropInterval {
		e.droppedAt = now
		dropIdle(e.own, now)
	}
	if len(e.own) >= limit {
		return nil
	}
	l := &series{at: now}
	e.own[key] = l
	return l
}

// Series returns the number of series.
func (e *Estimator) Series() int {
	return len(e.own)
}

// level is a histogram with the share that it has in an estimate.
type level struct {
	h     *histogram
	share float64
}

// blend returns the histograms for a key that have answers, the most specific first, and the share that remains for the assumed length.
func (e *Estimator) blend(now time.Time, key Key, size Size) (blended []level, rest float64) {
	rest = 1
	counted := 0.0
	for _, k := range key.levels() {
		l := e.known(now, k)
		if l == nil {
			continue
		}
		h := l.of(size)
		n := h.total() - counted
		if n <= 0 {
			continue
		}
		counted += n
		share := rest * n / (n + shrinkWeight)
		blended = append(blended, level{h, share})
		rest -= share
	}
	return blended, rest
}

// known returns the series of a key: of all entries, or of this one where it knows more, nil if there are no answers.
func (e *Estimator) known(now time.Time, key Key) *series {
	own := e.own[key]
	if own != nil {
		own.decay(now)
	}
	if key.Customer != "" {
		return own
	}
	site := e.siteSeries(now, key)
	if site != nil && (own == nil || site.tokens.total() > own.tokens.total()) {
		return site
	}
	return own
}

// siteSeries returns the series of all entries for a class and model, or for a model, nil if there are no answers.
func (e *Estimator) siteSeries(now time.Time, key Key) *series {
	if key.Class != "" {
		l := e.site[key]
		if l != nil {
			l.decay(now)
		}
		return l
	}
	var sum *series
	for k, l := range e.site {
		if k.Model != key.Model {
			continue
		}
		if sum == nil {
			sum = &series{at: now}
		}
		l.decay(now)
		sum.merge(l)
	}
	return sum
}

// Mean returns the expected tokens of an answer.
func (e *Estimator) Mean(now time.Time, key Key, size Size) ident.Tokens {
	blended, rest := e.blend(now, key, size)
	mean := rest * min(size.limit(), size.prior())
	s, unit := size.scale()
	for _, l := range blended {
		mean += l.share * l.h.cappedMean(s, unit, size.limit())
	}
	return ident.Tokens(math.Round(mean))
}

// Quantile returns the tokens that a fraction of the answers has at most.
func (e *Estimator) Quantile(now time.Time, key Key, size Size, fraction float64) ident.Tokens {
	blended, rest := e.blend(now, key, size)
	if len(blended) == 0 {
		return ident.Tokens(math.Round(min(size.limit(), size.prior())))
	}
	s, unit := size.scale()
	var mixed histogram
	if prior := size.prior(); prior > 0 {
		mixed.counts[s.bucket(prior/unit)] = rest
	}
	for _, l := range blended {
		factor := l.share / l.h.total()
		for i, n := range l.h.counts {
			mixed.counts[i] += n * factor
		}
	}
	return ident.Tokens(math.Round(min(size.limit(), unit*mixed.quantile(s, min(1, max(0, fraction))))))
}

// scale returns the scale on which answers of that size are counted, and the unit of its values.
func (s Size) scale() (*scale, float64) {
	if s.Hint > 0 {
		return ratioScale, float64(s.Hint)
	}
	return tokenScale, 1
}
