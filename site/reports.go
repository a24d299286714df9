package site

// Upstreams report to any control daemon, about once a second each. A daemon that does not lead forwards to the leader,
// in one call, all reports that arrived during its last call: one daemon could not process the reports of thousands of
// upstreams one by one.

import (
	"context"

	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// maxBatchReports bounds the reports in one call, reportQueueLength those that wait for the next.
	maxBatchReports   = 256
	reportQueueLength = 2048
	// maxDirectReporters is the number of upstreams up to which they are asked to report to the leader directly.
	maxDirectReporters = 600
)

// reportForwarder forwards the reports that a daemon receives to the leader; its results are the address for later
// reports.
type reportForwarder = batcher[*roster.Report, string]

// newReportForwarder returns a forwarder that makes its calls by forward.
func newReportForwarder(forward func(ctx context.Context, list []*roster.Report) (string, error)) *reportForwarder {
	return newBatcher("report", maxBatchReports, reportQueueLength, forward)
}
