package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// sendEvents sends events in a chunk of a stream.
func sendEvents(c net.Conn, from, to int) {
	text := eventText(from, to)
	_, _ = io.WriteString(c, chunk(text))
}

// streamWithPause answers a stream with events up to before, is silent for a while and then continues to the last one.
func streamWithPause(before, last int, silence time.Duration) responder {
	return func(c net.Conn, r *http.Request, _ int) bool {
		if before > 0 {
			_, _ = io.WriteString(c, streamHead(r))
			sendEvents(c, 1, before)
		}
		time.Sleep(silence)
		if before == 0 {
			_, _ = io.WriteString(c, streamHead(r))
		}
		sendEvents(c, before+1, last)
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// An upstream that is silent for a while, such as a paused process, completes its answer. An entry gave its attempt up for a second one that
// the retry budget did not allow, or that failed, and the caller lost an answer that had begun.
func TestAnswerOutlastsFailedMove(t *testing.T) {
	const silence = 1200 * time.Millisecond
	refuses := func(c net.Conn, r *http.Request, _ int) bool { return respondNotRun(c, r) }
	resets := func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }
	fails := func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 500, signature, "Content-Length: 0"))
		return err == nil
	}
	misdirects := func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 421, "Not-Run: 1", "Content-Length: 0"))
		return err == nil
	}
	headOnly := func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, streamHead(r))
		return false
	}
	partOfHead := func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nReq")
		return stayOpenSilent(c)
	}
	partOfBody := func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, answerHead(r, 200, signature, "Content-Length: 100")+"part")
		return false
	}
	unsigned := func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 200, "Content-Length: 2")+"ab")
		return err == nil
	}
	slow := func(c net.Conn, r *http.Request, _ int) bool {
		time.Sleep(2500 * time.Millisecond)
		return respondComplete(c, r)
	}
	for _, c := range []struct {
		name      string
		path      string
		allowance float64
		first     responder
		second    responder
	}{
		{"events, no budget", "/stream/x", 0, streamWithPause(3, 6, silence), nil},
		{"events, the second refuses", "/stream/x", 100, streamWithPause(3, 6, silence), refuses},
		{"events, the second is another one", "/stream/x", 100, streamWithPause(3, 6, silence), misdirects},
		{"events, the second resets", "/stream/x", 100, streamWithPause(3, 6, silence), resets},
		{"events, the second fails", "/stream/x", 100, streamWithPause(3, 6, silence), fails},
		{"events, the second ends after its head", "/stream/x", 100, streamWithPause(3, 6, silence), headOnly},
		{"events, the second sends a part of its head", "/stream/x", 100, streamWithPause(3, 6, silence), partOfHead},
		{"events, the second is silent", "/stream/x", 100, streamWithPause(3, 6, silence), func(c net.Conn, _ *http.Request, _ int) bool { return stayOpenSilent(c) }},
		{"no event, no budget", "/stream/x", 0, streamWithPause(0, 6, silence), nil},
		{"no event, the second refuses", "/stream/x", 100, streamWithPause(0, 6, silence), refuses},
		{"no event, the second resets", "/stream/x", 100, streamWithPause(0, 6, silence), resets},
		{"plain, no budget", "/safe/x", 0, slow, nil},
		{"plain, the second refuses", "/safe/x", 100, slow, refuses},
		{"plain, the second resets", "/safe/x", 100, slow, resets},
		{"plain, the second fails", "/safe/x", 100, slow, fails},
		{"plain, the second sends a part of its answer", "/safe/x", 100, slow, partOfBody},
		{"plain, the second's answer is not signed", "/safe/x", 100, slow, unsigned},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			second := c.second
			if second == nil {
				second = func(_ net.Conn, r *http.Request, _ int) bool {
					t.Errorf("request %s was sent again without a budget", r.Header.Get("Request"))
					return false
				}
			}
			upstreams := []*upstream{newUpstream(t, c.first), newUpstream(t, second)}
			plain, heads := upstreams, upstreams
			want := eventText(1, 6)
			if strings.HasPrefix(c.path, "/safe") {
				heads, want = nil, "answer to a"
			} else {
				plain = nil
			}
			s := newTestEntry(t, plain, heads)
			s.relay.RandomInt = func(int) int { return 0 }
			s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Window: 10 * time.Second, Allowance: c.allowance})
			got := s.do(s.request("POST", c.path, "a", ""))
			s.relay.Wait()
			if !got.Complete || got.Status != http.StatusOK || got.Body != want {
				t.Errorf("the caller got %+v, want the answer of the first upstream", got)
			}
			if n := len(upstreams[0].received()); n != 1 {
				t.Errorf("%d requests reached the first upstream", n)
			}
			if n := len(upstreams[1].received()); n > 1 {
				t.Errorf("%d requests reached the second upstream", n)
			}
			if c.second != nil && len(upstreams[1].received()) == 0 {
				t.Errorf("no request reached the second upstream, attempts %+v", s.records[0].Attempts)
			}
		})
	}
}

// A request still moves to another upstream when the first one is silent for good, and the caller gets each event once.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	silentAfter := func(events int) responder {
		return func(c net.Conn, r *http.Request, _ int) bool {
			if events > 0 {
				_, _ = io.WriteString(c, streamHead(r))
				sendEvents(c, 1, events)
			}
			return stayOpenSilent(c)
		}
	}
	rest := func(from int) responder {
		return func(c net.Conn, r *http.Request, _ int) bool { return respondStream(c, r, from, 6, true) }
	}
	complete := func(c net.Conn, r *http.Request, _ int) bool { return respondComplete(c, r) }
	for _, c := range []struct {
		name          string
		path          string
		first, second responder
		want          string
	}{
		{"after events", "/stream/x", silentAfter(3), rest(4), eventText(1, 6)},
		{"before the first event", "/stream/x", silentAfter(0), rest(1), eventText(1, 6)},
		{"plain", "/safe/x", silentAfter(0), complete, "answer to a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstreams := []*upstream{newUpstream(t, c.first), newUpstream(t, c.second)}
			plain, heads := upstreams, upstreams
			if strings.HasPrefix(c.path, "/safe") {
				heads = nil
			} else {
				plain = nil
			}
			s := newTestEntry(t, plain, heads)
			s.relay.RandomInt = func(int) int { return 0 }
			got := s.do(s.request("POST", c.path, "a", ""))
			s.relay.Wait()
			if !got.Complete || got.Body != c.want {
				t.Errorf("the caller got %+v", got)
			}
			var results []string
			for _, a := range s.records[0].Attempts {
				results = append(results, a.Result)
			}
			if strings.Join(results, " ") != "stalled done" {
				t.Errorf("attempts ended as %v", results)
			}
		})
	}
}

// An answer whose first upstream breaks while a second attempt is under way is never taken for complete when that one breaks as well.
func TestBrokenHedgeIsNotComplete(t *testing.T) {
	first := func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, streamHead(r))
		sendEvents(c, 1, 3)
		time.Sleep(1300 * time.Millisecond)
		return resetConn(c)
	}
	for _, c := range []struct {
		name string
		head func(r *http.Request) string
	}{
		{"chunked", streamHead},
		{"with a length", func(r *http.Request) string { return answerHead(r, 200, signature, "Content-Length: 1000") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			second := func(conn net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, c.head(r))
				time.Sleep(time.Second)
				return false
			}
			s := newTestEntry(t, nil, []*upstream{newUpstream(t, first), newUpstream(t, second)})
			s.relay.RandomInt = func(int) int { return 0 }
			got := s.do(s.request("POST", "/stream/x", "a", ""))
			s.relay.Wait()
			if got.Complete || got.Body != eventText(1, 3) {
				t.Errorf("the caller got %+v", got)
			}
			if reason := s.records[0].Interruption; reason != relay.InterruptedAttempt {
				t.Errorf("interrupted because of %q", reason)
			}
		})
	}
}

// When the caller disconnects, both attempts end.
func TestHedgeEndsWithCaller(t *testing.T) {
	ended := make(chan int, 2)
	silent := func(n int) responder {
		return func(c net.Conn, r *http.Request, _ int) bool {
			if n == 0 {
				_, _ = io.WriteString(c, streamHead(r))
				sendEvents(c, 1, 3)
			}
			stayOpenSilent(c)
			ended <- n
			return false
		}
	}
	upstreams := []*upstream{newUpstream(t, silent(0)), newUpstream(t, silent(1))}
	s := newTestEntry(t, nil, upstreams)
	s.relay.RandomInt = func(int) int { return 0 }
	ctx, disconnect := context.WithCancel(t.Context())
	resp, err := http.DefaultClient.Do(s.request("POST", "/stream/x", "a", "").WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for deadline := time.Now().Add(20 * time.Second); len(upstreams[1].received()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no second attempt")
		}
	}
	disconnectedAt := time.Now()
	disconnect()
	s.relay.Wait()
	for range upstreams {
		<-ended
	}
	// The upstreams close silent connections themselves only ten seconds after a request.
	if took := time.Since(disconnectedAt); took > 5*time.Second {
		t.Errorf("the attempts ended %v after the caller had disconnected", took)
	}
	if n := len(s.records[0].Attempts); n != 2 {
		t.Errorf("%d attempts", n)
	}
}
