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
	memoryName = "roster"
	// memoryInterval is the least time between two writes; members of groups are lost every few seconds.
	memoryInterval = 700 * time.Millisecond
)

// remembered is what the file holds.
type remembered struct {
	Upstreams []roster.Upstream `cbor:"1,keyasint"`
	Groups    []roster.Group    `cbor:"2,keyasint"`
	// Held are the works that were held.
	Held []quarantine.Report `cbor:"3,keyasint,omitempty"`
}

// rememberLoop writes the roster when it has changed, or works have come to be held.
func (c *Control) rememberLoop(ctx context.Context) {
	var written roster.Revision
	var leadership LeadershipID
	var sum uint64
	for ctx.Err() == nil {
		pause(ctx, memoryInterval)
		name, d := c.newestRoster()
		held := c.held.Digest(clock.Now())
		if d == nil || name == leadership && d.Revision == written && held == sum {
			continue
		}
		if err := c.remember(d); err != nil {
			c.Log.Error(err, "roster not written, a restart will wait for reports", "code", int(result.CodeOf(err)))
			continue
		}
		leadership, written, sum = name, d.Revision, held
	}
}

// newestRoster returns what this daemon leads by, or its copy.
func (c *Control) newestRoster() (LeadershipID, *roster.Delta) {
	if r := c.leadership.Load(); r != nil {
		d := r.roster.Since(0)
		return r.name, &d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copiedAt.IsZero() {
		return "", nil
	}
	d := c.copied.FullDelta()
	return c.copiedOf, &d
}

func (c *Control) remember(d *roster.Delta) error {
	held := c.held.Quarantined(clock.Now())
	content, err := cbor.Marshal(remembered{d.Upstreams, d.Groups, held[:min(len(held), heldKept)]})
	if err != nil {
		return err
	}
	return c.folder.WriteFile(memoryName, content)
}

// recall reads the roster of the last life; a file that can't be read is as good as none.
func (c *Control) recall() {
	content, err := c.folder.ReadFile(memoryName)
	if err != nil || content == nil {
		return
	}
	var m remembered
	if err := cbor.Unmarshal(content, &m); err != nil {
		c.Log.Error(err, "remembered roster cannot be read")
		return
	}
	c.applyQuarantine(clock.Now(), m.Held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copied.Apply(&roster.Delta{Full: true, Upstreams: m.Upstreams, Groups: m.Groups})
	c.recalled = true
	c.Log.Info("roster of the last life read", "upstreams", len(m.Upstreams), "groups", len(m.Groups), "held", len(m.Held))
}
