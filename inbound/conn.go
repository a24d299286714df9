package inbound

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
)

// callerConn is the connection of a caller, which a drain closes only if no byte of a request has arrived. http.Server.Shutdown does not look for
// such bytes.
type callerConn struct {
	net.Conn
	// begun is set once bytes of the next request have been read. interrupted is set when a drain has interrupted the read for it.
	begun, interrupted atomic.Bool
	// tracked is set where arrivals are tracked, which the fields below are for. openedAfter is a time before which the connection was not
	// open.
	tracked     bool
	openedAfter time.Time
	// lastWrite is the start of the last write. answeredAt is its value when the current request began, nil for the first request.
	lastWrite  atomic.Pointer[time.Time]
	answeredAt *time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.begun.Store(true)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.interrupted.Swap(false) {
			return n, err
		}
		if !c.begun.Load() && !c.hasArrived() {
			return n, err
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.tracked {
		now := clock.Now()
		c.lastWrite.Store(&now)
	}
	return c.Conn.Write(b)
}

// CloseWrite ends the answer; net/http does so before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// endIfUnused makes the server close the connection, unless bytes of a request have arrived.
func (c *callerConn) endIfUnused() {
	if c.begun.Load() {
		return
	}
	c.interrupted.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// hasArrived reports whether there are bytes to read.
func (c *callerConn) hasArrived() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
