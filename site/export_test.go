package site

import (
	"context"

	"github.com/dunlinquay/dunlinquay/roster"
)

// NextMembers lets the external tests drive membership without daemons.
var NextMembers = nextMembers

// Reports is a daemon's queue of reports for the leader.
type Reports struct{ queue *reports }

// NewReports returns a queue that makes its calls by pass.
func NewReports(pass func(ctx context.Context, list []*roster.Report) (string, error)) Reports {
	return Reports{newReports(pass)}
}

// Run passes reports on until ctx ends.
func (r Reports) Run(ctx context.Context) { r.queue.run(ctx) }

// Take returns once the leader has the report.
func (r Reports) Take(ctx context.Context, report *roster.Report) (string, error) {
	return r.queue.take(ctx, report)
}
