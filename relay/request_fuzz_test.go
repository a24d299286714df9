package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
)

// FuzzRequests sends requests with arbitrary headers to an entry: none makes it panic, and the next request is served.
func FuzzRequests(f *testing.F) {
	for _, seed := range [][]string{
		{"POST", "/stream/x", "800,40", "40", "6000", "3", "m", "body", "a0:1,5:2,7:3"},
		{"GET", "/safe/x", "", "", "", "", "", "", ""},
		{"POST", "/stream/x", "9223372036854775807,9223372036854775807", "9223372036854775807", "9223372036854775807", "9223372036854775807", "m", "b", ",:,"},
		{"POST", "/stream/x", "-1,-1", "-5", "-1", "-9", "m", "", "\xff:1,\xff:1"},
		{"POST", "/stream/x", ",", "NaN", "0", "x", "no such model", "\x00", ":9223372036854775807"},
		{"DELETE", "/once/x?a=%zz", "1e9,2", "3", "1", "00000000000000000000000000001", "m", "b", "A0"},
	} {
		f.Add(seed[0], seed[1], seed[2], seed[3], seed[4], seed[5], seed[6], seed[7], seed[8])
	}
	f.Fuzz(func(t *testing.T, method, path, tokens, estimate, deadline, event, model, body, parts string) {
		r, err := http.NewRequest(method, "http://h"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			t.Skip()
		}
		s, closeAll := newFuzzEntry()
		defer closeAll()
		r.RequestURI = r.URL.RequestURI()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for name, value := range map[string]string{
			"Tokens": tokens, "Estimate": estimate, "Deadline": deadline, "Event": event, "Model": model, "Request": "one", "Key": "secret", "Parts": parts,
		} {
			r.Header.Set(name, value)
		}
		serveWithoutPanic(t, s, r.WithContext(ctx))
		next := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("next"))
		next.Host = "h"
		for name, value := range map[string]string{"Request": "next", "Key": "secret", "Model": "m", "Tokens": "800,40", "Deadline": "6000"} {
			next.Header.Set(name, value)
		}
		if got := serveWithoutPanic(t, s, next); got != http.StatusOK {
			t.Errorf("the next request got status %d", got)
		}
		if _, demand := s.CollectObservations(); demand["m"].Prompt < 0 || demand["m"].Answer < 0 {
			t.Errorf("negative demand: %+v", demand["m"])
		}
	})
}

// serveWithoutPanic serves one request and returns its status; the only panic allowed is the one that aborts an answer.
func serveWithoutPanic(t *testing.T, s *relay.Relay, r *http.Request) int {
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil {
				if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					t.Fatalf("panic: %v", p)
				}
			}
		}()
		s.ServeHTTP(w, r)
	}()
	return w.Code
}

// newFuzzEntry returns an entry with two engines that answer at once.
func newFuzzEntry() (s *relay.Relay, closeAll func()) {
	var conns []net.Conn
	var mu sync.Mutex
	engine := &upstream{respond: always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 2, true) })}
	s = relay.New(headerNames(), func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, clientConn, serverConn)
		go engine.serve(serverConn)
		return clientConn, nil
	})
	s.KeyValidity = time.Hour
	s.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
	s.SetConfig(timedConfig())
	delta := roster.Delta{Full: true, Revision: 1}
	for _, id := range []ident.Incarnation{"h0", "h1"} {
		delta.Upstreams = append(delta.Upstreams, roster.Upstream{ID: id, Service: "model", Address: string(id), Slots: 4})
		delta.Groups = append(delta.Groups, roster.Group{
			Name: ident.Group("g" + id), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
		})
	}
	s.ApplyRoster(&delta)
	s.SetConfirmed(time.Now())
	return s, func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	}
}

// FuzzEntryUpdates sends arbitrary updates of other entries to an entry: none makes it panic, and the next request is served.
func FuzzEntryUpdates(f *testing.F) {
	f.Add("h0", int64(700), int64(0), int64(0), uint32(0), int64(0), 0)
	f.Add("h0", int64(0), int64(1<<62), int64(0), uint32(0), int64(0), 0)
	f.Add("h1", int64(0), int64(0), int64(-1<<62), uint32(0), int64(0), 0)
	f.Add("", int64(1<<62), int64(-5), int64(-5), uint32(1<<31), int64(-1<<62), 40)
	f.Fuzz(func(t *testing.T, head string, prompt, silentMS, progressAgeMS int64, cleared uint32, ageMS int64, crashes int) {
		s, closeAll := newFuzzEntry()
		defer closeAll()
		update := relay.EntryUpdate{Head: ident.Incarnation(head), PromptTokens: ident.Tokens(prompt), SilentMS: silentMS, ProgressAgeMS: progressAgeMS}
		if crashes > 0 {
			update.QuarantineReport = &quarantine.Report{Customer: "office", Content: quarantine.ContentOf("/stream/x", []byte("other")), Cleared: cleared, AgeMS: ageMS}
			for i := range min(crashes, 100) {
				update.QuarantineReport.Ends = append(update.QuarantineReport.Ends, quarantine.CrashID(i*i))
			}
		}
		for i := range 3 {
			s.Receive(update, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7))
		}
		next := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("next"))
		next.Host = "h"
		for name, value := range map[string]string{"Request": "next", "Key": "secret", "Model": "m", "Tokens": "800,40", "Deadline": "6000"} {
			next.Header.Set(name, value)
		}
		if got := serveWithoutPanic(t, s, next); got != http.StatusOK {
			t.Errorf("the next request got status %d after %+v", got, update)
		}
	})
}
