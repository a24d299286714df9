package soak

// Upstreams that name how many requests a second they take from all entries
// together, in every form, and count what reaches them. What is far beyond a
// limit breaks a promise; how far the worst span was beyond it is reported, also
// where it broke none.

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// limitSpan is the span in which limitFactor times what a limit allows, and limitMore requests, may reach an upstream, from limitKnown
	// after its first word on.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitMore   = 5
	limitKnown  = 3 * time.Second
	// limitTold is how long before a request its entry must have passed on an answer with the limit for it to count.
	limitTold = 500 * time.Millisecond
	// limitMost is the highest limit that is named, oddPart the part of the answers whose word can't be read.
	limitMost = 8.0
	oddPart   = 0.05
)

// unreadWord is a header that nothing reads, which every answer has.
const unreadWord = "Soak-Hint"

// naming is a limit that an upstream names.
type naming struct {
	limit float64
	// since is when it first named this limit, told when each entry was first told of one.
	since time.Time
	told  map[sender]time.Time
	// came are the requests of all entries, counted those of entries that it had told.
	came, counted []time.Time
}

// LimitRun is what became of one limit that an upstream named.
type LimitRun struct {
	Upstream ident.Incarnation
	Limit    float64
	Lasted   time.Duration
	// Came is how many requests reached it once all could know of the limit, Beyond by how many more than its rate in the span where that
	// was most.
	Came   int
	Beyond float64
}

// limits lets an upstream name limits for a while: one, then a higher or a lower one, or none.
func (s *soak) limits(ctx context.Context, random *rand.Rand) string {
	e := s.someServing(random)
	if e == nil {
		return ""
	}
	steps := []float64{0.3 + random.Float64()*limitMost}
	for random.IntN(2) == 0 {
		steps = append(steps, float64(random.IntN(3))*random.Float64()*limitMost)
	}
	wait := time.Duration(0)
	for _, limit := range steps {
		s.after(ctx, wait, func() { e.names(limit) })
		wait += between(random, 4*time.Second, 9*time.Second)
	}
	s.after(ctx, wait, func() { e.names(-1) })
	return fmt.Sprintf("%s, %.2f a second, for %v", e.id, steps, wait)
}

// someServing returns an upstream that gets requests: a worker of the plain service, or the head of an open group.
func (s *soak) someServing(random *rand.Rand) *engine {
	var list []*engine
	for _, e := range s.alive() {
		p := e.place()
		if e.service == plainService || p.State == roster.MemberOpen && p.Rank == 0 {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return one(random, list)
}

// names lets an upstream name a limit from now on, none when it is negative.
func (e *engine) names(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.concludeLimit()
	if limit < 0 {
		e.naming = nil
		return
	}
	told := map[sender]time.Time{}
	if e.naming != nil {
		told = e.naming.told
	}
	e.naming = &naming{limit: limit, since: time.Now(), told: told}
}

// concludeLimit reports what became of the limit that is named; the mutex is held.
func (e *engine) concludeLimit() {
	n := e.naming
	if n == nil || time.Since(n.since) < limitKnown {
		return
	}
	run := LimitRun{Upstream: e.id, Limit: n.limit, Lasted: time.Since(n.since) - limitKnown, Came: len(n.came), Beyond: n.beyond()}
	e.truth.mu.Lock()
	defer e.truth.mu.Unlock()
	e.truth.limits = append(e.truth.limits, run)
}

// beyond returns by how many requests more than the limit came in the span where that was most.
func (n *naming) beyond() float64 {
	most, lowest := 0.0, 0.0
	for i, at := range n.came {
		over := float64(i) - n.limit*at.Sub(n.came[0]).Seconds()
		lowest = min(lowest, over)
		most = max(most, over-lowest+1)
	}
	return most
}

// seesUnread checks that operators were told of the word that nothing reads.
func (s *soak) seesUnread() {
	for _, d := range s.entries {
		content, err := os.ReadFile(filepath.Join(s.Folder, string(d.name)+".log"))
		if err == nil && bytes.Contains(content, []byte(`"word":"`+unreadWord+`"`)) {
			return
		}
	}
	s.truth.breaksf("no entry has told of %s, which every answer has and nothing reads", unreadWord)
}

// sayLimit names the limit in an answer to an entry, and now and then something that can't be read; the mutex is held.
func (e *engine) sayLimit(h http.Header, now time.Time, from sender) {
	h.Set(unreadWord, "1")
	if e.naming == nil {
		return
	}
	text := strconv.FormatFloat(e.naming.limit, 'f', 2, 64)
	if e.random.Float64() < oddPart {
		text = "few"
	}
	h.Set(platform.HeaderNames().Backpressure.Limit, text)
	if _, ok := e.naming.told[from]; !ok {
		e.naming.told[from] = now.Add(workTime)
	}
}

// countLimited counts a request against the limit that is named, and tells what is broken by it; the mutex is held.
func (e *engine) countLimited(now time.Time, from sender) (broken string) {
	n := e.naming
	if n == nil || now.Sub(n.since) < limitKnown {
		return ""
	}
	n.came = append(n.came, now)
	if told, ok := n.told[from]; !ok || now.Sub(told) < limitTold {
		return ""
	}
	n.counted = append(n.counted, now)
	in := 0
	for i := len(n.counted) - 1; i >= 0 && now.Sub(n.counted[i]) < limitSpan; i-- {
		in++
	}
	if allowed := limitFactor*n.limit*limitSpan.Seconds() + limitMore; float64(in) > allowed && e.asksWatched {
		return fmt.Sprintf("the %d. in %v at a limit of %.2f a second, allowed %.0f", in, limitSpan, n.limit, allowed)
	}
	return ""
}
