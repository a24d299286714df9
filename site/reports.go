package site

// Upstreams report to any control daemon, about once a second each. One that
// does not lead passes reports on to the leader, all that have come while the
// last call was on its way in one call: one daemon could not take the reports of
// thousands of upstreams one by one.

import (
	"context"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// reportsGathered bounds the reports of one call, reportsWaiting those that wait for the next.
	reportsGathered = 256
	reportsWaiting  = 2048
	// sentOnMost is the number of upstreams up to which they are told to report to the leader itself.
	sentOnMost = 600
)

// passedReport is a report that waits for the leader's confirmation.
type passedReport struct {
	report *roster.Report
	done   chan passedOn
}

type passedOn struct {
	address string
	err     error
}

// reports passes the reports that a daemon takes on to the leader.
type reports struct {
	waiting chan passedReport
	// pass makes the call; it returns the address for later reports.
	pass func(ctx context.Context, list []*roster.Report) (string, error)
}

func newReports(pass func(ctx context.Context, list []*roster.Report) (string, error)) *reports {
	return &reports{waiting: make(chan passedReport, reportsWaiting), pass: pass}
}

// take returns once the leader has the report.
func (q *reports) take(ctx context.Context, r *roster.Report) (string, error) {
	p := passedReport{r, make(chan passedOn, 1)}
	select {
	case q.waiting <- p:
	default:
		return "", result.New(result.Overloaded, "too many reports wait for the leader")
	}
	select {
	case on := <-p.done:
		return on.address, on.err
	case <-ctx.Done():
		return "", result.Wrap(ctx.Err(), result.DaemonUnreached, "the leader did not take the report in time")
	}
}

func (q *reports) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-q.waiting:
			q.passOn(ctx, q.gather(first))
		}
	}
}

func (q *reports) gather(first passedReport) []passedReport {
	list := []passedReport{first}
	for len(list) < reportsGathered {
		select {
		case p := <-q.waiting:
			list = append(list, p)
		default:
			return list
		}
	}
	return list
}

func (q *reports) passOn(ctx context.Context, list []passedReport) {
	var all []*roster.Report
	for _, p := range list {
		all = append(all, p.report)
	}
	address, err := q.pass(ctx, all)
	for _, p := range list {
		p.done <- passedOn{address, err}
	}
}
