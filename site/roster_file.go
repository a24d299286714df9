package site

// If all control daemons restarted at once, routing would stop until every upstream had reported again. Each control
// daemon therefore saves its newest copy of the roster in its data folder. After a start the saved roster may be
// outdated, so it is used like a follower's copy: entries may use its upstreams, and no decision is made on an upstream
// before its report. Quarantine reports are saved as well; without them the next request with such a fingerprint could
// crash three more upstreams.

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	rosterFileName = "roster"
	// rosterSaveInterval is the shortest time between two writes; the roster changes every few seconds, as groups lose
	// members.
	rosterSaveInterval = 700 * time.Millisecond
)

// savedRoster is the content of the file.
type savedRoster struct {
	Upstreams []roster.Upstream `cbor:"1,keyasint"`
	Groups    []roster.Group    `cbor:"2,keyasint"`
	// Held are the quarantine reports.
	Held []quarantine.Report `cbor:"3,keyasint,omitempty"`
}

// saveRosterLoop saves the roster and the quarantine reports when either has changed.
func (c *Control) saveRosterLoop(ctx context.Context) {
	var written roster.Revision
	var leadership LeadershipID
	var writtenDigest uint64
	for ctx.Err() == nil {
		sleep(ctx, rosterSaveInterval)
		current, snapshot := c.newestRoster()
		quarantineDigest := c.quarantine.Digest(clock.Now())
		if snapshot == nil || current == leadership && snapshot.Revision == written && quarantineDigest == writtenDigest {
			continue
		}
		if err := c.saveRoster(snapshot); err != nil {
			c.Log.Error(err, "roster not saved, a restart will wait for reports", "code", int(result.CodeOf(err)))
			continue
		}
		leadership, written, writtenDigest = current, snapshot.Revision, quarantineDigest
	}
}

// newestRoster returns the roster of this daemon as leader, or else its copy.
func (c *Control) newestRoster() (LeadershipID, *roster.Delta) {
	if r := c.leadership.Load(); r != nil {
		snapshot := r.roster.Since(0)
		return r.name, &snapshot
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copyConfirmedAt.IsZero() {
		return "", nil
	}
	snapshot := c.rosterCopy.FullDelta()
	return c.copyLeadership, &snapshot
}

func (c *Control) saveRoster(snapshot *roster.Delta) error {
	content, err := cbor.Marshal(savedRoster{snapshot.Upstreams, snapshot.Groups, c.keptReports(clock.Now())})
	if err != nil {
		return err
	}
	return c.folder.WriteFile(rosterFileName, content)
}

// loadRoster reads the roster saved by the last run; a file that can't be read is ignored.
func (c *Control) loadRoster() {
	content, err := c.folder.ReadFile(rosterFileName)
	if err != nil || content == nil {
		return
	}
	var saved savedRoster
	if err := cbor.Unmarshal(content, &saved); err != nil {
		c.Log.Error(err, "saved roster cannot be decoded")
		return
	}
	c.applyQuarantine(clock.Now(), saved.Held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterCopy.Apply(&roster.Delta{Full: true, Upstreams: saved.Upstreams, Groups: saved.Groups})
	c.copyFromDisk = true
	c.Log.Info("saved roster loaded", "upstreams", len(saved.Upstreams), "groups", len(saved.Groups), "held", len(saved.Held))
}
