package relay_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
)

// The record of a request has, for each connection without a complete answer, how it failed and how many events had arrived.
func TestRecordNamesConnectionFailure(t *testing.T) {
	respondPart := func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 2, false) }
	for _, tt := range []struct {
		name    string
		respond responder
		want    relay.Attempt
	}{
		{"closed", always(func(net.Conn, *http.Request) bool { return false }), relay.Attempt{ConnFailure: relay.ConnClosed}},
		{"reset", always(func(c net.Conn, _ *http.Request) bool { return resetConn(c) }), relay.Attempt{ConnFailure: relay.ConnReset}},
		{"closed within a stream", always(respondPart), relay.Attempt{ConnFailure: relay.ConnClosed, Events: 2}},
		{"no answer", always(func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "nothing like an answer\r\n\r\n")
			return false
		}), relay.Attempt{ConnFailure: relay.ConnUnusable}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t, nil, []*upstream{newUpstream(t, tt.respond)})
			s.do(s.request("POST", "/stream/x", "id", "body"))
			s.relay.Wait()
			got := s.records[0].Attempts[0]
			if diff := cmp.Diff(tt.want, relay.Attempt{ConnFailure: got.ConnFailure, Events: got.Events}); diff != "" {
				t.Errorf("attempt (-want +got):\n%s", diff)
			}
			if want := quarantine.ContentOf("/stream/x", []byte("body")); s.records[0].Content != want {
				t.Errorf("content %v, want %v", s.records[0].Content, want)
			}
		})
	}
}
