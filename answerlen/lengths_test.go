package answerlen_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Guards against lengths that operators cannot interpret: one class shown for another, a ratio of answers without hints, and answers of
// long ago that still count.
func TestLengths(t *testing.T) {
	e := &answerlen.Estimator{}
	addMany(e, answerlen.Key{Class: "chat", Customer: "office", Model: "m"}, 95, 100, 50)
	addMany(e, answerlen.Key{Class: "chat", Customer: "press", Model: "m"}, 5, 1000, 500)
	addMany(e, answerlen.Key{Class: "batch", Customer: "office", Model: "m"}, 10, 30, 0)
	sums := &answerlen.Sums{}
	sums.Add(startTime, e.TakeReport())
	want := []answerlen.Lengths{
		{Class: "batch", Model: "m", Answers: 10, Mean: 30, Median: 30, Long: 30},
		{Class: "chat", Model: "m", Answers: 100, Mean: 145, Median: 100, Long: 100, Ratio: 2},
	}
	// The quantiles are exact to the ratio of a bucket's edges.
	approximate := cmpopts.EquateApprox(0.4, 0.01)
	if diff := cmp.Diff(want, sums.Lengths(startTime), approximate); diff != "" {
		t.Errorf("lengths (-want +got):\n%s", diff)
	}
	if got := sums.Lengths(startTime.Add(time.Hour)); len(got) != 0 {
		t.Errorf("%+v is shown an hour after the last answer", got)
	}
}

// Guards against a list without the classes that one summary to an entry has no place for.
func TestLengthsOfAllClasses(t *testing.T) {
	e := &answerlen.Estimator{}
	const classes = 2 * answerlen.MaxSummaryClasses
	for i := range classes {
		addMany(e, answerlen.Key{Class: ident.Class("class-" + strconv.Itoa(i)), Model: "m"}, 3, 100, 0)
	}
	sums := &answerlen.Sums{}
	sums.Add(startTime, e.TakeReport())
	if got := len(sums.Lengths(startTime)); got != classes {
		t.Errorf("%d classes, want %d", got, classes)
	}
}
