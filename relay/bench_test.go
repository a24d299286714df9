package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/transport"
)

const benchEvents = 27

// benchUpstream answers plain requests, and streams of benchEvents events that are flushed one by one.
func benchUpstream(b *testing.B) *httptest.Server {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Signature", "s")
		if r.URL.Path == "/safe/x" {
			_, _ = io.WriteString(w, "an answer of some bytes")
			return
		}
		for i := 1; i <= benchEvents; i++ {
			fmt.Fprintf(w, "id: %d\ndata: sixty-five bytes of an answer, more or less, as engines send them\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	b.Cleanup(server.Close)
	return server
}

func benchRelay(b *testing.B, address string) *httptest.Server {
	b.Helper()
	s := relay.New(headerNames(), transport.TCP())
	s.KeyValidity = time.Hour
	s.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
	cfg := config()
	for i := range cfg.Routes {
		cfg.Routes[i].Kind = httproute.KindSafe
		if cfg.Routes[i].Name == "stream" {
			cfg.Routes[i].Kind = httproute.KindStream
		}
	}
	s.SetConfig(cfg)
	s.ApplyRoster(&roster.Delta{
		Full: true, Revision: 1,
		Upstreams: []roster.Upstream{
			{ID: "p", Service: "plain", Address: address, Slots: 100},
			{ID: "h", Service: "model", Address: address, Slots: 100},
		},
		Groups: []roster.Group{{Name: "g", Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{"h"}}},
	})
	s.SetConfirmed(time.Now())
	server := httptest.NewServer(s)
	b.Cleanup(server.Close)
	return server
}

// BenchmarkRequests compares the relay with the standard library's reverse proxy and with no proxy, for one caller.
func BenchmarkRequests(b *testing.B) {
	upstream := benchUpstream(b)
	target, err := url.Parse(upstream.URL)
	if err != nil {
		b.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxyServer := httptest.NewServer(proxy)
	b.Cleanup(proxyServer.Close)
	relayServer := benchRelay(b, upstream.Listener.Addr().String())
	for _, path := range []string{"/safe/x", "/stream/x"} {
		for name, server := range map[string]*httptest.Server{"relay": relayServer, "reverse-proxy": proxyServer, "none": upstream} {
			b.Run(name+path, func(b *testing.B) { benchCalls(b, server.URL+path) })
		}
	}
}

func benchCalls(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r, err := http.NewRequest(http.MethodPost, address, http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Request", fmt.Sprint(i))
		r.Header.Set("Key", "secret")
		r.Header.Set("Model", "m")
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || n == 0 {
			b.Fatalf("status %d, %d bytes, %v", resp.StatusCode, n, err)
		}
	}
}

// BenchmarkShares is the decision whether the customer of an arriving request is over its share.
func BenchmarkShares(b *testing.B) {
	for _, customers := range []int{8, 24, 1000} {
		b.Run(fmt.Sprintf("%d-customers", customers), func(b *testing.B) {
			s := relay.New(headerNames(), transport.TCP())
			s.SetCustomerShares(nil)
			cfg := timedConfig()
			s.SetConfig(cfg)
			note := relay.ShareNoter(s, &cfg.Routes[2], "m")
			list := make([]httproute.Customer, customers)
			table := &siteload.Table{}
			for i := range list {
				list[i].Name = ident.Customer(fmt.Sprintf("customer-%04d", i))
				note(&list[i])
			}
			table.Apply(s.Now(), "a", s.CollectLoad())
			s.SetSiteLoad(table.Summary(s.Now()))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				note(&list[i%customers])
			}
		})
	}
}

// BenchmarkChoose is one choice of a group among many, also while one of them has requested a backoff.
func BenchmarkChoose(b *testing.B) {
	for _, tt := range []struct{ groups, backedOff int }{{16, 0}, {200, 0}, {200, 1}} {
		groups := tt.groups
		b.Run(fmt.Sprintf("%d-groups-%d-backed-off", groups, tt.backedOff), func(b *testing.B) {
			s := relay.New(headerNames(), transport.TCP())
			cfg := timedConfig()
			s.SetConfig(cfg)
			d := roster.Delta{Full: true, Revision: 1}
			for i := range groups {
				id := ident.Incarnation(fmt.Sprintf("i-%08x", i))
				d.Upstreams = append(d.Upstreams, roster.Upstream{ID: id, Service: "model", Address: "a", Slots: 26})
				d.Groups = append(d.Groups, roster.Group{
					Name: ident.Group(id), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
				})
			}
			s.ApplyRoster(&d)
			for i := range tt.backedOff {
				s.Backoff.NoteRefusal(s.Now(), ident.Incarnation(fmt.Sprintf("i-%08x", i)), time.Minute)
			}
			choose := relay.GroupChooser(s, &cfg.Routes[2], "m", 1000)
			b.ReportAllocs()
			for b.Loop() {
				if err := choose(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
