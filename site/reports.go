package site

// Upstreams report to any control daemon, about once a second each. A daemon that does not lead forwards to the leader,
// in one call, all reports that arrived during its last call: one daemon could not process the reports of thousands of
// upstreams one by one.

import (
	"context"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// maxBatchReports bounds the reports in one call, reportQueueLength those that wait for the next.
	maxBatchReports   = 256
	reportQueueLength = 2048
	// maxDirectReporters is the number of upstreams up to which they are asked to report to the leader directly.
	maxDirectReporters = 600
)

// queuedReport is a report that waits for the leader's confirmation.
type queuedReport struct {
	report *roster.Report
	done   chan forwardResult
}

type forwardResult struct {
	address string
	err     error
}

// reportForwarder forwards the reports that a daemon receives to the leader.
type reportForwarder struct {
	queue chan queuedReport
	// forward makes the call; it returns the address for later reports.
	forward func(ctx context.Context, list []*roster.Report) (string, error)
}

func newReportForwarder(forward func(ctx context.Context, list []*roster.Report) (string, error)) *reportForwarder {
	return &reportForwarder{queue: make(chan queuedReport, reportQueueLength), forward: forward}
}

// submit queues a report and returns once the leader has it.
func (q *reportForwarder) submit(ctx context.Context, report *roster.Report) (string, error) {
	queued := queuedReport{report, make(chan forwardResult, 1)}
	select {
	case q.queue <- queued:
	default:
		return "", result.New(result.Overloaded, "too many reports wait for the leader")
	}
	select {
	case forwarded := <-queued.done:
		return forwarded.address, forwarded.err
	case <-ctx.Done():
		return "", result.Wrap(ctx.Err(), result.DaemonUnreached, "the leader did not confirm the report in time")
	}
}

func (q *reportForwarder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-q.queue:
			q.forwardBatch(ctx, q.batch(first))
		}
	}
}

func (q *reportForwarder) batch(first queuedReport) []queuedReport {
	list := []queuedReport{first}
	for len(list) < maxBatchReports {
		select {
		case queued := <-q.queue:
			list = append(list, queued)
		default:
			return list
		}
	}
	return list
}

func (q *reportForwarder) forwardBatch(ctx context.Context, list []queuedReport) {
	var reports []*roster.Report
	for _, queued := range list {
		reports = append(reports, queued.report)
	}
	address, err := q.forward(ctx, reports)
	for _, queued := range list {
		queued.done <- forwardResult{address, err}
	}
}
