package site

// A daemon that restarts together with all others would wait for the reports
// of every upstream before it could route again. Each control daemon therefore
// keeps its newest copy of the roster in its data folder. What it reads there
// after a start may be old, so it is used like the copy of a follower: entries
// may try it, and nothing is decided on an upstream until it has reported. Work
// that is held stands there too, or its next request would end three more.

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
	// rosterSaveInterval is the least time between two writes; members of groups are lost every few seconds.
	rosterSaveInterval = 700 * time.Millisecond
)

// savedRoster is what the file holds.
type savedRoster struct {
	Upstreams []roster.Upstream `cbor:"1,keyasint"`
	Groups    []roster.Group    `cbor:"2,keyasint"`
	// Held are the works that were held.
	Held []quarantine.Report `cbor:"3,keyasint,omitempty"`
}

// saveRosterLoop writes the roster when it has changed, or works have come to be held.
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
			c.Log.Error(err, "roster not written, a restart will wait for reports", "code", int(result.CodeOf(err)))
			continue
		}
		leadership, written, writtenDigest = current, snapshot.Revision, quarantineDigest
	}
}

// newestRoster returns what this daemon leads by, or its copy.
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
	reports := c.quarantine.Quarantined(clock.Now())
	content, err := cbor.Marshal(savedRoster{snapshot.Upstreams, snapshot.Groups, reports[:min(len(reports), maxSavedReports)]})
	if err != nil {
		return err
	}
	return c.folder.WriteFile(rosterFileName, content)
}

// loadRoster reads the roster of the last life; a file that can't be read is as good as none.
func (c *Control) loadRoster() {
	content, err := c.folder.ReadFile(rosterFileName)
	if err != nil || content == nil {
		return
	}
	var saved savedRoster
	if err := cbor.Unmarshal(content, &saved); err != nil {
		c.Log.Error(err, "remembered roster cannot be read")
		return
	}
	c.applyQuarantine(clock.Now(), saved.Held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterCopy.Apply(&roster.Delta{Full: true, Upstreams: saved.Upstreams, Groups: saved.Groups})
	c.copyFromDisk = true
	c.Log.Info("roster of the last life read", "upstreams", len(saved.Upstreams), "groups", len(saved.Groups), "held", len(saved.Held))
}
