package relay_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Requests in progress are counted by how far they have come.
func TestProgress(t *testing.T) {
	steps := make(chan struct{})
	next := func() { steps <- struct{}{}; steps <- struct{}{} }
	head := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		<-steps
		<-steps
		_, _ = io.WriteString(c, streamHead(r))
		sendEvents(c, 1, 1)
		<-steps
		<-steps
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	s := newTestEntry(t, nil, []*upstream{head})
	expect := func(when string, want relay.Progress) {
		t.Helper()
		if diff := cmp.Diff(want, s.relay.Progress()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
	}
	expect("before the request", relay.Progress{})
	body, write := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+"/stream/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header = s.request("POST", "/stream/x", "a", "").Header
	headArrived, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		defer resp.Body.Close()
		close(headArrived)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Error(err)
		}
	}()
	_, _ = io.WriteString(write, "body")
	awaitCondition(t, func() bool { return s.relay.Progress().Reading == 1 })
	expect("while the body arrives", relay.Progress{Reading: 1})
	_ = write.Close()
	awaitCondition(t, func() bool { return len(head.received()) == 1 })
	expect("at the upstream", relay.Progress{Sent: 1})
	next()
	<-headArrived
	expect("while the answer is sent", relay.Progress{Answering: 1})
	next()
	<-ended
	s.relay.Wait()
	expect("after the answer", relay.Progress{})
}

// awaitCondition waits until a condition holds.
func awaitCondition(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold")
		}
	}
}
