package site

// Entries tell each other of limits that upstreams name by datagrams. The leader
// passes them on as well: an entry that has just started would send an upstream
// what it likes until that tells it, and datagrams may be filtered.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
)

// limitTold is how old the word of an upstream may be that the leader passes on: an entry that has requests there hears it more often,
// and the end of a limit is not told.
const limitTold = 5 * time.Second

// LimitTold is the limit of an upstream, how long ago it said so, and how many entries go by their own parts of it.
type LimitTold struct {
	Rate  ratelimit.Rate
	Age   time.Duration
	Apart int
}

// hearLimits takes what upstreams told an entry of their limits.
func (c *Control) hearLimits(now time.Time, call *SyncCall) {
	for i := range call.Seen {
		// What an entry heard of others is not passed on: the time that it was on its way would make it look younger each time.
		if l := call.Seen[i].Limit; l != nil && l.Own {
			c.limits.Hear(call.Seen[i].ID, l.Rate, now.Add(-l.Said))
		}
	}
}

// limitsTold returns the limits of which the leader has heard lately, and those of which entries take their own parts; nil where there
// are none.
func (r *reign) limitsTold(now time.Time) map[ident.Incarnation]LimitTold {
	words := r.c.limits
	if words.Limited() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[ident.Incarnation]LimitTold{}
	words.Each(func(id ident.Incarnation, w ratelimit.Word) {
		age, apart := now.Sub(w.At), r.apart[id]
		if w.Limited() && (age < limitTold || apart > 0) {
			list[id] = LimitTold{w.Rate, age, apart}
		}
	})
	return list
}

// countApart counts the entries that go by their own parts of limits, by what one saw; the mutex is held.
func (r *reign) countApart(seen *relay.Seen, n int) {
	if seen.Limit == nil || !seen.Limit.Apart {
		return
	}
	r.apart[seen.ID] += n
	if r.apart[seen.ID] <= 0 {
		delete(r.apart, seen.ID)
	}
}

// hearLimits takes what the leader has heard of limits.
func (e *Entry) hearLimits(r *SyncReply) {
	var apart map[ident.Incarnation]int
	for id, l := range r.Limits {
		e.relay.HearLimit(id, l.Rate, l.Age)
		if l.Apart == 0 {
			continue
		}
		if apart == nil {
			apart = map[ident.Incarnation]int{}
		}
		apart[id] = l.Apart
	}
	e.relay.Limits.SetApart(apart)
}
