package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	changePause = 900 * time.Millisecond
	// orderPatience is how long an operator waits for an answer before the order goes to another daemon.
	orderPatience = time.Second
	changeLimit   = 3 * time.Second
	// readSlack is how old what is read back may be.
	readSlack = 2 * time.Second
	// operatorCount is how many operators change the configuration at the same time.
	operatorCount = 2
	// rounds is of how many changes one is followed by an order of another kind.
	rounds = 3
)

// change offers configurations one after the other, each until it is acknowledged; other operators do the same.
func (s *soak) change(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		n := s.offered.Add(1 + uint64(random.IntN(3)))
		body := configOf(n, s.Routes)
		for ctx.Err() == nil && !s.offer(ctx, random, body) {
			pause(ctx, probePause)
		}
		if ctx.Err() != nil {
			return
		}
		s.truth.accepted(httproute.Version(n))
		s.notef("version %d accepted", n)
		s.offerOthers(ctx, random, n)
		pause(ctx, time.Duration(random.Int64N(int64(2*changePause))))
	}
}

// offer sends an order to one daemon, and to another one while the first does not answer.
func (s *soak) offer(ctx context.Context, random *rand.Rand, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	answers := make(chan bool, 2)
	first, second := one(random, s.controlDaemons()), one(random, s.controlDaemons())
	s.tasks.Go(func() { answers <- s.order(ctx, first, body) })
	timer := time.NewTimer(orderPatience)
	defer timer.Stop()
	select {
	case ok := <-answers:
		return ok
	case <-timer.C:
	}
	s.tasks.Go(func() { answers <- s.order(ctx, second, body) })
	if <-answers {
		return true
	}
	return <-answers
}

// order sends a valid configuration to a daemon and reports whether that acknowledges it.
func (s *soak) order(ctx context.Context, d *daemon, body []byte) bool {
	status, text, err := call(ctx, http.MethodPost, "http://"+d.calls.address()+platform.ReplaceConfigPath, body)
	if err == nil && status >= 400 && status < 500 {
		s.truth.breaksf("%s refuses a valid configuration with %d %s", d.name, status, text)
	}
	return err == nil && status == http.StatusOK
}

// offerOthers sends what must change nothing: a wrong configuration, an older one once more, and another one under an acknowledged version.
func (s *soak) offerOthers(ctx context.Context, random *rand.Rand, n uint64) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	if random.IntN(rounds) == 0 {
		s.offerWrong(ctx, random, n)
	}
	if random.IntN(rounds) == 0 {
		s.order(ctx, one(random, s.controlDaemons()), configOf(n, s.Routes))
	}
	if older := s.truth.someAccepted(random); older > 0 && random.IntN(rounds) == 0 {
		s.order(ctx, one(random, s.controlDaemons()), configOf(uint64(older), s.Routes))
	}
	if random.IntN(rounds) == 0 {
		other := configOf(n+wrongVersions, 0)
		s.order(ctx, one(random, s.controlDaemons()), withVersion(other, n))
	}
}

// withVersion returns a configuration under another version.
func withVersion(body []byte, n uint64) []byte {
	var cfg map[string]json.RawMessage
	// What the soak has encoded can be read and encoded again.
	_ = json.Unmarshal(body, &cfg)
	cfg["version"], _ = json.Marshal(n)
	out, _ := json.Marshal(cfg)
	return out
}

func (s *soak) offerWrong(ctx context.Context, random *rand.Rand, n uint64) {
	body, name := wrongConfig(random, n, s.Routes)
	d := one(random, s.controlDaemons())
	status, _, err := call(ctx, http.MethodPost, "http://"+d.calls.address()+platform.ReplaceConfigPath, body)
	if err == nil && status == http.StatusOK {
		s.truth.breaksf("%s acknowledges a configuration with %s", d.name, name)
	}
}

// readBack reads the configuration at any control daemon; what was acknowledged well before must be in it.
func (s *soak) readBack(ctx context.Context, random *rand.Rand) (httproute.Version, bool) {
	d := one(random, s.controlDaemons())
	least := s.truth.newestAccepted()
	pause(ctx, readSlack)
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	status, body, err := call(ctx, http.MethodGet, "http://"+d.calls.address()+platform.ReadConfigPath, nil)
	if err != nil || status != http.StatusOK {
		return 0, false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		s.truth.breaksf("what %s has cannot be read: %v", d.name, err)
		return 0, false
	}
	if string(configOf(got.Version, s.Routes)) != string(body) {
		s.truth.breaksf("%s has something else under version %d than was sent", d.name, got.Version)
	}
	if httproute.Version(got.Version) < least {
		s.truth.breaksf("%s has version %d, and %d was acknowledged %v before", d.name, got.Version, least, readSlack)
	}
	return httproute.Version(got.Version), true
}
