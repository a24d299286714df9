package site

import (
	"time"

	"github.com/dunlinquay/dunlinquay/siteload"
)

// loadSummaryTTL is how long the sums of the entries' counts are reused: entries call several times a second.
const loadSummaryTTL = 50 * time.Millisecond

// siteLoad returns the sums of what all entries counted. The result is shared and must not be changed.
func (r *leadership) siteLoad(now time.Time) *siteload.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loadSummary == nil || now.Sub(r.loadSummedAt) >= loadSummaryTTL {
		r.loadSummary, r.loadSummedAt = r.load.Summary(now), now
	}
	return r.loadSummary
}
