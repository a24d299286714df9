package answerlen

// An entry of a large site sees few answers of a class. It reports the counts of
// its answers to the leader, which returns the sums over all entries:
//
//	entry: Estimator.TakeReport -> leader: Sums.Add, Sums.Summary -> entry: Estimator.SetSite
//
// Counts by customer stay at the entries: there are too many for every reply.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// MaxSummaryClasses bounds the classes in one summary, which is sent to every entry every few seconds.
	MaxSummaryClasses = 16
	// maxShared bounds the classes and models that are shared. Classes are configured and models served, so more are a mistake.
	maxShared = 64
	// maxReportedAnswers bounds the answers in one report, many times those of an entry in the time between two.
	maxReportedAnswers = 100_000
	// SummaryInterval is how often an entry needs a summary: lengths change slowly, and a summary has some kilobytes.
	SummaryInterval = 2 * time.Second
)

// Sample holds the lengths of answers to requests of a class for a model.
type Sample struct {
	Class ident.Class
	Model ident.Model
	// Ratio counts the ratios to the callers' hints, Tokens the lengths.
	Ratio  Counts
	Tokens Counts
}

// Counts are the counts of a histogram, rounded, and the mean of the values; without values Buckets is empty.
type Counts struct {
	Buckets []uint32
	Mean    float64
}

// compact returns the counts of a histogram.
func (h *histogram) compact() Counts {
	total := h.total()
	if total < 0.5 {
		return Counts{}
	}
	c := Counts{Buckets: make([]uint32, BucketCount), Mean: h.sum / total}
	for i, n := range h.counts {
		c.Buckets[i] = uint32(math.Round(n))
	}
	return c
}

// expand returns the histogram, false if the counts can't be those of one.
func (c *Counts) expand(s *scale, maxTotal float64) (histogram, bool) {
	h := histogram{}
	if len(c.Buckets) == 0 {
		return h, true
	}
	if len(c.Buckets) != BucketCount || !(c.Mean >= s.edge(0)/2 && c.Mean <= s.edge(BucketCount)*2) {
		return h, false
	}
	for i, n := range c.Buckets {
		h.counts[i] = float64(n)
	}
	total := h.total()
	h.sum = total * c.Mean
	return h, total <= maxTotal
}

// expand returns the series, false if it is not valid.
func (m *Sample) expand(now time.Time, maxTotal float64) (*series, bool) {
	ratio, ratioOK := m.Ratio.expand(ratioScale, maxTotal)
	tokens, tokensOK := m.Tokens.expand(tokenScale, maxTotal)
	return &series{ratio, tokens, now}, ratioOK && tokensOK
}

func (l *series) compact(key Key) Sample {
	return Sample{key.Class, key.Model, l.ratio.compact(), l.tokens.compact()}
}

// compareKeys orders keys by class and model.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model))
}

// TakeReport returns the lengths of the answers since the last call, for the leader.
func (e *Estimator) TakeReport() []Sample {
	var samples []Sample
	for _, key := range slices.SortedFunc(maps.Keys(e.unreported), compareKeys) {
		samples = append(samples, e.unreported[key].compact(key))
	}
	clear(e.unreported)
	return samples
}

// SetSite replaces the lengths that are known of all entries by those of a summary. A new leader starts with few: these replace earlier
// ones only if there are more of them, or enough for an estimate.
func (e *Estimator) SetSite(now time.Time, summary []Sample) {
	dropIdle(e.site, now)
	if e.site == nil {
		e.site = map[Key]*series{}
	}
	for i := range summary {
		key := Key{Class: summary[i].Class, Model: summary[i].Model}
		latest, ok := summary[i].expand(now, math.Inf(1))
		if !ok || latest.tokens.total() <= 0 {
			continue
		}
		known := e.site[key]
		if known == nil && len(e.site) >= maxShared {
			continue
		}
		if known == nil || latest.tokens.total() >= min(known.tokens.total(), enoughAnswers) {
			e.site[key] = latest
		}
	}
}

// enoughAnswers is the number of answers of a class with which the assumed length has less than a tenth of the share.
const enoughAnswers = 10 * shrinkWeight

// Sums holds the lengths of the answers of all entries by class and model. The zero value is empty; it is not safe for concurrent use.
type Sums struct {
	series map[Key]*series
}

// Add adds the lengths that an entry reported; invalid ones are ignored.
func (t *Sums) Add(now time.Time, report []Sample) {
	if t.series == nil {
		t.series = map[Key]*series{}
	}
	for i := range report[:min(len(report), maxShared)] {
		added, ok := report[i].expand(now, maxReportedAnswers)
		if !ok {
			continue
		}
		key := Key{Class: report[i].Class, Model: report[i].Model}
		l := t.series[key]
		if l == nil {
			dropIdle(t.series, now)
			if len(t.series) >= maxShared {
				continue
			}
			l = &series{at: now}
			t.series[key] = l
		}
		l.decay(now)
		l.merge(added)
	}
}

// Summary returns the sums of at most MaxSummaryClasses classes; where there are more, each is returned in turn, and entries keep those of
// earlier summaries.
func (t *Sums) Summary(now time.Time) []Sample {
	known := slices.SortedFunc(maps.Keys(t.series), compareKeys)
	if pages := (len(known) + MaxSummaryClasses - 1) / MaxSummaryClasses; pages > 1 {
		page := int(now.UnixNano() / int64(SummaryInterval) % int64(pages))
		known = known[page*MaxSummaryClasses : min(len(known), (page+1)*MaxSummaryClasses)]
	}
	var samples []Sample
	for _, key := range known {
		l := t.series[key]
		l.decay(now)
		samples = append(samples, l.compact(key))
	}
	return samples
}
