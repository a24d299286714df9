package site

// Entries tell each other of limits that upstreams name by datagrams. The leader
// passes them on as well: an entry that has just started would send an upstream
// what it likes until that tells it, and datagrams may be filtered.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// limitTold is how old the word of an upstream may be that the leader passes on: an entry that has requests there hears it more often,
// and the end of a limit is not told.
const limitTold = 5 * time.Second

// LimitTold is the limit of an upstream and how long ago it said so.
type LimitTold struct {
	Rate ratelimit.Rate
	Age  time.Duration
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

// limitsTold returns the limits of which the leader has heard lately, nil where there are none.
func (c *Control) limitsTold(now time.Time) map[ident.Incarnation]LimitTold {
	if c.limits.Limited() == 0 {
		return nil
	}
	list := map[ident.Incarnation]LimitTold{}
	c.limits.Each(func(id ident.Incarnation, w ratelimit.Word) {
		if age := now.Sub(w.At); w.Limited() && age < limitTold {
			list[id] = LimitTold{w.Rate, age}
		}
	})
	return list
}

// hearLimits takes what the leader has heard of limits.
func (e *Entry) hearLimits(r *SyncReply) {
	for id, l := range r.Limits {
		e.relay.HearLimit(id, l.Rate, l.Age)
	}
}
