package inbound_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/inbound"
)

// pipes is a listener of connections in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// client is one connection of a caller.
type client struct {
	net.Conn
	br *bufio.Reader
}

func (p *pipes) dial(t *testing.T) *client {
	ours, theirs := net.Pipe()
	p.conns <- theirs
	t.Cleanup(func() { ours.Close() })
	return &client{ours, bufio.NewReader(ours)}
}

// reply is whether a request was answered, and whether the answer asks for the end of the connection.
type reply struct{ answered, end bool }

// ask sends a request with a header of some bytes, the second half of it after a pause.
func (c *client) ask(header int, pause time.Duration) reply {
	text := "GET / HTTP/1.1\r\nHost: x\r\nX-Fill: " + strings.Repeat("x", header) + "\r\n\r\n"
	go func() {
		_, _ = io.WriteString(c, text[:len(text)/2])
		time.Sleep(pause)
		_, _ = io.WriteString(c, text[len(text)/2:])
	}()
	answer, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return reply{}
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return reply{err == nil && answer.Body.Close() == nil && answer.StatusCode == http.StatusOK, answer.Close}
}

// closes reports whether the connection, with nothing sent, is closed within d.
func (c *client) closes(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}

func serve(t *testing.T, bounds inbound.Bounds) (*inbound.Server, *pipes) {
	s, ln := inbound.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })), newPipes()
	s.SetBounds(bounds)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serving ended with %v", err)
		}
		// Callers that still write end by themselves.
		time.Sleep(time.Minute)
	})
	return s, ln
}

// The bounds of a configuration are kept, also those that allow callers more than the default ones.
func TestBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds inbound.Bounds
		// header and pause are what a caller sends, taken is set when it is answered.
		header int
		pause  time.Duration
		taken  bool
		// idle is how long the connection stays then at least; it is closed a second later.
		idle time.Duration
	}{
		{"default", inbound.Bounds{}, 60 << 10, 4 * time.Second, true, 60 * time.Second},
		{"default, too many bytes", inbound.Bounds{}, 80 << 10, 0, false, 0},
		{"default, too slow", inbound.Bounds{}, 10, 6 * time.Second, false, 0},
		{"more bytes", inbound.Bounds{HeaderBytes: 256 << 10}, 200 << 10, 0, true, 60 * time.Second},
		{"fewer bytes", inbound.Bounds{HeaderBytes: 16 << 10}, 30 << 10, 0, false, 0},
		{"more time", inbound.Bounds{HeaderTime: 20 * time.Second}, 10, 15 * time.Second, true, 60 * time.Second},
		{"less time", inbound.Bounds{HeaderTime: 2 * time.Second}, 10, 3 * time.Second, false, 0},
		{"idle for longer", inbound.Bounds{IdleTime: 5 * time.Minute}, 10, 0, true, 5 * time.Minute},
		{"idle for less", inbound.Bounds{IdleTime: 3 * time.Second}, 10, 0, true, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := serve(t, c.bounds)
				caller := ln.dial(t)
				if got := caller.ask(c.header, c.pause); got.answered != c.taken {
					t.Fatalf("answered %v, want %v", got.answered, c.taken)
				}
				if !c.taken {
					return
				}
				if caller.closes(c.idle - time.Millisecond) {
					t.Errorf("closed before it was idle for %v", c.idle)
				}
				if !caller.closes(time.Second) {
					t.Errorf("open a second after it was idle for %v", c.idle)
				}
			})
		})
	}
}

// Changed bounds hold for new connections at once. One that is open keeps its bounds, is asked to end with its next answer, and is not cut.
func TestBoundsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := serve(t, inbound.Bounds{IdleTime: 10 * time.Second})
		old := ln.dial(t)
		if a := old.ask(10, 0); a != (reply{answered: true}) {
			t.Fatalf("the first answer asks for the end: %+v", a)
		}
		s.SetBounds(inbound.Bounds{IdleTime: 10 * time.Second})
		if a := old.ask(10, 0); a != (reply{answered: true}) {
			t.Fatalf("the same bounds again end connections: %v", a)
		}
		s.SetBounds(inbound.Bounds{IdleTime: 100 * time.Second})
		if old.closes(5 * time.Second) {
			t.Error("an idle connection was cut by the change")
		}
		if a := old.ask(10, 0); a != (reply{answered: true, end: true}) {
			t.Errorf("a connection of former bounds is not asked to end: %v", a)
		}
		if !old.closes(time.Second) {
			t.Error("a connection of former bounds stays open after its answer")
		}
		later := ln.dial(t)
		if a := later.ask(10, 0); a != (reply{answered: true}) {
			t.Fatalf("no answer under the new bounds: %v", a)
		}
		if later.closes(99*time.Second) || !later.closes(2*time.Second) {
			t.Error("a new connection does not have the new bounds")
		}
		synctest.Wait()
		if n := inbound.Generations(s); n != 1 {
			t.Errorf("%d servers are left, want 1", n)
		}
	})
}

// A request in progress, of whatever bounds, is answered during a planned stop.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := inbound.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Second)
			_, _ = io.WriteString(w, "ok")
		})), newPipes()
		go func() { _ = s.Serve(ln) }()
		answers := make(chan bool, 3)
		for n := range 3 {
			caller := ln.dial(t)
			go func() {
				answers <- caller.ask(10, 0).answered
			}()
			synctest.Wait()
			s.SetBounds(inbound.Bounds{IdleTime: time.Duration(n+1) * time.Second})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		for range 3 {
			if !<-answers {
				t.Error("a request in progress was cut off")
			}
		}
		_ = s.Close()
		synctest.Wait()
	})
}
