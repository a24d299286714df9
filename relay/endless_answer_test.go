package relay_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/dunlinquay/dunlinquay/httphead"
)

// endlessBytes stands for an answer without an end.
const endlessBytes = 24 << 20

// sendEndlessly answers with head, and then repeats text until the entry closes the connection.
func sendEndlessly(head func(r *http.Request) string, text string) responder {
	part := []byte(strings.Repeat(text, max(1, (64<<10)/len(text))))
	return always(func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, head(r))
		for sent := 0; sent < endlessBytes && err == nil; sent += len(part) {
			_, err = c.Write(part)
		}
		return false
	})
}

// allocatedBy returns the bytes that requests allocate on the heap while do runs. Goroutines of earlier tests allocate as well, so only
// allocations below ServeHTTP count.
func allocatedBy(t *testing.T, do func()) int64 {
	t.Helper()
	rate := runtime.MemProfileRate
	runtime.MemProfileRate = 1
	defer func() { runtime.MemProfileRate = rate }()
	before := bytesOfRequests()
	do()
	allocated := bytesOfRequests() - before
	if allocated <= 0 {
		t.Error("the profile has no allocation of a request: the test checks nothing")
	}
	return allocated
}

// bytesOfRequests returns the bytes that were allocated below ServeHTTP, as far as they are in the memory profile.
func bytesOfRequests() int64 {
	// The profile is that of the last but one collection.
	runtime.GC()
	runtime.GC()
	size, _ := runtime.MemProfile(nil, true)
	records := make([]runtime.MemProfileRecord, size+1000)
	size, _ = runtime.MemProfile(records, true)
	total := int64(0)
	for i := range records[:size] {
		frames := runtime.CallersFrames(records[i].Stack())
		for more := true; more; {
			var frame runtime.Frame
			if frame, more = frames.Next(); strings.HasSuffix(frame.Function, "relay.(*Relay).ServeHTTP") {
				total += records[i].AllocBytes
				break
			}
		}
	}
	return total
}

// The memory that a request needs for a head without an end is a small multiple of the bound of a head, whatever its bytes are.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const requests, bound = 8, 4 * httphead.MaxBytes
	for _, tt := range []struct{ name, head, text string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"blanks before the status", "HTTP/1.1 ", " "},
		{"name", "HTTP/1.1 200 X\r\n", "x"},
		{"value", "HTTP/1.1 200 X\r\nField: ", "x"},
		{"fields", "HTTP/1.1 200 X\r\n", "Field: value\r\n"},
		{"short fields", "HTTP/1.1 200 X\r\n", "a:\n"},
		{"continued field", "HTTP/1.1 200 X\r\nField: value\r\n", " x\r\n"},
		{"interim answers", "", "HTTP/1.1 103 X\r\nField: value\r\n\r\n"},
		{"interim fields", "HTTP/1.1 103 X\r\n", "a:\n"},
	} {
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			t.Run(tt.name+path, func(t *testing.T) {
				s, _ := newPipeEntry(t, sendEndlessly(func(*http.Request) string { return tt.head }, tt.text))
				allocated := allocatedBy(t, func() {
					for range requests {
						if got := s.serve(s.request("POST", path, "id", "")); got.Status != http.StatusBadGateway {
							t.Errorf("%+v, want status %d", got, http.StatusBadGateway)
						}
					}
				})
				if allocated/requests > bound {
					t.Errorf("%d bytes for each request, want %d at most", allocated/requests, bound)
				}
			})
		}
	}
}

// The memory that a request needs for a body is not more than what it reserves, whether the body has a length, ends at last or never.
func TestMemoryOfBodies(t *testing.T) {
	const reserved, slack, chunked = 8 << 20, 1 << 20, "Transfer-Encoding: chunked"
	for _, tt := range []struct {
		name  string
		extra string
		begin string
		text  string
	}{
		{"until the connection closes", "Connection: close", "", "x"},
		{"chunked", chunked, "", chunk(strings.Repeat("x", 1000))},
		{"short chunks", chunked, "", chunk(strings.Repeat("x", 256))},
		{"chunk extension", chunked, "1;", "x"},
		{"chunk size", chunked, "", "0"},
		{"trailer", chunked, "0\r\n", "A: b\r\n"},
		{"trailer field", chunked, "0\r\nA: ", "b"},
		{"too long", "Content-Length: 25165824", "", "x"},
		{"with a length", "Content-Length: 8388608\r\nConnection: close", "", "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newPipeEntry(t, sendEndlessly(func(r *http.Request) string {
				return answerHead(r, 200, tt.extra, signature) + tt.begin
			}, tt.text))
			var w *discardWriter
			allocated := allocatedBy(t, func() {
				w = &discardWriter{header: http.Header{}}
				s.relay.ServeHTTP(w, incoming(t, s.request("POST", "/unsafe/x", "id", "")))
			})
			if allocated > reserved+slack {
				t.Errorf("%d bytes, want %d at most", allocated, reserved+slack)
			}
			if complete := w.status == http.StatusOK && w.bytes == reserved; complete != (tt.name == "with a length") {
				t.Errorf("status %d with %d bytes", w.status, w.bytes)
			}
		})
	}
}

// discardWriter counts the bytes of an answer.
type discardWriter struct {
	header http.Header
	status int
	bytes  int
}

func (w *discardWriter) Header() http.Header    { return w.header }
func (w *discardWriter) WriteHeader(status int) { w.status = status }

func (w *discardWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}
