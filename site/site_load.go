package site

import (
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// loadSummaryTTL is how long the sums of the entries' counts are reused: entries call several times a second.
const loadSummaryTTL = 50 * time.Millisecond

// siteLoad returns the sums of what all entries counted, for the reply to an entry. The result is shared and must not be changed. Lengths
// of answers are only in some of the replies to each entry.
func (r *leadership) siteLoad(now time.Time, entry string) *siteload.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loadSummary == nil || now.Sub(r.loadSummedAt) >= loadSummaryTTL {
		r.loadSummary, r.loadSummedAt = r.load.Summary(now), now
	}
	e := r.entries[entry]
	if e == nil || now.Sub(e.answersSentAt) < answerlen.SummaryInterval {
		return r.loadSummary
	}
	e.answersSentAt = now
	withAnswers := *r.loadSummary
	withAnswers.Answers = r.load.Answers(now)
	return &withAnswers
}
