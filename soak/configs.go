package soak

// The configurations of the soak. What version n holds follows from n alone, so
// that every check can tell what any version allows:
//
//	/stream/      a route to the models, less urgent than the other one
//	/once/        the more urgent route to the same models
//	/vN/          a route of version N only, on a host whose case changes from version to version
//	/hang/        a route to upstreams that do not answer, whose time-out changes
//	/addedI/      routes that are added at version addedFrom and stay
//	key-N, N-1    keys that come and go beside one that stays

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	firstVersion = 10
	// addedFrom is the version from which on the configuration has its real size.
	addedFrom = firstVersion + 10
	// keysKept is how many configurations a key is in.
	keysKept = 2
	// wrongVersions are so far above all others that one in force would show.
	wrongVersions = 1_000_000
	// hangLeast and hangStep make the time-outs of the route whose upstreams don't answer.
	hangLeast = 200 * time.Millisecond
	hangStep  = 100 * time.Millisecond
	hangSteps = 4
	// urgentPriority and usualPriority are the priorities of the two routes to the models: most requests are less urgent, so that capacity
	// is kept from them.
	urgentPriority = 1
	usualPriority  = 2
)

// hangTimeout is the time-out of the route whose upstreams don't answer.
func hangTimeout(n uint64) time.Duration {
	return hangLeast + time.Duration(n%hangSteps)*hangStep
}

// keysOf are the keys that a version has.
func keysOf(n uint64) []string {
	keys := []string{stableKey}
	for i := range uint64(keysKept) {
		keys = append(keys, keyOf(n-i))
	}
	return keys
}

// configOf returns version n with so many added routes.
func configOf(n uint64, added int) []byte {
	route := func(name ident.Class, k httproute.Kind, service ident.Service, resumable bool) httproute.Route {
		return httproute.Route{
			Name: name, Host: siteHost, Prefix: "/" + string(name) + "/", Kind: k, Resumable: resumable, Timeout: callerWait, Aim: time.Second,
			GapAim: 300 * time.Millisecond, MaxAttempts: 2, Split: []httproute.Share{{Service: service, Weight: 1}},
		}
	}
	cfg := &httproute.Config{
		Version: httproute.Version(n),
		Routes: []httproute.Route{
			route("stream", httproute.KindStream, modelService, true), route("once", httproute.KindStream, modelService, false),
			route("pay", httproute.KindUnsafe, plainService, false), route("look", httproute.KindSafe, plainService, false),
			route(ident.Class(fmt.Sprintf("v%d", n)), httproute.KindSafe, plainService, false), route("hang", httproute.KindUnsafe, plainService, false),
		},
		Services: []httproute.Service{
			{Name: plainService, HealthPath: "/healthz", MaxConnections: 100, MaxColdRate: coldRate},
			{Name: modelService, HealthPath: "/healthz", MaxConnections: 100, MaxColdRate: coldRate, Engine: &httproute.Engine{
				Slots: slots, StepsPerIteration: 1, StepTime: time.Millisecond, PrefillRate: 10000, LoadsPerSecond: 50, ConcurrentLoads: 50, CrossDomainSlowdown: 3, Models: models,
			}},
		},
		Customers: []httproute.Customer{{Name: customer}},
		Limits:    httproute.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	cfg.Routes[0].Priority, cfg.Routes[1].Priority = usualPriority, urgentPriority
	own, hang := &cfg.Routes[4], &cfg.Routes[5]
	own.Public, hang.Public = true, true
	if n%2 == 1 {
		own.Host = strings.ToUpper(siteHost)
	}
	hang.Timeout = hangTimeout(n)
	for i := range added {
		if n >= addedFrom {
			cfg.Routes = append(cfg.Routes, route(ident.Class(fmt.Sprintf("added%d", i)), httproute.KindSafe, plainService, false))
		}
	}
	return platform.EncodeConfig(cfg, map[ident.Customer][]string{customer: keysOf(n)})
}

// wrongConfig returns an invalid configuration and what is wrong with it.
func wrongConfig(random *rand.Rand, n uint64, added int) (body []byte, name string) {
	d := one(random, platform.Defects)
	body, err := d.Apply(configOf(n+wrongVersions, added))
	if err != nil {
		// What the soak has encoded can be decoded.
		panic(err)
	}
	return body, d.Name
}
