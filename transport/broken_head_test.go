package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/standin"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	validAnswer = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
	emptyAnswer = "HTTP/1.1 204 X\r\n\r\n"
	interim     = "HTTP/1.1 103 X\r\nLink: l\r\n\r\n"
)

// brokenHeads are answers whose head is not valid.
var brokenHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
	"status 099":               "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
	"status +20":               "HTTP/1.1 +20 X\r\nContent-Length: 2\r\n\r\nok",
	"status 101":               "HTTP/1.1 101 X\r\nUpgrade: u\r\nConnection: Upgrade\r\n\r\nok",
	"status 600":               "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":          "HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nok",
	"blank in a name, no body": "HTTP/1.1 204 X\r\nX-Field : v\r\n\r\n",
	"encoding in HTTP/1.0":     "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"version 2.0":              "HTTP/2.0 200 X\r\nContent-Length: 2\r\n\r\nok",
	"blank first":              "HTTP/1.1 200 X\r\nA: b\r\n Content-Length: 2\r\n\r\nok",
	"name with a control byte": "HTTP/1.1 200 X\r\nA\x01: b\r\nContent-Length: 2\r\n\r\nok",
	"blank in an interim name": "HTTP/1.1 103 X\r\nX-Field : v\r\n\r\n" + validAnswer,
	"status 000, interim":      interim + "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
}

// get sends a request and returns the complete body of the answer.
func get(t *testing.T, client *http.Client, address string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client.Timeout = 10 * time.Second
	w, err := client.Do(r)
	if err != nil {
		return "", transport.Classify(err)
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	return string(body), err
}

// An answer whose head is not valid is an error after one request, on new and on kept connections, and its connection is not used again.
func TestBrokenHeads(t *testing.T) {
	for name, text := range brokenHeads {
		for _, before := range []string{"", validAnswer, emptyAnswer} {
			t.Run(name+" after "+before, func(t *testing.T) {
				t.Parallel()
				var brokenConn atomic.Pointer[net.Conn]
				ln, requests, err := standin.ListenRaw(func(n int, c net.Conn, _ *http.Request) bool {
					if used := brokenConn.Load(); used != nil && *used == c {
						t.Error("the connection was used again")
					}
					answer := validAnswer
					switch {
					case n == 1 && before != "":
						answer = before
					case brokenConn.CompareAndSwap(nil, &c):
						answer = text
						_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
					}
					_, err := io.WriteString(c, answer)
					return err == nil
				})
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				client, address, sent := transport.New(transport.KeepAlive, transport.TCP()), ln.Addr().String(), int64(1)
				if before != "" {
					sent++
					if _, err := get(t, client, address); err != nil {
						t.Fatalf("valid answer: %v", err)
					}
				}
				if body, err := get(t, client, address); result.CodeOf(err) != result.UpstreamMalformed || requests.Load() != sent {
					t.Errorf("answer %q, error %v after %d requests, want code %d after %d", body, err, requests.Load(), result.UpstreamMalformed, sent)
				}
				if body, err := get(t, client, address); body != "ok" || err != nil {
					t.Errorf("the next answer: %q, %v", body, err)
				}
			})
		}
	}
}

// Answers after interim ones, with a long head, and that end with their connection, are read on kept and on fresh connections.
func TestValidHeads(t *testing.T) {
	longHead := "HTTP/1.1 200 X\r\nLong: " + strings.Repeat("v", httphead.MaxBytes-100) + "\r\nContent-Length: 2\r\n\r\nok"
	for _, text := range []string{validAnswer, interim + interim + validAnswer, longHead, "HTTP/1.1 200 X\r\n\r\nok"} {
		ln, _, err := standin.ListenRaw(func(_ int, c net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(c, text)
			return err == nil && text != "HTTP/1.1 200 X\r\n\r\nok"
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, reuse := range []transport.Reuse{transport.KeepAlive, transport.Fresh} {
			client := transport.New(reuse, transport.TCP())
			for range 3 {
				if body, err := get(t, client, ln.Addr().String()); body != "ok" || err != nil {
					t.Errorf("%.60q: %q, %v", text, body, err)
				}
			}
		}
		if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}

// The memory that a call needs for a head without an end is a small multiple of the bound of a head, whatever its bytes are.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const calls, bound, endlessBytes = 8, 4 * httphead.MaxBytes, 24 << 20
	for _, tt := range []struct{ name, head, text string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"name", "HTTP/1.1 200 X\r\n", "x"},
		{"value", "HTTP/1.1 200 X\r\nField: ", "x"},
		{"fields", "HTTP/1.1 200 X\r\n", "Field: value\r\n"},
		{"short fields", "HTTP/1.1 200 X\r\n", "a:\n"},
		{"interim answers", "", interim},
		{"interim fields", "HTTP/1.1 103 X\r\n", "a:\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			part := []byte(strings.Repeat(tt.text, (64<<10)/len(tt.text)))
			ln, _, err := standin.ListenRaw(func(_ int, c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, tt.head)
				for sent := 0; sent < endlessBytes && err == nil; sent += len(part) {
					_, err = c.Write(part)
				}
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client := transport.New(transport.KeepAlive, transport.TCP())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range calls {
				if _, err := get(t, client, ln.Addr().String()); err == nil {
					t.Error("answered")
				}
			}
			runtime.ReadMemStats(&after)
			if allocated := (after.TotalAlloc - before.TotalAlloc) / calls; allocated > bound {
				t.Errorf("%d bytes for each call, want %d at most", allocated, bound)
			}
		})
	}
}

// A call that its context ends within a head fails with the context's error.
func TestCallEndsWithinHead(t *testing.T) {
	ln, _, err := standin.ListenRaw(func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Le")
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	w, err := transport.New(transport.KeepAlive, transport.TCP()).Do(r)
	if err == nil {
		w.Body.Close()
	}
	if code := result.CodeOf(transport.Classify(err)); code != result.TimedOut {
		t.Errorf("code %d, want %d: %v", code, result.TimedOut, err)
	}
}
