package park

// Constructors in this project start their goroutines as closures, but a
// goroutine must not read exported fields before the caller has set them. A
// Group solves that: Go starts the goroutine at once, and the closure waits
// until Run releases the group.
//
//	n := &Node{}
//	n.tasks.Go(n.loop) // parked
//	n.Send = send      // fields are set
//	n.Run(ctx)         // loop starts, Run returns after it has ended

import (
	"context"
	"sync"
)

// Group is a set of parked goroutines; the zero value is not usable, see New.
type Group struct {
	release chan struct{}
	once    sync.Once
	ctx     context.Context
	wg      sync.WaitGroup
}

// New returns an empty group.
func New() *Group {
	return &Group{release: make(chan struct{})}
}

// Go starts fn in a goroutine that waits for Run and then receives Run's context.
func (g *Group) Go(fn func(ctx context.Context)) {
	g.wg.Go(func() {
		<-g.release
		if g.ctx != nil {
			fn(g.ctx)
		}
	})
}

// Run releases the goroutines with ctx and returns when all of them have ended; a second call only waits.
func (g *Group) Run(ctx context.Context) {
	g.once.Do(func() {
		g.ctx = ctx
		close(g.release)
	})
	g.wg.Wait()
}

// Discard ends the parked goroutines of a group that will never run.
func (g *Group) Discard() {
	g.once.Do(func() { close(g.release) })
	g.wg.Wait()
}
