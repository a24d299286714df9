package park

// Constructors in this project create their goroutines, but a goroutine must
// not read exported fields before the caller has set them. Go of a Group
// therefore starts a goroutine that waits for Run before it calls its function.
//
//	n := &Node{}
//	n.tasks.Go(n.loop) // the goroutine waits
//	n.Send = send      // fields are set
//	n.tasks.Run(ctx)   // calls loop; returns after loop has returned

import (
	"context"
	"sync"
)

// Group is a set of goroutines that wait for Run; the zero value is not usable, see New.
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

// Go starts a goroutine that waits for Run and then calls fn with Run's context.
func (g *Group) Go(fn func(ctx context.Context)) {
	g.wg.Go(func() {
		<-g.release
		if g.ctx != nil {
			fn(g.ctx)
		}
	})
}

// Run makes the goroutines call their functions with ctx and returns when all have ended; a second call only waits.
func (g *Group) Run(ctx context.Context) {
	g.once.Do(func() {
		g.ctx = ctx
		close(g.release)
	})
	g.wg.Wait()
}

// Discard ends the goroutines of a group that will never run, without calling their functions.
func (g *Group) Discard() {
	g.once.Do(func() { close(g.release) })
	g.wg.Wait()
}
