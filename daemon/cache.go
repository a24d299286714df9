package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/routing"
)

// The routing record of cached prefixes follows the cache events that engines
// publish. Events arrive late and with gaps. A response that starts after the
// requested event may lack removals, so the engine's whole record is dropped.
// An engine that publishes no events is queried only once in cacheRetryDelay.

const (
	cacheInterval   = 5 * time.Second
	cacheTimeout    = time.Second
	cacheRetryDelay = 30 * time.Second
)

// cacheReader is the read position in one target's cache events.
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
	// The first response starts at the oldest event that the engine keeps; the record is still empty then.
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
