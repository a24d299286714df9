package relay_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// A group that another entry calls overdue gets nothing while there is another, until that news is old or the group shows a
// sign.
func TestOverdueGroupsArePassedOver(t *testing.T) {
	heads, arrived, release := holding(t, 2)
	s := newSite(t, nil, heads)
	cfg := timedConfig()
	cfg.Routes[2].Attempts = 1
	s.relay.SetConfig(cfg)
	now := time.Now()
	s.relay.Now = func() time.Time { return now }
	var wg sync.WaitGroup
	defer wg.Wait()
	defer release()
	send := func(id string) ident.Incarnation {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", "500,10")
		wg.Go(func() { s.do(r) })
		return <-arrived
	}
	s.relay.Hear(relay.News{Head: "h0", Overdue: 400 * time.Millisecond})
	got := []ident.Incarnation{send("a"), send("b"), send("c")}
	now = now.Add(200 * time.Millisecond)
	got = append(got, send("d"))
	if diff := cmp.Diff([]ident.Incarnation{"h1", "h1", "h1", "h0"}, got); diff != "" {
		t.Errorf("where requests went (-want +got):\n%s", diff)
	}
}

// Entries are told of a group whose streams are silent for longer than a pass can take, and only of such a group.
func TestOverdueGroupsAreTold(t *testing.T) {
	held, wrote := make(chan struct{}), make(chan struct{}, 2)
	var heads []*upstream
	for range 2 {
		heads = append(heads, newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
			text := events(1, 1)
			_, err := io.WriteString(c, head(r, 200, signature, "Content-Type: text/event-stream", "Content-Length: 1000")+text)
			wrote <- struct{}{}
			<-held
			return err == nil && false
		})))
	}
	s := newSite(t, nil, heads)
	cfg := timedConfig()
	cfg.Routes[2].Attempts = 1
	s.relay.SetConfig(cfg)
	var mu sync.Mutex
	now := time.Now()
	s.relay.Now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	var told []relay.News
	s.relay.Tell = func(n relay.News) {
		if n.Overdue > 0 {
			told = append(told, n)
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(held)
	read := make(chan struct{})
	wg.Go(func() {
		resp, err := http.DefaultClient.Do(s.request("POST", "/stream/x", "a", ""))
		if err != nil {
			t.Error(err)
			return
		}
		defer resp.Body.Close()
		_, _ = io.ReadFull(resp.Body, make([]byte, len(events(1, 1))))
		close(read)
		_, _ = io.Copy(io.Discard, resp.Body)
	})
	<-wrote
	<-read
	s.relay.TellOverdue()
	mu.Lock()
	now = now.Add(time.Second)
	mu.Unlock()
	s.relay.TellOverdue()
	if len(told) != 1 || told[0].Overdue < 900*time.Millisecond || told[0].Overdue > time.Second {
		t.Errorf("told %+v, want one group that is overdue for somewhat less than a second", told)
	}
}
