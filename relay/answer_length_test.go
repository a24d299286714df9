package relay_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// lengthEntry starts an entry with one group, whose answers have that many events of 5 tokens.
func lengthEntry(t *testing.T, events int) *testEntry {
	t.Helper()
	s := newTestEntry(t, nil, []*upstream{newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		switch r.Header.Get("Request") {
		case "broken":
			respondStream(c, r, 1, events, false)
			return false
		case "failed":
			_, err := io.WriteString(c, answerHead(r, 500, signature, "Content-Length: 0"))
			return err == nil
		}
		from, err := strconv.Atoi(r.Header.Get("Event"))
		if err != nil {
			from = 0
		}
		return respondStream(c, r, from+1, events, true)
	}))})
	cfg := timedConfig()
	cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 100, Answer: 116}
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	s.relay.KeyValidity = time.Hour
	return s
}

// expectedAnswer returns the expected tokens of the answer in the demand of one more request.
func (s *testEntry) expectedAnswer(tokens, estimate string) ident.Tokens {
	s.t.Helper()
	s.relay.CollectObservations()
	s.send("probe", tokens, estimate)
	_, demand := s.relay.CollectObservations()
	return demand["m"].Answer
}

// send sends a request for a stream.
func (s *testEntry) send(id, tokens, estimate string) {
	s.t.Helper()
	r := s.request("POST", "/stream/x", id, "")
	r.Header.Set("Tokens", tokens)
	r.Header.Set("Estimate", estimate)
	s.do(r)
}

// Guards against demand that follows callers' estimates which are far off, and against streams that ended early counting as short answers.
func TestExpectedAnswerFollowsWrittenAnswers(t *testing.T) {
	for _, tt := range []struct {
		name     string
		events   int
		id       string
		event    string
		estimate string
		probe    []string
		want     ident.Tokens
	}{
		{"answers three times as long as estimated", 30, "a", "", "50", []string{"100,1000", "100"}, 287},
		{"a maximum below the expected answer", 30, "a", "", "50", []string{"100,200", "100"}, 194},
		{"no estimates", 30, "a", "", "", []string{"100,1000", ""}, 148},
		{"a fifth of the estimate", 2, "a", "", "50", []string{"100,1000", "100"}, 25},
		{"streams that break", 2, "broken", "", "50", []string{"100,1000", "100"}, 100},
		{"requests that fail", 2, "failed", "", "50", []string{"100,1000", "100"}, 100},
		{"streams that callers continue", 30, "a", "28", "50", []string{"100,1000", "100"}, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := lengthEntry(t, tt.events)
			for range 500 {
				r := s.request("POST", "/stream/x", tt.id, "")
				r.Header.Set("Tokens", "100,1000")
				r.Header.Set("Estimate", tt.estimate)
				r.Header.Set("Event", tt.event)
				s.do(r)
			}
			got := s.expectedAnswer(tt.probe[0], tt.probe[1])
			if got < tt.want*95/100 || got > tt.want*105/100 {
				t.Errorf("expected %d tokens, want %d", got, tt.want)
			}
		})
	}
}

// Guards against entries that each know only the few answers of a rare class that they have forwarded.
func TestAnswerLengthsAreShared(t *testing.T) {
	table := &siteload.Table{}
	now := time.Now()
	for i := range 20 {
		s := lengthEntry(t, 30)
		for range 5 {
			s.send("a", "100,1000", "50")
		}
		table.Apply(now, strconv.Itoa(i), s.relay.CollectLoad())
	}
	s := lengthEntry(t, 30)
	summary := table.Summary(now)
	summary.Answers = table.Answers(now)
	s.relay.SetSiteLoad(summary)
	got := s.expectedAnswer("100,1000", "100")
	s.relay.SetSiteLoad(&siteload.Summary{})
	withoutAnswers := s.expectedAnswer("100,1000", "100")
	if got < 230 || got > 300 || withoutAnswers < 230 || withoutAnswers > 300 {
		t.Errorf("expected %d tokens at an entry without answers of its own, %d after a summary without lengths; want about 250 of 300", got, withoutAnswers)
	}
}

// Guards against demand that a caller raises with absurd token counts: the sum would overflow.
func TestExpectedAnswerIsBounded(t *testing.T) {
	s := lengthEntry(t, 30)
	for range 50 {
		s.send("a", "100,1000", "5")
	}
	const capacity = 1 << 20
	if got := s.expectedAnswer("100", "999999999999999"); got > capacity {
		t.Errorf("expected %d tokens, want at most %d", got, capacity)
	}
}
