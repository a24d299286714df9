package site_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// Guards against entries that do not serve each other on their peer ports.
func TestEntryForwardsToPeerPort(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "whole answer")
	}))
	defer upstream.Close()
	upstreamAddress := upstream.Listener.Addr().String()
	refuse := func(ctx context.Context, address string) (net.Conn, error) {
		if address == upstreamAddress {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return transport.TCP()(ctx, address)
	}
	hosts := []string{"127.0.7.1", "127.0.7.2"}
	peerPort, callerPort := freePort(t, hosts...), freePort(t, hosts...)
	config, err := catalog.NewDocument(1, configOf(1))
	if err != nil {
		t.Fatal(err)
	}
	reply := site.SyncReply{
		Leads: true, Leadership: "a/1", Entries: 2, Usable: true, Version: 1, Config: config.Compressed,
		Changes: roster.Delta{Full: true, Revision: 1, Upstreams: []roster.Upstream{{ID: "u", Service: "s", Address: upstreamAddress, Slots: 4}}},
		Lists:   []site.EntryList{{Hall: "hall", Entries: []string{}}},
	}
	var entries []*site.Entry
	for i, dial := range []transport.Dial{refuse, transport.TCP()} {
		cfg := settings.DefaultSite()
		cfg.Name, cfg.Hall, cfg.PeerPort = ident.Daemon(hosts[i]), "hall", peerPort
		cfg.Listen.Host, cfg.Listen.Callers = hosts[i], fmt.Sprintf("%s:%d", hosts[i], callerPort)
		reply.Lists[0].Entries = append(reply.Lists[0].Entries, cfg.PeerAddress())
		e := site.NewEntry(&cfg, relay.HeaderNames{
			RequestID: "Request", Deadline: "Deadline", Key: "Key", Customer: "Customer", Incarnation: "Life", Signature: "Signature", NotRun: "Not-Run", EventID: "Event",
		}, dial)
		e.DecodeConfig = decodeConfig
		e.ReadyHandler = func(func() bool) http.Handler { return http.NotFoundHandler() }
		e.LoadSettings = func() (*settings.Site, error) { return &cfg, nil }
		entries = append(entries, e)
		runEntry(t, e)
	}
	for _, e := range entries {
		copied := reply
		e.ApplyReply(time.Now(), &copied)
	}
	d := &daemons{t: t}
	d.waitUntil("a request is served through the other entry", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/x", hosts[0], callerPort), http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Request", "id")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && string(body) == "whole answer"
	})
}

// runEntry runs an entry until the test ends.
func runEntry(t *testing.T, e *site.Entry) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}
