package site

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// keysPart is the part of the revocation bound for which keys are believed without a confirmation by the leader.
	keysPart = 0.8
	// heldMemoryPart is the part of the VM's memory that bodies of requests may take together, and answers the same.
	heldMemoryPart = 0.2
	// lookAway is how long new connections may still come after this daemon has said that it is not ready.
	lookAway = 2500 * time.Millisecond
	// stopMargin is left of the grace for the last lines and the exit.
	stopMargin = 700 * time.Millisecond
	// readyHeaderTime bounds how long the platform's question for readiness may take.
	readyHeaderTime = 5 * time.Second
)

// Entry is a daemon that takes callers' requests; exported fields are set before Run.
type Entry struct {
	Settings *settings.Site
	Log      logr.Logger
	// RequestLog is the log for lines on single requests.
	RequestLog   logr.Logger
	Dial         transport.Dial
	DecodeConfig func(body []byte) (*httproute.Config, error)
	// ReadyHandler makes the handler that tells the platform whether callers may come.
	ReadyHandler func(ready func() bool) http.Handler
	LoadSettings func() (*settings.Site, error)

	relay *relay.Relay
	// callers serves them within the bounds of the configuration.
	callers   *inbound.Server
	directory *directory
	// neighbours are the other entries.
	neighbours *neighbours
	meter      *meter.Meter
	numbers    *numbers
	unread     unreadNews
	// body is the configuration in force as operators sent it; wantWhole is set when a change did not fit it. Both belong to the
	// goroutine that follows the leader.
	body      []byte
	wantWhole bool
	// drains is the revision of the drained halls in force; it belongs to the same goroutine.
	drains catalog.DrainRevision
	// told are the requests at upstreams that the newest call named, known the upstreams; both belong to the same goroutine.
	told  map[ident.Incarnation]int
	known map[shortID]ident.Incarnation
	// leaderSum is the digest of what the leader knows of held work; it belongs to the same goroutine.
	leaderSum uint64
	stop      chan struct{}
	stopOnce  sync.Once
	wasReady  atomic.Bool
}

// NewEntry returns an entry whose callers and upstreams use names.
func NewEntry(cfg *settings.Site, names relay.HeaderNames, dial transport.Dial) *Entry {
	e := &Entry{
		Settings: cfg, Log: logr.Discard(), RequestLog: logr.Discard(), Dial: dial,
		relay: relay.New(names, dial), directory: newDirectory(cfg.SeedPeers()),
		meter: meter.New(), stop: make(chan struct{}),
	}
	e.callers = inbound.New(e.relay)
	e.numbers = newNumbers(e.meter.Scope)
	e.relay.Hall = cfg.Hall
	e.relay.Regions = cfg.Halls
	e.relay.SetMemoryLimit(int64(heldMemoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	e.relay.KeyValidity = time.Duration(keysPart * float64(cfg.Bounds.KeysRevoked))
	e.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{
		Ratio: cfg.Retries.Share, Window: cfg.Retries.Window.Std(), Allowance: cfg.Retries.Allowance,
	})
	e.relay.Observe = e.observe
	e.relay.Quarantine.Rule = heldRule(&cfg.Quarantine)
	e.relay.OnQuarantine = e.noteHolding
	e.relay.Backoff.Rule = backoffRule(&cfg.Backoff)
	e.relay.OnBackpressure = e.noteAsking
	e.relay.Limits.Observe = func(o ratelimit.Outcome) { e.numbers.permits[o].Inc(1) }
	e.neighbours = newNeighbours(e.relay.Receive)
	e.relay.SendUpdate = e.neighbours.tell
	return e
}

// Stop begins a planned stop, which Run ends.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() { close(e.stop) })
}

// Run serves until a planned stop is over, or ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	e.neighbours.log = e.Log
	conn, err := listenDatagrams(e.Settings.PeerListen())
	if err != nil {
		return err
	}
	p := newPeers(ctx, e.Dial)
	f := &follower{
		peers: p, directory: e.directory, log: e.Log, describe: e.describe, apply: e.apply, commit: e.commit, sums: e.relay.RosterSums, reread: e.reread,
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx) })
	wg.Go(func() { e.neighbours.run(ctx, conn) })
	e.Log.Info("entry started", "name", e.Settings.Name, "hall", e.Settings.Hall, "seeds", e.Settings.Seeds)
	select {
	case <-ctx.Done():
	case <-e.stop:
		e.drain(ctx)
	}
	end()
	for _, s := range servers {
		_ = s.Close()
	}
	wg.Wait()
	p.wait()
	e.Log.Info("entry stopped")
	return e.meter.Close()
}

func (e *Entry) listen() ([]server, error) {
	e.callers.Log = e.Log
	return serveAll(e.Log, []listener{
		{e.Settings.Listen.Callers, e.callers},
		{e.Settings.Listen.Ready, &http.Server{Handler: e.ReadyHandler(e.ready), ReadHeaderTimeout: readyHeaderTime}},
		{e.Settings.Listen.Metrics, e.meter.HTTP()},
	})
}

func (e *Entry) ready() bool {
	ready := e.relay.Ready()
	if e.wasReady.Swap(ready) != ready {
		e.Log.Info("readiness changed", "ready", ready, "version", e.relay.Version(), "confirmed-age-ms", e.relay.ConfirmedAge().Milliseconds(), "stopping", e.relay.Stopping())
	}
	return ready
}

// drain lets callers move away and requests in progress end.
func (e *Entry) drain(ctx context.Context) {
	e.Log.Info("planned stop begins", "grace-ms", e.Settings.Bounds.StopGrace.Std().Milliseconds())
	e.relay.Stop()
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Bounds.StopGrace.Std()-stopMargin)
	defer cancel()
	pause(ctx, lookAway)
	if err := e.callers.Shutdown(ctx); err != nil {
		e.Log.Info("requests were still in progress at the end of the grace", "error", err.Error())
	}
}

// describe fills in what the leader is told with each call.
func (e *Entry) describe(call *SyncCall) {
	call.From = e.Settings.PeerAddress()
	call.Hall = e.Settings.Hall
	call.Entry = true
	call.Seen, call.Demand = e.relay.CollectObservations()
	e.told = map[ident.Incarnation]int{}
	for i := range call.Seen {
		e.told[call.Seen[i].ID] = call.Seen[i].Inflight
	}
	call.Entries = e.neighbours.names
	call.Whole = e.wantWhole
	call.Drains = e.drains
	e.sendQuarantine(call)
	call.Unread = e.unread.toTell()
	e.countAsked(e.relay.Now())
}

// apply puts the leader's confirmation in force; began is the moment up to which it is certainly the newest.
func (e *Entry) apply(began time.Time, r *SyncReply) bool {
	// Before anything that lets requests go: an entry that has just started knows of no work that is held.
	e.applyQuarantine(r)
	e.applyLimits(r)
	if e.unread.told(r.Leadership) {
		e.tellAllUnread()
	}
	e.takeDrained(r.Drained)
	newest := e.takeConfig(began, r)
	if r.Usable {
		e.relay.ApplyRoster(&r.Changes)
		if !r.Changes.Empty() || e.known == nil {
			e.known = shortIDs(e.relay.Upstreams())
		}
	}
	if entries := e.neighbours.set(e.relay.Now(), e.Settings.PeerAddress(), r.Leadership, r.Lists, r.ListChanges); entries != nil {
		e.relay.SetEntries(entries)
	}
	e.relay.SetPeerCounts(decodeTotals(r.Totals, e.known, e.told))
	e.relay.Budget.SetEntries(max(r.Entries, e.neighbours.known))
	if newest {
		e.relay.SetConfirmed(began)
	}
	return newest
}

// commit puts what a daemon that does not lead holds in force; it confirms nothing.
func (e *Entry) commit(began time.Time, r *SyncReply) bool {
	e.takeDrained(r.Drained)
	return e.takeConfig(began, r)
}

// takeConfig puts the configuration in a reply in force. If it can't, this daemon can't be sure of anything newer than what it has.
func (e *Entry) takeConfig(began time.Time, r *SyncReply) bool {
	if r.Config == nil && r.Patch == nil {
		return true
	}
	decoding := clock.Now()
	before := e.relay.Version()
	body, err := e.unpack(r)
	if err != nil {
		e.Log.Error(err, "configuration cannot be unpacked, the whole one is asked for", "version", r.Version, "patch", r.Config == nil)
		e.wantWhole = true
		return false
	}
	cfg, err := e.DecodeConfig(body)
	if err != nil {
		// It was checked before it was accepted, so this is a fault of this build.
		e.Log.Error(err, "accepted configuration cannot be read", "version", r.Version)
		e.wantWhole = true
		return false
	}
	e.body, e.wantWhole = body, false
	e.relay.SetConfig(cfg)
	e.callers.SetBounds(inbound.Bounds{
		HeaderBytes: cfg.Limits.HeaderBytes, HeaderTime: cfg.Limits.HeaderTimeout, IdleTime: cfg.Limits.IdleTimeout,
	})
	e.Log.Info("configuration in force", "version", cfg.Version, "before", before, "routes", len(cfg.Routes),
		"packed-bytes", len(r.Config)+len(r.Patch), "patch", r.Config == nil, "leader", r.Leader, "asked-ms", clock.Since(began).Milliseconds(),
		"decoded-ms", clock.Since(decoding).Milliseconds())
	return true
}

// takeDrained puts the drained halls in force, unless newer ones are.
func (e *Entry) takeDrained(d *catalog.Drained) {
	if d == nil || d.Revision <= e.drains {
		return
	}
	e.drains = d.Revision
	e.relay.SetDrained(d.Halls)
	e.Log.Info("drained halls in force", "revision", d.Revision, "halls", d.Halls)
}

func (e *Entry) unpack(r *SyncReply) ([]byte, error) {
	if r.Config != nil {
		return catalog.Unpack(r.Config)
	}
	return catalog.Apply(e.body, r.Patch)
}

func (e *Entry) reread() {
	cfg, err := e.LoadSettings()
	if err != nil {
		e.Log.Error(err, "settings cannot be read again")
		return
	}
	e.directory.setSeeds(cfg.SeedPeers())
}

// Reload takes the parts of the settings that may change while the daemon runs.
func (e *Entry) Reload() {
	e.reread()
	e.Log.Info("settings read again", "seeds", e.directory.list())
}
