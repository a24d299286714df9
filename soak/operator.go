package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	changePause = 900 * time.Millisecond
	changeLimit = 3 * time.Second
	probePause  = 60 * time.Millisecond
	// inForce is when an accepted configuration must be in force at daemons that nothing disturbs.
	inForce = 3 * time.Second
	// probedBack is how many versions back are asked for: more than are accepted within inForce.
	probedBack = 25
	// readSlack is how old what is read back may be.
	readSlack = 2500 * time.Millisecond
	// keysKept is how many configurations a key is in.
	keysKept = 2
)

// configOf returns configuration n: the routes of all, one route of its own, and the newest keys.
func configOf(n uint64) (body []byte, keys []string) {
	route := func(name ident.Class, k httproute.Kind, service ident.Service, resumable bool) httproute.Route {
		return httproute.Route{
			Name: name, Host: siteHost, Prefix: "/" + string(name) + "/", Kind: k, Resumable: resumable, Timeout: callerWait, Aim: time.Second,
			GapAim: 300 * time.Millisecond, Attempts: 2, Split: []httproute.Share{{Service: service, Weight: 1}},
		}
	}
	cfg := &httproute.Config{
		Version: httproute.Version(n),
		Routes: []httproute.Route{
			route("stream", httproute.KindStream, modelService, true), route("once", httproute.KindStream, modelService, false),
			route("pay", httproute.KindUnsafe, plainService, false), route("look", httproute.KindSafe, plainService, false),
			route(ident.Class(fmt.Sprintf("v%d", n)), httproute.KindSafe, plainService, false),
		},
		Services: []httproute.Service{
			{Name: plainService, HealthPath: "/healthz", MaxConnections: 100},
			{Name: modelService, HealthPath: "/healthz", MaxConnections: 100, Engine: &httproute.Engine{
				Slots: slots, Stride: 1, Step: time.Millisecond, ReadRate: 10000, LoadsPerSecond: 50, ConcurrentLoads: 50, FarFactor: 3, Models: models,
			}},
		},
		Customers: []httproute.Customer{{Name: customer}},
		Limits:    httproute.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	cfg.Routes[4].Public = true
	keys = []string{stableKey}
	for i := range uint64(keysKept) {
		keys = append(keys, keyOf(n-i))
	}
	return platform.EncodeConfig(cfg, map[ident.Customer][]string{customer: keys}), keys
}

// change offers configurations one after the other, each until it is acknowledged.
func (s *soak) change(ctx context.Context, random *rand.Rand) {
	for n := uint64(firstVersion); ctx.Err() == nil; n += 1 + uint64(random.IntN(3)) {
		body, keys := configOf(n)
		s.offered.Store(n)
		for ctx.Err() == nil && !s.offer(ctx, random, body) {
			pause(ctx, probePause)
		}
		if ctx.Err() == nil {
			s.truth.accepted(httproute.Version(n), keys)
			s.notef("version %d accepted", n)
		}
		s.offerWrong(ctx, random, n)
		pause(ctx, time.Duration(random.Int64N(int64(2*changePause))))
	}
}

func (s *soak) offer(ctx context.Context, random *rand.Rand, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	d := s.controls[random.IntN(len(s.controls))]
	status, text, err := call(ctx, http.MethodPost, "http://"+d.calls.address()+platform.PutPath, body)
	if err == nil && status >= 400 && status < 500 {
		s.truth.breaksf("%s refuses a valid configuration with %d %s", d.name, status, text)
	}
	return err == nil && status == http.StatusOK
}

// offerWrong offers a configuration with a route to a service that does not exist.
func (s *soak) offerWrong(ctx context.Context, random *rand.Rand, n uint64) {
	if random.IntN(4) > 0 {
		return
	}
	body, _ := configOf(n + wrongVersions)
	text := strings.Replace(string(body), `"service":"`+string(plainService)+`","weight"`, `"service":"nowhere","weight"`, 1)
	if text == string(body) {
		s.truth.breaksf("the wrong configuration is the right one")
	}
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	d := s.controls[random.IntN(len(s.controls))]
	status, _, err := call(ctx, http.MethodPost, "http://"+d.calls.address()+platform.PutPath, []byte(text))
	if err == nil && status == http.StatusOK {
		s.truth.breaksf("%s acknowledges a route to no service", d.name)
	}
}

const (
	firstVersion = 10
	// wrongVersions are so far above all others that one in force would show.
	wrongVersions = 1_000_000
)

// readBack reads the configuration at any control daemon; what was acknowledged well before must be in it.
func (s *soak) readBack(ctx context.Context, random *rand.Rand) (httproute.Version, bool) {
	d := s.controls[random.IntN(len(s.controls))]
	least := s.truth.newestAccepted()
	pause(ctx, readSlack)
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	status, body, err := call(ctx, http.MethodGet, "http://"+d.calls.address()+platform.GetPath, nil)
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
	want, _ := configOf(got.Version)
	if string(want) != string(body) {
		s.truth.breaksf("%s has something else under version %d than was sent", d.name, got.Version)
	}
	if httproute.Version(got.Version) < least {
		s.truth.breaksf("%s has version %d, and %d was acknowledged %v before", d.name, got.Version, least, readSlack)
	}
	return httproute.Version(got.Version), true
}

// probe asks one entry again and again for routes that only one configuration each has.
func (s *soak) probe(ctx context.Context, d *daemon, random *rand.Rand) {
	seen := map[int]uint64{}
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, probePause)
		newest := s.offered.Load()
		if newest == 0 {
			continue
		}
		life, since, stopping := d.state()
		version := max(firstVersion, newest-min(newest, uint64(random.IntN(probedBack))))
		before := seen[life]
		due := s.truth.acceptedBefore(time.Now().Add(-inForce))
		status := s.probeOnce(ctx, d, version, fmt.Sprintf("probe-%s-%d", d.name, i))
		now, _, _ := d.state()
		if now != life || life == 0 || status != http.StatusOK {
			continue
		}
		if version < before {
			s.truth.breaksf("%s serves version %d after version %d", d.name, version, before)
		}
		seen[life] = max(before, version)
		calm := s.Planned && !s.Untimed && !stopping && time.Since(since) > inForce
		if calm && httproute.Version(version) < due {
			s.truth.breaksf("%s serves version %d, and %d was accepted %v before", d.name, version, due, inForce)
		}
	}
}

func (s *soak) probeOnce(ctx context.Context, d *daemon, version uint64, id string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v%d/x", d.link.address(), version), http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = siteHost
	req.Header.Set(platform.Names().RequestID, id)
	s.truth.sends(&request{id: id, repeatable: true, from: senderOf(d)})
	resp, err := s.prober.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
