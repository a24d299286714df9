package site

// An upstream that has announced its shutdown gets no new requests. It may not repeat the announcement: a sign-off is its
// last message, and an upstream that is cut off from control cannot report. The leader therefore writes each announcement
// to the log before it is acknowledged; its roster is in memory only. Announcements that arrive during a write share the
// next log entry, so that the cost of a whole hall that shuts down is a few entries.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// maxBatchDepartures bounds the changes in one log entry, departureQueueLength those that wait for the next.
	maxBatchDepartures   = 256
	departureQueueLength = 2048
	// departureRetention is how long a departure is kept after the leader's roster has dropped its upstream; reports
	// arrive at most seconds late.
	departureRetention = 2 * time.Minute
	// departureExpiryInterval is how often the leader looks for departures to remove.
	departureExpiryInterval = time.Second
)

// departureLog writes departures to the log.
type departureLog = batcher[*catalog.DepartureChange, struct{}]

func (c *Control) newDepartureLog() *departureLog {
	return newBatcher("departure", maxBatchDepartures, departureQueueLength, c.proposeDepartures)
}

// recordDepartures returns once a majority has the departures on disk.
func (c *Control) recordDepartures(ctx context.Context, list ...catalog.Departure) error {
	var added []catalog.Departure
	for _, d := range list {
		if !c.stateMachine.HasDeparture(d) {
			added = append(added, d)
		}
	}
	if len(added) == 0 {
		return nil
	}
	_, err := c.departures.submit(ctx, &catalog.DepartureChange{Added: added})
	return err
}

// proposeDepartures writes changes to the log as one entry.
func (c *Control) proposeDepartures(ctx context.Context, changes []*catalog.DepartureChange) (struct{}, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	startedAt := clock.Now()
	var merged catalog.DepartureChange
	for _, change := range changes {
		merged.Added = append(merged.Added, change.Added...)
		merged.Removed = append(merged.Removed, change.Removed...)
	}
	data, err := catalog.EncodeDepartures(&merged)
	if err != nil {
		return struct{}{}, result.Wrap(err, result.ChangeInvalid, "departures cannot be encoded")
	}
	_, index, err := c.node.Propose(ctx, data)
	c.Log.Info("departures proposed", "added", merged.Added, "removed", len(merged.Removed), "index", index, "bytes", len(data),
		"took-ms", clock.Since(startedAt).Milliseconds(), "code", int(result.CodeOf(err)))
	return struct{}{}, err
}

// signOff applies an upstream's sign-off, as leader.
func (c *Control) signOff(ctx context.Context, r *leadership, id ident.Incarnation) error {
	id = r.roster.SignOff(clock.Now(), id)
	return c.recordDepartures(ctx, catalog.Departure{ID: id, SignedOff: true})
}

// recordDraining records the upstreams that announce their shutdown in reports, as leader.
func (c *Control) recordDraining(ctx context.Context, reports []*roster.Report) error {
	var list []catalog.Departure
	for _, report := range reports {
		if report.Draining {
			list = append(list, catalog.Departure{ID: report.ID})
		}
	}
	return c.recordDepartures(ctx, list...)
}

// departureExpiry finds departures whose upstreams have ended.
type departureExpiry struct {
	checkedAt time.Time
	// absentSince is when each upstream was first missing in the roster.
	absentSince map[ident.Incarnation]time.Time
}

// due reports whether it is time to look for expired departures.
func (e *departureExpiry) due(now time.Time) bool {
	return now.Sub(e.checkedAt) >= departureExpiryInterval
}

// expired returns the departures to remove. One whose removal fails is returned again after another retention time.
func (e *departureExpiry) expired(now time.Time, departures []catalog.Departure, r *roster.Roster) []ident.Incarnation {
	e.checkedAt = now
	absentSince := map[ident.Incarnation]time.Time{}
	var expired []ident.Incarnation
	for _, d := range departures {
		if _, present := r.Upstream(d.ID); present {
			continue
		}
		since, known := e.absentSince[d.ID]
		if !known {
			since = now
		}
		if now.Sub(since) >= departureRetention {
			expired = append(expired, d.ID)
			since = now
		}
		absentSince[d.ID] = since
	}
	e.absentSince = absentSince
	return expired
}

// expireDepartures removes the departures of upstreams that have ended, in the background.
func (r *leadership) expireDepartures(now time.Time) {
	if !r.departureExpiry.due(now) {
		return
	}
	expired := r.departureExpiry.expired(now, r.control.stateMachine.Departures(), r.roster)
	if len(expired) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		// proposeDepartures logs the result.
		_, _ = r.control.departures.submit(ctx, &catalog.DepartureChange{Removed: expired})
	}()
}
