package inbound_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/inbound"
)

// pipeListener is a net.Listener of in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// client is one connection of a caller.
type client struct {
	net.Conn
	br *bufio.Reader
}

func (p *pipeListener) dial(t *testing.T) *client {
	ours, theirs := net.Pipe()
	p.conns <- theirs
	t.Cleanup(func() { ours.Close() })
	return &client{ours, bufio.NewReader(ours)}
}

// reply says whether a request was answered with status 200, and whether the answer has the header "Connection: close".
type reply struct{ answered, closing bool }

func requestText(headerBytes int) string {
	return "GET / HTTP/1.1\r\nHost: x\r\nX-Fill: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"
}

// request sends a request with a header of about headerBytes bytes, pausing in the middle, and waits for the answer.
func (c *client) request(headerBytes int, pause time.Duration) reply {
	text := requestText(headerBytes)
	go func() {
		_, _ = io.WriteString(c, text[:len(text)/2])
		time.Sleep(pause)
		_, _ = io.WriteString(c, text[len(text)/2:])
	}()
	response, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return reply{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return reply{err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK, response.Close}
}

// closedWithin reports whether the server closes the idle connection within d.
func (c *client) closedWithin(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.br.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}

func startServer(t *testing.T, bounds inbound.Bounds) (*inbound.Server, *pipeListener) {
	s, ln := inbound.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })), newPipeListener()
	s.SetBounds(bounds)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v, want %v", err, http.ErrServerClosed)
		}
		// All goroutines must end before the test does, also those of request that are in their pause.
		time.Sleep(time.Minute)
	})
	return s, ln
}

// Bounds are enforced, whether they are smaller or larger than the defaults.
func TestBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds inbound.Bounds
		// headerBytes and pause are those of the request, and accepted is set if an answer is expected.
		headerBytes int
		pause       time.Duration
		accepted    bool
		// minIdle is how long the connection must then stay open at least. It must be closed at most a second later.
		minIdle time.Duration
	}{
		{"default", inbound.Bounds{}, 60 << 10, 4 * time.Second, true, 60 * time.Second},
		{"default, too many bytes", inbound.Bounds{}, 80 << 10, 0, false, 0},
		{"default, too slow", inbound.Bounds{}, 10, 6 * time.Second, false, 0},
		{"more bytes", inbound.Bounds{MaxHeaderBytes: 256 << 10}, 200 << 10, 0, true, 60 * time.Second},
		{"fewer bytes", inbound.Bounds{MaxHeaderBytes: 16 << 10}, 30 << 10, 0, false, 0},
		{"more time", inbound.Bounds{HeaderTimeout: 20 * time.Second}, 10, 15 * time.Second, true, 60 * time.Second},
		{"less time", inbound.Bounds{HeaderTimeout: 2 * time.Second}, 10, 3 * time.Second, false, 0},
		{"longer idle time", inbound.Bounds{IdleTimeout: 5 * time.Minute}, 10, 0, true, 5 * time.Minute},
		{"shorter idle time", inbound.Bounds{IdleTimeout: 3 * time.Second}, 10, 0, true, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := startServer(t, c.bounds)
				caller := ln.dial(t)
				if got := caller.request(c.headerBytes, c.pause); got.answered != c.accepted {
					t.Fatalf("answered %v, want %v", got.answered, c.accepted)
				}
				if !c.accepted {
					return
				}
				if caller.closedWithin(c.minIdle - time.Millisecond) {
					t.Errorf("closed before %v of idle time", c.minIdle)
				}
				if !caller.closedWithin(time.Second) {
					t.Errorf("still open a second after %v of idle time", c.minIdle)
				}
			})
		})
	}
}

// Changed bounds apply to new connections immediately. An open connection keeps its bounds, is not closed while idle, and is closed after
// its next answer.
func TestBoundsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := startServer(t, inbound.Bounds{IdleTimeout: 10 * time.Second})
		oldConn := ln.dial(t)
		if got := oldConn.request(10, 0); got != (reply{answered: true}) {
			t.Fatalf("first answer: %+v, want one that keeps the connection open", got)
		}
		s.SetBounds(inbound.Bounds{IdleTimeout: 10 * time.Second})
		if got := oldConn.request(10, 0); got != (reply{answered: true}) {
			t.Fatalf("answer after setting the same bounds again: %+v, want one that keeps the connection open", got)
		}
		s.SetBounds(inbound.Bounds{IdleTimeout: 100 * time.Second})
		if oldConn.closedWithin(5 * time.Second) {
			t.Error("the change closed an idle connection")
		}
		if got := oldConn.request(10, 0); got != (reply{answered: true, closing: true}) {
			t.Errorf("answer to a connection with replaced bounds: %+v, want one that closes the connection", got)
		}
		if !oldConn.closedWithin(time.Second) {
			t.Error("a connection with replaced bounds stays open after its answer")
		}
		newConn := ln.dial(t)
		if got := newConn.request(10, 0); got != (reply{answered: true}) {
			t.Fatalf("answer to a new connection: %+v, want one that keeps the connection open", got)
		}
		if newConn.closedWithin(99*time.Second) || !newConn.closedWithin(2*time.Second) {
			t.Error("a new connection does not have the new idle time")
		}
		synctest.Wait()
		if n := inbound.Generations(s); n != 1 {
			t.Errorf("%d servers are left, want 1", n)
		}
	})
}

// Drain finishes requests in progress on servers of all generations.
func TestDrainFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := inbound.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Second)
			_, _ = io.WriteString(w, "ok")
		})), newPipeListener()
		go func() { _ = s.Serve(ln) }()
		answers := make(chan bool, 3)
		for n := range 3 {
			caller := ln.dial(t)
			go func() {
				answers <- caller.request(10, 0).answered
			}()
			synctest.Wait()
			s.SetBounds(inbound.Bounds{IdleTimeout: time.Duration(n+1) * time.Second})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s.Drain(ctx)
		if ctx.Err() != nil {
			t.Error("Drain did not return after the last request")
		}
		for range 3 {
			if !<-answers {
				t.Error("a request in progress was not answered")
			}
		}
		_ = s.Close()
		synctest.Wait()
	})
}

// A request of which a part has arrived when a drain begins is answered, and its connection is closed after the answer. Its connection was closed
// without an answer.
func TestRequestBegunBeforeDrainIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		used bool
	}{{"new connection", false}, {"kept connection", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ln := startServer(t, inbound.Bounds{})
				caller := ln.dial(t)
				if c.used && !caller.request(10, 0).answered {
					t.Fatal("no answer before the drain")
				}
				got := make(chan reply)
				go func() { got <- caller.request(10, 300*time.Millisecond) }()
				synctest.Wait()
				drained := make(chan struct{})
				go func() {
					s.Drain(t.Context())
					close(drained)
				}()
				if got, want := <-got, (reply{answered: true, closing: true}); got != want {
					t.Errorf("%+v, want %+v", got, want)
				}
				<-drained
				if !caller.closedWithin(time.Second) {
					t.Error("the connection is open after the drain")
				}
			})
		})
	}
}

// Connections without a request are closed when a drain begins, so that callers use others for their next requests, and the drain ends.
func TestDrainClosesUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := startServer(t, inbound.Bounds{})
		fresh, kept := ln.dial(t), ln.dial(t)
		if !kept.request(10, 0).answered {
			t.Fatal("no answer before the drain")
		}
		begun := time.Now()
		s.Drain(t.Context())
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("the drain took %v", took)
		}
		for name, c := range map[string]*client{"fresh": fresh, "kept": kept} {
			if !c.closedWithin(time.Second) {
				t.Errorf("the %s connection is open after the drain", name)
			}
		}
	})
}

// unreadConn is a connection whose first read ends with its deadline, although bytes may have arrived, as in a process that has no processor
// time.
type unreadConn struct {
	*net.TCPConn
	reads    atomic.Int64
	deadline chan struct{}
	once     sync.Once
}

func (c *unreadConn) Read(b []byte) (int, error) {
	if c.reads.Add(1) == 1 {
		<-c.deadline
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *unreadConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		c.once.Do(func() { close(c.deadline) })
	}
	return c.TCPConn.SetReadDeadline(at)
}

// A request whose bytes have arrived when a drain begins is answered, although nothing has been read. Its connection was reset.
func TestUnreadRequestIsAnsweredDuringDrain(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	conn, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s, ln := inbound.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })), newPipeListener()
	go func() { _ = s.Serve(ln) }()
	ln.conns <- &unreadConn{TCPConn: accepted.(*net.TCPConn), deadline: make(chan struct{})}
	caller := &client{conn, bufio.NewReader(conn)}
	got := make(chan reply)
	go func() { got <- caller.request(10, 0) }()
	for arrived := false; !arrived; time.Sleep(time.Millisecond) {
		arrived = unread(t, accepted) == len(requestText(10))
	}
	go s.Drain(t.Context())
	if got, want := <-got, (reply{answered: true, closing: true}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	_ = s.Close()
}

// unread returns how many bytes a connection has to read.
func unread(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n, buf := 0, make([]byte, 4096)
	if err := raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		t.Fatal(err)
	}
	return n
}

// Open connections are counted by their state.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ln := startServer(t, inbound.Bounds{})
		expect := func(when string, want inbound.Connections) {
			t.Helper()
			synctest.Wait()
			if got := s.Connections(); got != want {
				t.Errorf("%s: %+v, want %+v", when, got, want)
			}
		}
		caller := ln.dial(t)
		expect("before the first request", inbound.Connections{New: 1})
		caller.request(10, 0)
		expect("after an answer", inbound.Connections{Idle: 1})
		caller.Close()
		expect("after the end", inbound.Connections{})
	})
}

// The answer to a request whose head is too large arrives whole: the rest of the head is unread, and closing the connection resets it, so the
// end of the answer has to be sent before.
func TestRefusalOfLargeHeadArrives(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := inbound.New(http.NotFoundHandler())
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, requestText(200<<10)) }()
	text, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 431 ") {
		t.Errorf("got %.40q, error %v", text, err)
	}
}
