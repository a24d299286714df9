package answerlen

// Answer lengths and their ratios to the caller's hints are spread over orders of
// magnitude, with a few long ones that make up much of the sum. They are counted
// on a logarithmic scale, which keeps the tail in bounded memory:
//
//	ratio    1/16  1/12.7 ... 1  1.26 ... 12.7  16     8 octaves
//	tokens   1     1.6    ...                   65536  16 octaves
//
// The mean of the counted values is kept too, since all answers of a class may
// have one length within a bucket.

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of buckets of a histogram.
	BucketCount = 24
	// halfLife is the half-life of the counts: long enough for some hundred answers of a class with a few per second, which a mean of
	// widely spread lengths needs, and short enough to follow a customer that changes what it asks for.
	halfLife = 2 * time.Minute
	// minLength is the shortest and maxLength the longest answer that is told apart.
	minLength = 1
	maxLength = 1 << 16
	// maxRatio is the largest ratio to a hint that is told apart, its inverse the smallest.
	maxRatio = 16
)

// scale divides the range between two values into buckets of equal ratio.
type scale struct {
	// low is the binary logarithm of the lower edge of the first bucket, width that of the ratio of a bucket's edges.
	low, width float64
	// middles are the geometric middles of the buckets.
	middles [BucketCount]float64
}

var (
	ratioScale = newScale(1.0/maxRatio, maxRatio)
	tokenScale = newScale(minLength, maxLength)
)

func newScale(low, high float64) *scale {
	s := &scale{low: math.Log2(low), width: math.Log2(high/low) / BucketCount}
	for i := range s.middles {
		s.middles[i] = s.edge(float64(i) + 0.5)
	}
	return s
}

// clamp returns the nearest value in the range of the scale.
func (s *scale) clamp(value float64) float64 {
	return min(s.edge(BucketCount), max(s.edge(0), value))
}

// bucket returns the bucket of a value.
func (s *scale) bucket(value float64) int {
	return min(BucketCount-1, max(0, int((math.Log2(value)-s.low)/s.width)))
}

// edge returns the value at a position, where i is the lower edge of bucket i.
func (s *scale) edge(i float64) float64 {
	return math.Exp2(s.low + i*s.width)
}

// histogram holds decayed counts of values, and their sum.
type histogram struct {
	counts [BucketCount]float64
	sum    float64
}

// add counts a value.
func (h *histogram) add(s *scale, value float64) {
	value = s.clamp(value)
	h.counts[s.bucket(value)]++
	h.sum += value
}

// decay multiplies all counts by a factor.
func (h *histogram) decay(factor float64) {
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.sum *= factor
}

// merge adds the counts of another histogram.
func (h *histogram) merge(other *histogram) {
	for i := range h.counts {
		h.counts[i] += other.counts[i]
	}
	h.sum += other.sum
}

// total returns the number of values, after decay.
func (h *histogram) total() float64 {
	total := 0.0
	for _, n := range h.counts {
		total += n
	}
	return total
}

// shift is the factor by which the values of the buckets differ from the middles on average, at most half a bucket's ratio.
func (h *histogram) shift(s *scale) float64 {
	middles := 0.0
	for i, n := range h.counts {
		middles += n * s.middles[i]
	}
	if middles <= 0 {
		return 1
	}
	bound := math.Exp2(s.width / 2)
	return min(bound, max(1/bound, h.sum/middles))
}

// cappedMean returns the mean of the values times unit, each at most limit.
func (h *histogram) cappedMean(s *scale, unit, limit float64) float64 {
	total, sum, shift := 0.0, 0.0, h.shift(s)
	for i, n := range h.counts {
		total += n
		sum += n * min(limit, unit*shift*s.middles[i])
	}
	if total <= 0 {
		return 0
	}
	return sum / total
}

// quantile returns the value that a fraction of the values is at most.
func (h *histogram) quantile(s *scale, fraction float64) float64 {
	rest := fraction * h.total()
	last := 0
	for i, n := range h.counts {
		if n <= 0 {
			continue
		}
		if rest <= n {
			return s.edge(float64(i) + max(0, rest)/n)
		}
		rest -= n
		last = i
	}
	return s.edge(float64(last) + 1)
}

// remaining returns the fraction of a count that remains after a time.
func remaining(elapsed time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}
