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
	cacheInterval   = 5 * time.Second
	cacheTimeout    = time.Second
	cacheRetryDelay = 30 * time.Second
)

// cacheReader is where one target's events have been read to.
type cacheReader struct {
	nextEvent uint64
	retryAt   time.Time
}

func (d *Daemon) cacheLoop(ctx context.Context) {
	readers := map[*routing.Target]*cacheReader{}
	runEvery(ctx, cacheInterval, func() {
		current := map[*routing.Target]*cacheReader{}
		var wg sync.WaitGroup
		for _, model := range d.applied.models() {
			for _, target := range d.routes.Targets(model) {
				reader := readers[target]
				if reader == nil {
					reader = &cacheReader{nextEvent: 1}
				}
				current[target] = reader
				wg.Go(func() { d.readCache(ctx, target, reader) })
			}
		}
		wg.Wait()
		readers = current
	})
}

func (d *Daemon) readCache(ctx context.Context, target *routing.Target, reader *cacheReader) {
	if d.now().Before(reader.retryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := d.engineClient.Events(ctx, target.Head, reader.nextEvent)
	if err != nil {
		reader.retryAt = d.now().Add(cacheRetryDelay)
		return
	}
	// The first answer begins wherever the engine's memory does; there is nothing to void yet.
	if events.First > reader.nextEvent && reader.nextEvent > 1 {
		d.routes.Record.Invalidate(target)
	}
	for _, e := range events.Events {
		if e.Removed {
			d.routes.Record.Removed(target, e.Prefix)
		} else {
			d.routes.Record.Stored(target, e.Prefix)
		}
	}
	reader.nextEvent = events.First + uint64(len(events.Events))
}
