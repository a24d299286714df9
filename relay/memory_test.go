package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// slowBody returns half of a body at once, and the rest after resume is closed.
type slowBody struct {
	firstHalf  io.Reader
	resume     <-chan struct{}
	secondHalf io.Reader
}

func (b *slowBody) Read(p []byte) (int, error) {
	if n, err := b.firstHalf.Read(p); err == nil {
		return n, nil
	}
	<-b.resume
	return b.secondHalf.Read(p)
}

// The memory of slow bodies is bounded over all requests: requests beyond the bound are refused at once as not run, and some of the others
// are served.
func TestMemoryOfSlowBodiesIsBounded(t *testing.T) {
	const size, callers, fitting = 100 << 10, 12, 4
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.SetMemoryLimit(fitting * size)
	resume := make(chan struct{})
	var wg sync.WaitGroup
	statuses := make(chan int, callers)
	for i := range callers {
		wg.Go(func() {
			r := s.request(http.MethodPost, "/safe/x", fmt.Sprint(i), "")
			half := strings.Repeat("x", size/2)
			r.Body = io.NopCloser(&slowBody{strings.NewReader(half), resume, strings.NewReader(half)})
			r.ContentLength = size
			statuses <- s.do(r).Status
		})
	}
	refused := 0
	for range callers - 2*fitting {
		if status := <-statuses; status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused != callers-2*fitting {
		t.Errorf("%d refused while the bodies of others were in memory, want %d", refused, callers-2*fitting)
	}
	close(resume)
	wg.Wait()
	s.relay.Wait()
	close(statuses)
	served := 0
	for status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no request with a body in memory was served")
	}
	if got := s.do(s.request(http.MethodPost, "/safe/x", "later", strings.Repeat("x", size))); got.Status != http.StatusOK {
		t.Errorf("status %d after all requests have ended: their memory was not released", got.Status)
	}
	for _, r := range s.records {
		if r.Code != result.OK && r.Code != result.Overloaded {
			t.Errorf("code %d, %s", r.Code, r.ErrorText)
		}
	}
}

// Bodies without an announced length that are read at the same time take all of the memory in parts. Guards against refusing each of them
// for its rest, so that none is served.
func TestOneOfSlowChunkedBodiesIsServed(t *testing.T) {
	const size, callers = 100 << 10, 6
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.SetMemoryLimit(callers * size / 2)
	resume := make(chan struct{})
	var wg sync.WaitGroup
	statuses := make(chan int, callers)
	for i := range callers {
		wg.Go(func() {
			r := s.request(http.MethodPost, "/safe/x", fmt.Sprint(i), "")
			half := strings.Repeat("x", size/2)
			r.Body = io.NopCloser(&slowBody{strings.NewReader(half), resume, strings.NewReader(half)})
			r.ContentLength = -1
			statuses <- s.do(r).Status
		})
	}
	time.AfterFunc(100*time.Millisecond, func() { close(resume) })
	wg.Wait()
	close(statuses)
	served := 0
	for status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}

// A body that is larger than all of the memory is refused at once. Guards against reading, or waiting with, what cannot fit.
func TestBodyAboveMemoryBoundIsRefusedAtOnce(t *testing.T) {
	const bound = 100 << 10
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.SetMemoryLimit(bound)
	for _, length := range []int64{bound + 1, -1} {
		r := s.request(http.MethodPost, "/safe/x", fmt.Sprint(length), strings.Repeat("x", bound+1))
		r.ContentLength = length
		if got := s.do(r); got.Status != http.StatusServiceUnavailable {
			t.Errorf("announced length %d: status %d, want %d", length, got.Status, http.StatusServiceUnavailable)
		}
	}
	s.relay.Wait()
	for _, r := range s.records {
		if r.Code != result.Overloaded || r.Total > time.Second {
			t.Errorf("code %d after %v, want %d at once", r.Code, r.Total, result.Overloaded)
		}
	}
}

// While the memory of answers is in use, further answers wait at their upstreams; all arrive complete.
func TestMemoryOfSlowReadersIsBounded(t *testing.T) {
	body := strings.Repeat("y", 300<<10)
	u := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 200, signature, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	})
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.SetMemoryLimit(int64(len(body)) + 1000)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			if got := s.do(s.request(http.MethodGet, "/safe/x", fmt.Sprint(i), "")); got.Status != http.StatusOK || got.Body != body {
				t.Errorf("status %d, %d bytes", got.Status, len(got.Body))
			}
		})
	}
	wg.Wait()
}

// BenchmarkSlowReaders reports the memory used by a thousand callers that read nothing of their streams.
func BenchmarkSlowReaders(b *testing.B) {
	const readers = 1000
	event := "id: %d\ndata: " + strings.Repeat("z", 500) + "\n\n"
	for b.Loop() {
		u := newUpstream(b, func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = io.WriteString(c, answerHead(r, 200, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
			for n := range 10_000 {
				text := fmt.Sprintf(event, n+1)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
					return false
				}
			}
			return false
		})
		s := newTestEntry(b, nil, []*upstream{u})
		var conns []net.Conn
		for i := range readers {
			c, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
			if err != nil {
				b.Fatal(err)
			}
			fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest: %d\r\nKey: secret\r\nModel: m\r\nContent-Length: 0\r\n\r\n", i)
			conns = append(conns, c)
		}
		time.Sleep(2 * time.Second)
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/(1<<20), "MB")
		for _, c := range conns {
			c.Close()
		}
	}
}
