package relay_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// The demand of a request counts the caller's estimate of the answer, bounded by the maximum tokens that the caller allows.
func TestDemand(t *testing.T) {
	for _, tt := range []struct {
		name     string
		tokens   string
		estimate string
		want     relay.Demand
	}{
		{"an estimate", "1460,335", "120", relay.Demand{Requests: 1, Prompt: 1460, Answer: 120}},
		{"an estimate above the maximum", "1460,80", "120", relay.Demand{Requests: 1, Prompt: 1460, Answer: 80}},
		{"no estimate", "1460,335", "", relay.Demand{Requests: 1, Prompt: 1460, Answer: 116}},
		{"no estimate, and a maximum below the typical answer", "1460,80", "", relay.Demand{Requests: 1, Prompt: 1460, Answer: 80}},
		{"not a number", "many,80", "few", relay.Demand{Requests: 1, Answer: 80}},
		{"nothing", "", "", relay.Demand{Requests: 1, Answer: 116}},
		{"a negative number", "-5,-1", "-1", relay.Demand{Requests: 1, Answer: 116}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t, nil, nil)
			cfg := config()
			cfg.Services[1].Engine.TypicalSize.Answer = 116
			s.relay.SetConfig(cfg)
			r := s.request("POST", "/stream/x", "1", "")
			r.Header.Set("Tokens", tt.tokens)
			r.Header.Set("Estimate", tt.estimate)
			s.do(r)
			_, demand := s.relay.CollectObservations()
			if diff := cmp.Diff(map[ident.Model]relay.Demand{"m": tt.want}, demand); diff != "" {
				t.Errorf("demand (-want +got):\n%s", diff)
			}
		})
	}
}
