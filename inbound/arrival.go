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
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dunlinquay/dunlinquay/clock"
)

// backlogCheckInterval is how often a tracked listener is checked for connections that wait to be accepted.
const backlogCheckInterval = 100 * time.Millisecond

// Arrival is the client's address, and when it connected and sent a request at the earliest.
type Arrival struct {
	Client      string
	OpenedAfter time.Time
	SentAfter   time.Time
}

type connKey struct{}

// ArrivalOf returns the arrival of the request with that context; ok is false if the server does not track arrivals.
func ArrivalOf(ctx context.Context) (a Arrival, ok bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || !c.tracked {
		return Arrival{}, false
	}
	return c.arrival(), true
}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
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
	var ready int
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	if err != nil || pollErr != nil {
		return !errors.Is(pollErr, unix.EINTR)
	}
	return ready == 0
}
