package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	defaultCallers = 12
	callerWait     = 6 * time.Second
	callerPause    = 25 * time.Millisecond
	// siteHost is the host of every route.
	siteHost = "site.test"
	// stableKey is valid in every configuration.
	stableKey = "stable-key"
)

// caller sends one request after the other, over one connection as long as it lasts.
type caller struct {
	s      *soak
	name   string
	random *rand.Rand
	entry  *daemon
	client *http.Client
	sent   int
	// slow is set for a caller that pauses for seconds between two requests on one connection.
	slow bool
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.entry == nil && !c.choose(ctx) {
			pause(ctx, callerPause)
			continue
		}
		c.one(ctx)
		pause(ctx, c.nextPause())
	}
}

func (c *caller) nextPause() time.Duration {
	longest := 2 * callerPause
	if c.slow {
		longest = slowCallerPause
	}
	return time.Duration(c.random.Int64N(int64(longest)))
}

// choose picks an entry that says it is ready, as a balancer does for each new connection.
func (c *caller) choose(ctx context.Context) bool {
	d := c.s.entries[c.random.IntN(len(c.s.entries))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _, err := call(ctx, http.MethodGet, "http://"+d.cfg.Listen.Ready+platform.ReadyPath, nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	c.entry = d
	c.client = transport.New(transport.KeepAlive, transport.TCP())
	return true
}

func (c *caller) moveAway() {
	if c.client == nil {
		return
	}
	c.client.CloseIdleConnections()
	c.entry, c.client = nil, nil
}

// promptSubjects is how many second parts the prompts have.
const promptSubjects = 20

type kind struct {
	path       string
	repeatable bool
	stream     bool
	weight     int
}

var kinds = []kind{
	{"/stream/x", true, true, 60}, {"/once/x", false, true, 10}, {"/pay/x", false, false, 20}, {"/look/x", true, false, 10},
}

func (c *caller) pick() kind {
	n := c.random.IntN(100)
	for _, k := range kinds {
		if n < k.weight {
			return k
		}
		n -= k.weight
	}
	return kinds[0]
}

// key is mostly the stable one; the others may be new, old or gone.
func (c *caller) key() string {
	if c.random.IntN(100) < 70 {
		return stableKey
	}
	return keyOf(uint64(c.s.truth.newestAccepted()) - uint64(c.random.IntN(4)))
}

func (c *caller) one(ctx context.Context) {
	c.sent++
	k := c.pick()
	r := &request{id: c.name + "-" + strconv.Itoa(c.sent), repeatable: k.repeatable, key: c.key()}
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := c.request(ctx, k, r, []byte(r.id))
	if err != nil {
		c.s.truth.breaksf("a request cannot be built: %v", err)
		return
	}
	do := c.client.Do
	if c.s.Stops && c.random.Float64() < slowBodyFraction {
		wait := between(c.random, 0, slowBodyTime)
		do = func(req *http.Request) (*http.Response, error) { return c.doSlowly(ctx, req, wait) }
	}
	at := c.entry
	c.s.truth.sends(r)
	resp, err := do(req)
	if err != nil && ctx.Err() != nil {
		c.s.truth.answered("caller left")
		c.moveAway()
		return
	}
	if err != nil {
		c.lost(r, at, "no answer: "+err.Error())
		return
	}
	defer resp.Body.Close()
	c.judge(ctx, k, r, at, resp)
	if resp.Close {
		c.moveAway()
	}
}

func (c *caller) request(ctx context.Context, k kind, r *request, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.link.address()+k.path, transport.OneShotBody(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	r.from = senderOf(c.entry)
	req.Host = siteHost
	names := platform.HeaderNames()
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Key, r.key)
	req.Header.Set(names.Deadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
	req.Header.Set(names.Tokens, "100,100")
	req.Header.Set(names.PromptParts, promptParts("5"+strconv.Itoa(c.random.IntN(promptSubjects)), r.id))
	req.Header.Set(names.Model, string(models[c.random.IntN(len(models))].Name))
	return req, nil
}

func (c *caller) judge(ctx context.Context, k kind, r *request, at *daemon, resp *http.Response) {
	switch resp.StatusCode {
	case http.StatusOK:
		c.success(ctx, k, r, at, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.s.truth.refused(r)
		if text, _ := io.ReadAll(resp.Body); strings.Contains(string(text), partHeldCode) {
			c.s.truth.answered("sound, held by a part")
		}
		c.s.truth.answered("refused")
		// A caller waits as told, but not for long.
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		pause(ctx, min(time.Duration(wait*float64(time.Second)), time.Second))
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if r.key == stableKey {
			c.s.truth.breaksf("%s answers %d to request %s, which every configuration allows", at.name, resp.StatusCode, r.id)
		}
		c.s.truth.answered("denied")
	default:
		if text, _ := io.ReadAll(resp.Body); strings.Contains(string(text), heldCode) {
			c.s.truth.breaksf("%s holds request %s, whose body nobody sent before", at.name, r.id)
		}
		c.s.truth.answered("failed " + strconv.Itoa(resp.StatusCode))
	}
}

func (c *caller) success(ctx context.Context, k kind, r *request, at *daemon, resp *http.Response) {
	if got := resp.Header.Get(platform.HeaderNames().RequestID); got != r.id {
		c.s.truth.breaksf("%s answers request %s with the answer to %q", at.name, r.id, got)
	}
	if resp.Header.Get(platform.HeaderNames().Signature) == "" {
		c.s.truth.breaksf("the answer to %s has no signature", r.id)
	}
	err := c.whole(k, r, resp.Body)
	switch {
	case err == nil:
		c.s.truth.answered("whole")
	case ctx.Err() != nil:
		c.s.truth.answered("caller left")
	default:
		c.lost(r, at, err.Error())
	}
}

// whole reads an answer; the error tells that it broke off, anything else that is wrong breaks a promise.
func (c *caller) whole(k kind, r *request, body io.Reader) error {
	if !k.stream {
		text, err := io.ReadAll(body)
		if err == nil && string(text) != plainBody(r.id) {
			c.s.truth.breaksf("the answer to %s is %q", r.id, text)
		}
		return err
	}
	br := bufio.NewReader(body)
	for n := 1; ; n++ {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := br.ReadString('\n')
			event.WriteString(line)
			if err == io.EOF && event.Len() == 0 {
				if n-1 != eventsOf(r.id) {
					c.s.truth.breaksf("the stream of %s ends as if whole after %d of %d events", r.id, n-1, eventsOf(r.id))
				}
				return nil
			}
			if err != nil {
				return fmt.Errorf("after %d events: %w", n-1, err)
			}
		}
		if got := event.String(); got != eventOf(r.id, n) {
			c.s.truth.breaksf("event %d of %s is %q", n, r.id, got)
			return nil
		}
	}
}

// check reports whether the entry d gives the whole answer to one request.
func (c *caller) check(ctx context.Context, d *daemon, k kind) bool {
	c.sent++
	c.entry, c.client = d, transport.New(transport.Fresh, transport.TCP())
	r := &request{id: c.name + "-" + strconv.Itoa(c.sent), repeatable: k.repeatable, key: stableKey}
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := c.request(ctx, k, r, []byte(r.id))
	if err != nil {
		return false
	}
	c.s.truth.sends(r)
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && c.whole(k, r, resp.Body) == nil
}

// lost notes an answer that did not come whole; where only planned things happen, none may be lost that had begun.
func (c *caller) lost(r *request, at *daemon, why string) {
	c.s.truth.answered("lost")
	c.moveAway()
	c.s.truth.mu.Lock()
	defer c.s.truth.mu.Unlock()
	if onWay := time.Since(r.sent); c.s.Stops && r.runs == 0 && onWay > unansweredLimit && c.s.ctx.Err() == nil {
		c.s.truth.noteBrokenf("%s closed the connection of request %s without an answer, %v after it was sent: %s", at.name, r.id, onWay, why)
	}
	if c.s.Stops && time.Since(r.sent) > callerWait-deadlineSlack {
		c.s.truth.answers["deadline"]++
		return
	}
	if c.s.Stops && at.cutWithGrace(r.sent, c.s.stopGrace()) {
		c.s.truth.answers["cut at the end of the grace"]++
		return
	}
	if c.s.Planned && r.runs > 0 && c.s.ctx.Err() == nil {
		c.s.truth.noteBrokenf("request %s at %s was cut off although only planned things happen: %s", r.id, at.name, why)
	}
}

// keyOf is the key that configuration n brings.
func keyOf(n uint64) string {
	return fmt.Sprintf("key-%d", n)
}

// customer owns all keys.
const customer ident.Customer = "office"
