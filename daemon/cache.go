package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/routing"
)

// cacheEvents keeps the routing record in step with what engines publish of
// their prefix caches. Events come late and with gaps; an answer that begins
// later than asked for hides removals, and voids what was believed of that
// engine. An engine that publishes nothing costs one refused call in a while.

const (
	cacheInterval = 5 * time.Second
	cacheTimeout  = time.Second
	cacheRest     = 30 * time.Second
)

// cacheReader is where one target's events have been read to.
type cacheReader struct {
	next uint64
	rest time.Time
}

func (d *Daemon) cacheLoop(ctx context.Context) {
	readers := map[*routing.Target]*cacheReader{}
	every(ctx, cacheInterval, func() {
		present := map[*routing.Target]*cacheReader{}
		var wg sync.WaitGroup
		for _, model := range d.view.models() {
			for _, t := range d.routes.Targets(model) {
				r := readers[t]
				if r == nil {
					r = &cacheReader{next: 1}
				}
				present[t] = r
				wg.Go(func() { d.readCache(ctx, t, r) })
			}
		}
		wg.Wait()
		readers = present
	})
}

func (d *Daemon) readCache(ctx context.Context, t *routing.Target, r *cacheReader) {
	if d.now().Before(r.rest) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := d.engines.Events(ctx, t.Head, r.next)
	if err != nil {
		r.rest = d.now().Add(cacheRest)
		return
	}
	// The first answer begins wherever the engine's memory does; there is nothing to void yet.
	if events.First > r.next && r.next > 1 {
		d.routes.Record.Invalidate(t)
	}
	for _, e := range events.Events {
		if e.Removed {
			d.routes.Record.Removed(t, e.Prefix)
		} else {
			d.routes.Record.Stored(t, e.Prefix)
		}
	}
	r.next = events.First + uint64(len(events.Events))
}
