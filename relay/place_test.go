package relay_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// timedConfig is config with an engine that reads 50 tokens a ms and plays passes of 30 ms.
func timedConfig() *httproute.Config {
	cfg := config()
	e := cfg.Services[1].Engine
	e.Step, e.PerSequence, e.Stride, e.ReadRate = 6*time.Millisecond, 200*time.Microsecond, 5, 50_000
	return cfg
}

// holding returns heads that keep requests until release is called, and where each request arrived, in order.
func holding(t *testing.T, n int) (heads []*upstream, arrived chan ident.Incarnation, release func()) {
	t.Helper()
	held := make(chan struct{})
	arrived = make(chan ident.Incarnation, 16)
	for range n {
		heads = append(heads, newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
			arrived <- ident.Incarnation(r.Header.Get("Life"))
			<-held
			return stream(c, r, 1, 2, true)
		})))
	}
	return heads, arrived, sync.OnceFunc(func() { close(held) })
}

// A long prompt that is still to be read weighs more than two short ones: the next request goes to where these are.
func TestRequestsAvoidLongPrompts(t *testing.T) {
	heads, arrived, release := holding(t, 2)
	s := newSite(t, nil, heads)
	// Requests are not to be moved while they are held.
	cfg := timedConfig()
	cfg.Routes[2].Attempts = 1
	s.relay.SetConfig(cfg)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer release()
	send := func(id, tokens string) ident.Incarnation {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", tokens)
		wg.Go(func() { s.do(r) })
		return <-arrived
	}
	long := send("long", "20000,10")
	var got []bool
	for _, id := range []string{"a", "b", "c"} {
		got = append(got, send(id, "200,10") == long)
	}
	if diff := cmp.Diff([]bool{false, false, false}, got); diff != "" {
		t.Errorf("short prompts beside the long one (-want +got):\n%s", diff)
	}
}
