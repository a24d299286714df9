package answerlen_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/ident"
)

var (
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key       = answerlen.Key{Class: "chat", Customer: "office", Model: "m"}
)

// addMany counts n answers of that length.
func addMany(e *answerlen.Estimator, k answerlen.Key, n int, tokens, hint ident.Tokens) {
	for range n {
		e.Add(startTime, k, tokens, hint)
	}
}

// within reports whether got is at most a fraction off want.
func within(got, want ident.Tokens, fraction float64) bool {
	return math.Abs(float64(got-want)) <= fraction*float64(want)
}

// Guards against estimates that are not corrected by what was written, and against ones that change with the first answer.
func TestMean(t *testing.T) {
	for _, tt := range []struct {
		name    string
		answers func(e *answerlen.Estimator)
		size    answerlen.Size
		want    ident.Tokens
	}{
		{"nothing is known", func(*answerlen.Estimator) {}, answerlen.Size{Hint: 100, Typical: 300}, 100},
		{"nothing is known, no hint", func(*answerlen.Estimator) {}, answerlen.Size{Typical: 300}, 300},
		{"nothing is known, a hint above the maximum", func(*answerlen.Estimator) {}, answerlen.Size{Hint: 100, Max: 80}, 80},
		{"answers twice as long as hinted", func(e *answerlen.Estimator) { addMany(e, key, 1000, 100, 50) }, answerlen.Size{Hint: 200}, 400},
		{"answers twice as long as hinted, bounded", func(e *answerlen.Estimator) { addMany(e, key, 1000, 100, 50) }, answerlen.Size{Hint: 200, Max: 250}, 250},
		{"one answer", func(e *answerlen.Estimator) { addMany(e, key, 1, 800, 50) }, answerlen.Size{Hint: 100}, 148},
		{"answers of one length, no hint", func(e *answerlen.Estimator) { addMany(e, key, 1000, 125, 0) }, answerlen.Size{Typical: 400}, 133},
		{"answers without hints do not correct hints", func(e *answerlen.Estimator) { addMany(e, key, 1000, 125, 0) }, answerlen.Size{Hint: 40}, 40},
		{"another customer of the class", func(e *answerlen.Estimator) {
			addMany(e, answerlen.Key{Class: "chat", Customer: "other", Model: "m"}, 1000, 300, 100)
		}, answerlen.Size{Hint: 100}, 300},
		{"another class of the model", func(e *answerlen.Estimator) {
			addMany(e, answerlen.Key{Class: "batch", Customer: "other", Model: "m"}, 1000, 300, 100)
		}, answerlen.Size{Hint: 100}, 300},
		{"another model", func(e *answerlen.Estimator) {
			addMany(e, answerlen.Key{Class: "chat", Customer: "office", Model: "n"}, 1000, 300, 100)
		}, answerlen.Size{Hint: 100}, 100},
		{"the customer differs from its class", func(e *answerlen.Estimator) {
			addMany(e, answerlen.Key{Class: "chat", Customer: "other", Model: "m"}, 1000, 300, 100)
			addMany(e, key, 1000, 50, 100)
		}, answerlen.Size{Hint: 100}, 53},
		{"an answer without tokens", func(e *answerlen.Estimator) { addMany(e, key, 1000, 0, 100) }, answerlen.Size{Hint: 100}, 100},
		{"ratios beyond the scale", func(e *answerlen.Estimator) { addMany(e, key, 100_000, 10_000, 1) }, answerlen.Size{Hint: 10}, 160},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := &answerlen.Estimator{}
			tt.answers(e)
			if got := e.Mean(startTime, key, tt.size); !within(got, tt.want, 0.05) {
				t.Errorf("expected %d tokens, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a mean that leaves out the few long answers, and against one above what a caller's maximum allows.
func TestSpreadLengths(t *testing.T) {
	const hint, maximum = 100, 400
	random := rand.New(rand.NewPCG(1, 1))
	e := &answerlen.Estimator{}
	sum, bounded, n := 0.0, 0.0, 0
	var below [3]int
	quantiles := []float64{0.1, 0.5, 0.9}
	var want []ident.Tokens
	for _, z := range []float64{-1.2816, 0, 1.2816} {
		want = append(want, ident.Tokens(hint*math.Exp(0.7*z)))
	}
	for range 20_000 {
		tokens := math.Max(1, math.Round(hint*math.Exp(0.7*random.NormFloat64())))
		e.Add(startTime, key, ident.Tokens(tokens), hint)
		sum, bounded, n = sum+tokens, bounded+math.Min(maximum, tokens), n+1
		for i := range want {
			if ident.Tokens(tokens) <= want[i] {
				below[i]++
			}
		}
	}
	if got, want := e.Mean(startTime, key, answerlen.Size{Hint: hint}), ident.Tokens(sum/float64(n)); !within(got, want, 0.03) {
		t.Errorf("mean %d tokens, want %d", got, want)
	}
	if got, want := e.Mean(startTime, key, answerlen.Size{Hint: hint, Max: maximum}), ident.Tokens(bounded/float64(n)); !within(got, want, 0.03) {
		t.Errorf("mean %d tokens of answers of at most %d, want %d", got, maximum, want)
	}
	for i, q := range quantiles {
		if got := e.Quantile(startTime, key, answerlen.Size{Hint: hint}, q); !within(got, want[i], 0.1) {
			t.Errorf("quantile %v is %d tokens, want %d (%d of %d answers are shorter)", q, got, want[i], below[i], n)
		}
	}
}

// Guards against counts that last for ever: a customer that changes what it asks for must be known again.
func TestOldAnswersDecay(t *testing.T) {
	e := &answerlen.Estimator{}
	addMany(e, key, 500, 400, 100)
	later := startTime.Add(30 * time.Minute)
	if got := e.Mean(later, key, answerlen.Size{Hint: 100}); !within(got, 100, 0.1) {
		t.Errorf("expected %d tokens 30 minutes after the last answer, want about the hint of 100", got)
	}
}

// Guards against memory that grows with the number of customers, and against estimates that are lost when there are too many.
func TestSeriesAreBounded(t *testing.T) {
	e := &answerlen.Estimator{}
	for i := range 3000 {
		e.Add(startTime, answerlen.Key{Class: "chat", Customer: ident.Customer(strconv.Itoa(i)), Model: "m"}, 300, 100)
	}
	if got := e.Series(); got > 512 {
		t.Errorf("%d series, want at most 512", got)
	}
	last := answerlen.Key{Class: "chat", Customer: "2999", Model: "m"}
	if got := e.Mean(startTime, last, answerlen.Size{Hint: 100}); !within(got, 300, 0.05) {
		t.Errorf("expected %d tokens for a customer without a series, want 300", got)
	}
	e.Add(startTime.Add(time.Hour), answerlen.Key{Class: "chat", Customer: "new", Model: "m"}, 300, 100)
	if got := e.Series(); got > 10 {
		t.Errorf("%d series an hour after the last answer of all but one customer, want few", got)
	}
}

// report takes the report of an entry as the leader receives it.
func report(k answerlen.Key, n int, tokens, hint ident.Tokens) []answerlen.Sample {
	e := &answerlen.Estimator{}
	addMany(e, k, n, tokens, hint)
	return e.TakeReport()
}

// Guards against an entry with few requests of a class that knows only its own few answers.
func TestEntriesShareLengths(t *testing.T) {
	sums := &answerlen.Sums{}
	var entries []*answerlen.Estimator
	for range 74 {
		e := &answerlen.Estimator{}
		addMany(e, key, 3, 250, 100)
		sums.Add(startTime, e.TakeReport())
		entries = append(entries, e)
	}
	alone := entries[0].Mean(startTime, key, answerlen.Size{Hint: 100})
	summary := sums.Summary(startTime)
	for _, e := range append(entries, &answerlen.Estimator{}) {
		e.SetSite(startTime, summary)
		if got := e.Mean(startTime, key, answerlen.Size{Hint: 100}); !within(got, 250, 0.1) {
			t.Errorf("expected %d tokens, %d without the other entries, want 250", got, alone)
		}
	}
	if got := entries[0].TakeReport(); len(got) != 0 {
		t.Errorf("%d classes are reported twice", len(got))
	}
}

// Guards against a leader that has just started making entries forget the lengths.
func TestSummaryOfANewLeader(t *testing.T) {
	e := &answerlen.Estimator{}
	set := func(samples []answerlen.Sample) ident.Tokens {
		sums := &answerlen.Sums{}
		sums.Add(startTime, samples)
		e.SetSite(startTime, sums.Summary(startTime))
		return e.Mean(startTime, answerlen.Key{Class: "chat", Model: "m"}, answerlen.Size{Hint: 100})
	}
	k := answerlen.Key{Class: "chat", Model: "m"}
	first := set(report(k, 5000, 200, 100))
	got := []bool{
		set(nil) == first, set(report(k, 10, 800, 100)) == first, within(set(report(k, 400, 800, 100)), 760, 0.05),
	}
	if diff := cmp.Diff([]bool{true, true, true}, got); diff != "" {
		t.Errorf("kept after an empty summary, kept after 10 answers, replaced after 400 (-want +got):\n%s", diff)
	}
}

// Guards against counts of a faulty peer that spoil the estimates of all entries, or exhaust memory.
func TestInvalidSamplesAreIgnored(t *testing.T) {
	valid := report(key, 300, 200, 100)
	change := func(f func(s *answerlen.Sample)) []answerlen.Sample {
		s := report(key, 300, 200, 100)
		f(&s[0])
		return s
	}
	var many []answerlen.Sample
	for i := range 1000 {
		many = append(many, report(answerlen.Key{Class: ident.Class(strconv.Itoa(i)), Model: "n"}, 1, 1, 1)...)
	}
	for _, tt := range []struct {
		name   string
		report []answerlen.Sample
	}{
		{"too few buckets", change(func(s *answerlen.Sample) { s.Ratio.Buckets = s.Ratio.Buckets[:5] })},
		{"too many buckets", change(func(s *answerlen.Sample) { s.Ratio.Buckets = make([]uint32, 1000) })},
		{"too many answers", change(func(s *answerlen.Sample) { s.Ratio.Buckets[20] = 1 << 30 })},
		{"a mean that is not a number", change(func(s *answerlen.Sample) { s.Ratio.Mean = math.NaN() })},
		{"an infinite mean", change(func(s *answerlen.Sample) { s.Ratio.Mean = math.Inf(1) })},
		{"a negative mean", change(func(s *answerlen.Sample) { s.Ratio.Mean = -1 })},
		{"a mean above all buckets", change(func(s *answerlen.Sample) { s.Tokens.Mean = 1e9 })},
		{"too many classes", many},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sums := &answerlen.Sums{}
			sums.Add(startTime, valid)
			sums.Add(startTime, tt.report)
			e := &answerlen.Estimator{}
			summary := sums.Summary(startTime)
			if len(summary) > answerlen.MaxSummaryClasses {
				t.Errorf("a summary with %d classes, want at most %d", len(summary), answerlen.MaxSummaryClasses)
			}
			for page := range 8 {
				e.SetSite(startTime, sums.Summary(startTime.Add(time.Duration(page)*answerlen.SummaryInterval)))
			}
			if got := e.Mean(startTime, key, answerlen.Size{Hint: 100}); !within(got, 200, 0.2) {
				t.Errorf("expected %d tokens, want 200", got)
			}
		})
	}
}

// Guards against rare classes that never are in a summary because there are more classes than it holds.
func TestAllClassesAreSummarizedInTurn(t *testing.T) {
	sums, e := &answerlen.Sums{}, &answerlen.Estimator{}
	const classes = 40
	for i := range classes {
		sums.Add(startTime, report(answerlen.Key{Class: ident.Class(strconv.Itoa(i)), Model: "m"}, 300, 300, 100))
	}
	for page := range 3 {
		now := startTime.Add(time.Duration(page) * answerlen.SummaryInterval)
		e.SetSite(now, sums.Summary(now))
	}
	for i := range classes {
		k := answerlen.Key{Class: ident.Class(strconv.Itoa(i)), Customer: "office", Model: "m"}
		if got := e.Mean(startTime, k, answerlen.Size{Hint: 100}); !within(got, 300, 0.1) {
			t.Errorf("expected %d tokens of class %d, want 300", got, i)
		}
	}
}

// For all answers, an estimate is within the caller's maximum and the range of the scale, quantiles rise with the fraction, and the sums at
// the leader give the estimate of an entry that saw all answers.
func TestEstimatesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, sums := &answerlen.Estimator{}, &answerlen.Sums{}
		entries := []*answerlen.Estimator{{}, {}, {}}
		now := startTime
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			k := answerlen.Key{Class: rapid.SampledFrom([]ident.Class{"a", "b"}).Draw(t, "class"), Model: "m"}
			tokens := ident.Tokens(rapid.IntRange(-5, 1<<18).Draw(t, "tokens"))
			hint := ident.Tokens(rapid.IntRange(0, 2000).Draw(t, "hint"))
			all.Add(now, k, tokens, hint)
			entries[rapid.IntRange(0, 2).Draw(t, "entry")].Add(now, k, tokens, hint)
		}
		for _, e := range entries {
			sums.Add(now, e.TakeReport())
		}
		shared := &answerlen.Estimator{}
		shared.SetSite(now, sums.Summary(now))
		k := answerlen.Key{Class: "a", Model: "m"}
		size := answerlen.Size{
			Hint: ident.Tokens(rapid.IntRange(0, 2000).Draw(t, "size")), Typical: 100, Max: ident.Tokens(rapid.IntRange(1, 4000).Draw(t, "maximum")),
		}
		mean := all.Mean(now, k, size)
		if mean < 0 || mean > size.Max {
			t.Fatalf("mean %d, want 0 to %d", mean, size.Max)
		}
		if got := shared.Mean(now, k, size); !within(got, max(1, mean), 0.01) && (got-mean)*(got-mean) > 1 {
			t.Fatalf("mean %d by the sums of the leader, want %d", got, mean)
		}
		previous := ident.Tokens(0)
		for _, q := range []float64{0, 0.1, 0.5, 0.9, 1} {
			got := all.Quantile(now, k, size, q)
			if got < previous || got > size.Max {
				t.Fatalf("quantile %v is %d, want %d to %d", q, got, previous, size.Max)
			}
			previous = got
		}
	})
}

func BenchmarkMean(b *testing.B) {
	e, sums := &answerlen.Estimator{}, &answerlen.Sums{}
	for i := range 3 {
		k := answerlen.Key{Class: ident.Class(strconv.Itoa(i)), Customer: "office", Model: "m"}
		addMany(e, k, 300, 200, 100)
		sums.Add(startTime, report(k, 3000, 200, 100))
	}
	e.SetSite(startTime, sums.Summary(startTime))
	b.ReportAllocs()
	now := startTime
	for b.Loop() {
		now = now.Add(time.Millisecond)
		e.Mean(now, answerlen.Key{Class: "1", Customer: "office", Model: "m"}, answerlen.Size{Hint: 100})
	}
}
