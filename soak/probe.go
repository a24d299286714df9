package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	probePause = 60 * time.Millisecond
	// inForce is when an acknowledged configuration must be in force at daemons that nothing disturbs, inForceChange the same while
	// control daemons stop and start by plan, controlCalm how long after that.
	inForce       = 2 * time.Second
	inForceChange = 3 * time.Second
	controlCalm   = 4 * time.Second
	// probedBack is how many versions back are asked for: more than are accepted within inForce.
	probedBack = 25
	// hangEvery is of how many probes one goes to upstreams that don't answer.
	hangEvery = 50
	// hangSlack is how long after a route's time-out the final answer may come; hangMost of those that are later break the promise if they
	// are also over a quarter.
	hangSlack = 500 * time.Millisecond
	hangMost  = 8
	// routesLeast is how many requests on routes of one kind are compared with those of another.
	routesLeast = 20
)

// probes are what all probes of a run came to where nothing disturbed the daemon.
type probes struct {
	mu sync.Mutex
	// sent and served count requests on the first routes, on those that were added, and on those of the newest version.
	sent, served map[string]int
	// hung counts requests to upstreams that don't answer, late those whose answer came too late.
	hung, late int
}

func (p *probes) note(kind string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[kind]++
	if status == http.StatusOK {
		p.served[kind]++
	}
}

// report checks what the probes came to together.
func (p *probes) report(t *truth) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kind := range []string{"added", "newest"} {
		if p.sent[kind] >= routesLeast && p.served[kind]*p.sent["first"]*4 < p.served["first"]*p.sent[kind] {
			t.breaksf("%d of %d requests on %s routes are served, and %d of %d on the first", p.served[kind], p.sent[kind], kind, p.served["first"], p.sent["first"])
		}
	}
	if p.late >= hangMost && p.late*4 > p.hung {
		t.breaksf("%d of %d requests have no answer %v after their route's time-out", p.late, p.hung, hangSlack)
	}
}

// bound is when an acknowledged configuration must be in force now.
func (s *soak) bound() time.Duration {
	for _, d := range s.controlDaemons() {
		if _, since, stopping := d.state(); stopping || time.Since(since) < controlCalm {
			return inForceChange
		}
	}
	return inForce
}

// due is the newest version that must be in force now.
func (s *soak) due() uint64 {
	return uint64(s.truth.acceptedBefore(time.Now().Add(-s.bound())))
}

// prober asks one entry again and again for routes that only some configurations have.
type prober struct {
	s      *soak
	d      *daemon
	random *rand.Rand
	// seen is the newest version that was served in each life of the entry.
	seen map[int]uint64
	n    int
}

func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, probePause)
		if p.s.truth.newestAccepted() == 0 {
			continue
		}
		p.n++
		p.version(ctx)
		switch {
		case p.n%hangEvery == 0:
			p.hangs(ctx)
		case p.n%5 == 0:
			p.compare(ctx)
		}
	}
}

// calm reports whether nothing disturbs the entry, so that times are kept.
func (p *prober) calm() bool {
	_, since, stopping := p.d.state()
	return p.s.Planned && !p.s.Untimed && !stopping && !since.IsZero() && time.Since(since) > inForceChange
}

// version asks for the route of one version, mostly of one that is in force or was.
func (p *prober) version(ctx context.Context) {
	s := p.s
	due := s.due()
	version := p.pickVersion(due)
	life, _, _ := p.d.state()
	before, calm := p.seen[life], p.calm()
	status := p.ask(ctx, fmt.Sprintf("/v%d/x", version), "")
	if now, _, _ := p.d.state(); now != life || life == 0 {
		return
	}
	if status == http.StatusOK {
		p.seen[life] = max(before, version)
		if version < before {
			s.truth.breaksf("%s serves version %d after version %d", p.d.name, version, before)
		}
	}
	if !calm || !p.calm() {
		return
	}
	if status == http.StatusOK && version < due {
		s.truth.breaksf("%s serves version %d, and %d was acknowledged well before", p.d.name, version, due)
	}
	// A version that was offered meanwhile may be in force.
	if version != due || s.offered.Load() != due {
		return
	}
	s.probed.note("newest", status)
	if status == http.StatusNotFound {
		s.truth.breaksf("%s does not know the route of version %d, which was acknowledged well before", p.d.name, due)
	}
}

// pickVersion draws the version to ask for: the one that must be in force, or one of the newest.
func (p *prober) pickVersion(due uint64) uint64 {
	if due > 0 && p.random.IntN(4) == 0 {
		return due
	}
	newest := p.s.offered.Load()
	return max(firstVersion, newest-min(newest, uint64(p.random.IntN(probedBack))))
}

// compare asks for a first route and for one that was added.
func (p *prober) compare(ctx context.Context) {
	due := p.s.due()
	if !p.calm() || due < addedFrom {
		return
	}
	first := p.ask(ctx, "/look/x", stableKey)
	if !p.calm() {
		return
	}
	p.s.probed.note("first", first)
	if p.s.Routes > 0 {
		p.s.probed.note("added", p.ask(ctx, fmt.Sprintf("/added%d/x", p.random.IntN(p.s.Routes)), stableKey))
	}
}

// hangs sends a request to upstreams that don't answer, which the entry has to answer by the route's time-out.
func (p *prober) hangs(ctx context.Context) {
	due := p.s.due()
	if !p.calm() || due == 0 {
		return
	}
	began := time.Now()
	status := p.ask(ctx, "/hang/x", "")
	took := time.Since(began)
	longest := time.Duration(0)
	for n := due; n <= p.s.offered.Load(); n++ {
		longest = max(longest, hangTimeout(n))
	}
	if status == 0 && took < longest || !p.calm() {
		return
	}
	p.s.probed.mu.Lock()
	defer p.s.probed.mu.Unlock()
	p.s.probed.hung++
	if took > longest+hangSlack {
		p.s.probed.late++
	}
}

// ask sends one request and returns the status of the answer, 0 for none.
func (p *prober) ask(ctx context.Context, path, key string) int {
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.d.link.address()+path, http.NoBody)
	if err != nil {
		return 0
	}
	p.n++
	r := &request{id: fmt.Sprintf("probe-%s-%d", p.d.name, p.n), repeatable: path != "/hang/x", key: key, from: senderOf(p.d)}
	req.Host = siteHost
	names := platform.HeaderNames()
	req.Header.Set(names.RequestID, r.id)
	if key != "" {
		req.Header.Set(names.Key, key)
	}
	p.s.truth.sends(r)
	resp, err := p.s.prober.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// someAccepted returns a version that was acknowledged, 0 before the first.
func (t *truth) someAccepted(random *rand.Rand) httproute.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.history) == 0 {
		return 0
	}
	return one(random, t.history).version
}
