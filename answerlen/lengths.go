package answerlen

import (
	"maps"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Lengths describes the answers of all entries to requests of a class for a model.
type Lengths struct {
	Class ident.Class
	Model ident.Model
	// Answers is the number of answers, after decay.
	Answers float64
	// Mean, Median and Long are in tokens; nine of ten answers are at most as long as Long.
	Mean   float64
	Median float64
	Long   float64
	// Ratio is the mean ratio of the lengths to the callers' hints, 0 without hints.
	Ratio float64
}

// longFraction is the fraction of the answers that Lengths.Long bounds.
const longFraction = 0.9

// Lengths returns the lengths of all classes, sorted.
func (t *Sums) Lengths(now time.Time) []Lengths {
	var lengths []Lengths
	for _, key := range slices.SortedFunc(maps.Keys(t.series), compareKeys) {
		l := t.series[key]
		l.decay(now)
		if l.tokens.total() < minWeight {
			continue
		}
		described := Lengths{Class: key.Class, Model: key.Model, Answers: l.tokens.total()}
		described.Mean = l.tokens.sum / described.Answers
		described.Median, described.Long = l.tokens.quantile(tokenScale, 0.5), l.tokens.quantile(tokenScale, longFraction)
		if hinted := l.ratio.total(); hinted >= minWeight {
			described.Ratio = l.ratio.sum / hinted
		}
		lengths = append(lengths, described)
	}
	return lengths
}
