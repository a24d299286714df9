package site

import (
	"context"

	"github.com/dunlinquay/dunlinquay/result"
)

// batcher handles items in batches: those that arrive while one batch is handled form the next.
type batcher[T, R any] struct {
	queue chan batchItem[T, R]
	// handle handles a batch; its result applies to each item.
	handle   func(ctx context.Context, items []T) (R, error)
	maxItems int
	// itemName names an item in errors.
	itemName string
}

// batchItem is an item that waits for its batch to be handled.
type batchItem[T, R any] struct {
	value T
	done  chan batchResult[R]
}

type batchResult[R any] struct {
	value R
	err   error
}

func newBatcher[T, R any](itemName string, maxItems, queueLength int, handle func(ctx context.Context, items []T) (R, error)) *batcher[T, R] {
	return &batcher[T, R]{queue: make(chan batchItem[T, R], queueLength), handle: handle, maxItems: maxItems, itemName: itemName}
}

// submit queues an item and returns the result of its batch.
func (b *batcher[T, R]) submit(ctx context.Context, value T) (R, error) {
	var none R
	item := batchItem[T, R]{value, make(chan batchResult[R], 1)}
	select {
	case b.queue <- item:
	default:
		return none, result.New(result.Overloaded, "too many items wait: %s", b.itemName)
	}
	select {
	case handled := <-item.done:
		return handled.value, handled.err
	case <-ctx.Done():
		return none, result.Wrap(ctx.Err(), result.DaemonUnreached, "not confirmed in time: %s", b.itemName)
	}
}

func (b *batcher[T, R]) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			b.handleBatch(ctx, b.nextBatch(first))
		}
	}
}

func (b *batcher[T, R]) nextBatch(first batchItem[T, R]) []batchItem[T, R] {
	batch := []batchItem[T, R]{first}
	for len(batch) < b.maxItems {
		select {
		case item := <-b.queue:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

func (b *batcher[T, R]) handleBatch(ctx context.Context, batch []batchItem[T, R]) {
	values := make([]T, 0, len(batch))
	for _, item := range batch {
		values = append(values, item.value)
	}
	value, err := b.handle(ctx, values)
	for _, item := range batch {
		item.done <- batchResult[R]{value, err}
	}
}
