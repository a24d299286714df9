package inbound

// A request can be read long after its client has given it up: it stays in a
// socket while this process is suspended, or is retransmitted once a partition has
// healed. What bounds its age from above is what this process did before:
//
//	no connection waits to be accepted -> the client connects -> it sends a request
//	an answer is written -> the client reads it -> it sends the next request
//
// The time at which a connection is accepted is no such bound, since the kernel
// completes handshakes while the process is suspended.

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dunlinquay/dunlinquay/clock"
)

// backlogCheckInterval is how often a tracked listener is checked for connections that wait to be accepted.
const backlogCheckInterval = 10 * time.Millisecond

// Arrival says when the client of a request connected, and when it sent the request, at the earliest.
type Arrival struct {
	Client      string
	OpenedAfter time.Time
	SentAfter   time.Time
}

type arrivalKey struct{}

// WithArrival returns a context of a request with that arrival.
func WithArrival(ctx context.Context, a Arrival) context.Context {
	return context.WithValue(ctx, arrivalKey{}, func() Arrival { return a })
}

// ArrivalOf returns the arrival of the request with that context; ok is false if the server does not track arrivals.
func ArrivalOf(ctx context.Context) (a Arrival, ok bool) {
	arrival, ok := ctx.Value(arrivalKey{}).(func() Arrival)
	if !ok {
		return Arrival{}, false
	}
	return arrival(), true
}

// withConn lets ArrivalOf find the connection of a request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok || !c.tracked {
		return ctx
	}
	return context.WithValue(ctx, arrivalKey{}, c.arrival)
}

// arrival returns the arrival of the request that is being served.
func (c *callerConn) arrival() Arrival {
	a := Arrival{Client: c.RemoteAddr().String(), OpenedAfter: c.openedAfter, SentAfter: c.openedAfter}
	if c.answeredAt != nil {
		a.SentAfter = *c.answeredAt
	}
	return a
}

// backlog knows when no connection was waiting to be accepted, zero if there was always one.
type backlog struct {
	listener net.Listener
	emptyAt  atomic.Pointer[time.Time]
}

func newBacklog(ln net.Listener) *backlog {
	b := &backlog{listener: ln}
	b.emptyAt.Store(&time.Time{})
	b.check()
	return b
}

// run checks the backlog periodically until done is closed.
func (b *backlog) run(done <-chan struct{}) {
	ticker := time.NewTicker(backlogCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			b.check()
		}
	}
}

func (b *backlog) check() {
	// The time is read first: the process may be suspended between the two.
	now := clock.Now()
	if b.isEmpty() {
		b.emptyAt.Store(&now)
	}
}

// isEmpty reports whether no connection waits to be accepted; it is true where that cannot be determined.
func (b *backlog) isEmpty() bool {
	syscallConn, ok := b.listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err != nil || ready <= 0
}
