package soak

// Series of planned stops. With Plan.Stops, streams last as long as the routes
// allow, entries are stopped several at a time, and callers use their connections
// until the process is gone: some pause between two requests, and some send their
// bodies slowly.

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// longEventTime makes streams last 0.6 to 4.4 s.
	longEventTime = 200 * time.Millisecond
	longStopGrace = 8 * time.Second
	// maxStopsAtOnce and maxStopGap bound a series: how many entries, and the time between two of them.
	maxStopsAtOnce = 3
	maxStopGap     = 700 * time.Millisecond
	// maxStartedFor is how long after its start an entry may be stopped again.
	maxStartedFor = 1500 * time.Millisecond
	// slowCallerFraction is the fraction of the callers that pause for up to slowCallerPause, slowBodyFraction the fraction of the bodies that
	// take up to slowBodyTime.
	slowCallerFraction = 0.4
	slowCallerPause    = 4 * time.Second
	slowBodyFraction   = 0.1
	slowBodyTime       = 1500 * time.Millisecond
	// sentSoon is how long after SIGTERM callers may still be sent to an entry.
	sentSoon = 3 * time.Second
	// deadlineSlack is how much sooner than its caller an entry may find that the deadline has passed, on a busy machine.
	deadlineSlack = 100 * time.Millisecond
	// unansweredLimit is how long a request may have been on its way when its connection is closed without an answer.
	unansweredLimit = 200 * time.Millisecond
)

// eventTime is the time between two events of a stream.
func (p *Plan) eventTime() time.Duration {
	if p.Stops {
		return longEventTime
	}
	return shortEventTime
}

func (p *Plan) stopGrace() time.Duration {
	if p.Stops {
		return longStopGrace
	}
	return shortStopGrace
}

// stopEntries stops several entries, and some of them again right after their start; one at least goes on.
func (s *soak) stopEntries(ctx context.Context, random *rand.Rand) string {
	var names []string
	most := min(maxStopsAtOnce, len(s.entries)-1)
	for _, i := range random.Perm(len(s.entries))[:1+random.IntN(max(1, most))] {
		d := s.entries[i]
		if !s.othersServe(d) {
			continue
		}
		if name := s.stop(d); name != "" {
			names = append(names, name)
		}
		pause(ctx, time.Duration(random.Int64N(int64(maxStopGap))))
	}
	return strings.Join(names, ", ")
}

// cutWithGrace reports whether a request that was just cut, and was sent soon after its entry had been sent SIGTERM, ran until the last
// sixth of the grace: such requests are not promised an end.
func (d *daemon) cutWithGrace(sent time.Time, grace time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping && sent.Sub(d.stoppedAt) <= sentSoon && time.Since(d.stoppedAt) >= grace*5/6
}

// othersServe reports whether an entry other than d runs and is not stopping.
func (s *soak) othersServe(d *daemon) bool {
	for _, other := range s.entries {
		if life, _, stopping := other.state(); other != d && life > 0 && !stopping {
			return true
		}
	}
	return false
}

// stopStarted stops an entry that has just started.
func (s *soak) stopStarted(_ context.Context, random *rand.Rand) string {
	for _, i := range random.Perm(len(s.entries)) {
		d := s.entries[i]
		if life, since, stopping := d.state(); life > 1 && !stopping && time.Since(since) < maxStartedFor && s.othersServe(d) {
			return s.stop(d)
		}
	}
	return ""
}

// stopLeader stops the control daemon that leads.
func (s *soak) stopLeader(ctx context.Context, _ *rand.Rand) string {
	var peers []string
	controls := s.controlDaemons()
	for _, d := range controls {
		peers = append(peers, d.cfg.PeerAddress())
	}
	state, err := site.Inspect(ctx, transport.TCP(), peers)
	if err != nil {
		return ""
	}
	for _, d := range controls {
		if d.cfg.PeerAddress() == state.Leader {
			return s.stop(d)
		}
	}
	return ""
}

// doSlowly sends a request on a connection of its own and pauses within its body. net/http would send the head of the request with its body.
func (c *caller) doSlowly(ctx context.Context, req *http.Request, wait time.Duration) (*http.Response, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.entry.link.address())
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, err
	}
	part := text.Len() - int(req.ContentLength/2)
	type answer struct {
		resp *http.Response
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), req) //nolint:bodyclose // one closes the body of every answer.
		answered <- answer{resp, err}
	}()
	_, _ = conn.Write(text.Next(part))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var got answer
	select {
	case got = <-answered:
	case <-timer.C:
		_, _ = conn.Write(text.Bytes())
		got = <-answered
	}
	resp, err := got.resp, got.err
	if err != nil {
		conn.Close()
		return nil, err
	}
	resp.Close = true
	return resp, nil
}

// maxInterruptionNotes bounds the log lines in the notes of a run.
const maxInterruptionNotes = 20

// noteInterruptions adds to the notes what entries logged of the answers that they did not complete.
func (s *soak) noteInterruptions() {
	noted := 0
	for _, d := range s.entries {
		text, err := os.ReadFile(filepath.Join(s.Folder, string(d.name)+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"answer interrupted"`) && noted < maxInterruptionNotes {
				s.notef("%s: %s", d.name, strings.TrimSpace(line))
				noted++
			}
		}
	}
}
