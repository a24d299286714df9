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
	// keysLapseFraction is the part of the revocation bound for which keys are believed without a confirmation by the leader.
	keysLapseFraction = 0.8
	// bodyMemoryFraction is the part of the VM's memory that bodies of requests may take together, and answers the same.
	bodyMemoryFraction = 0.2
	// notReadyGrace is how long new connections may still come after this daemon has said that it is not ready.
	notReadyGrace = 2500 * time.Millisecond
	// stopMargin is left of the grace for the last lines and the exit.
	stopMargin = 700 * time.Millisecond
	// readyHeaderTimeout bounds how long the platform's question for readiness may take.
	readyHeaderTimeout = 5 * time.Second
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
	// callerServer serves them within the bounds of the configuration.
	callerServer *inbound.Server
	directory    *directory
	// peerEntries are the other entries.
	peerEntries  *peerEntries
	meter        *meter.Meter
	metrics      *entryMetrics
	unrecognized unrecognizedQueue
	// configBody is the configuration in force as operators sent it; needFullConfig is set when a change did not fit it. Both belong to the
	// goroutine that follows the leader.
	configBody     []byte
	needFullConfig bool
	// drainRevision is the revision of the drained halls in force; it belongs to the same goroutine.
	drainRevision catalog.DrainRevision
	// sentInflight are the requests at upstreams that the newest call named, known the upstreams; both belong to the same goroutine.
	sentInflight       map[ident.Incarnation]int
	upstreamsByShortID map[shortID]ident.Incarnation
	// leaderQuarantineDigest is the digest of what the leader knows of held work; it belongs to the same goroutine.
	leaderQuarantineDigest uint64
	stop                   chan struct{}
	stopOnce               sync.Once
	wasReady               atomic.Bool
}

// NewEntry returns an entry whose callers and upstreams use names.
func NewEntry(cfg *settings.Site, headers relay.HeaderNames, dial transport.Dial) *Entry {
	e := &Entry{
		Settings: cfg, Log: logr.Discard(), RequestLog: logr.Discard(), Dial: dial,
		relay: relay.New(headers, dial), directory: newDirectory(cfg.SeedPeers()),
		meter: meter.New(), stop: make(chan struct{}),
	}
	e.callerServer = inbound.New(e.relay)
	e.metrics = newEntryMetrics(e.meter.Scope)
	e.relay.Hall = cfg.Hall
	e.relay.Regions = cfg.Halls
	e.relay.SetMemoryLimit(int64(bodyMemoryFraction * float64(cfg.MemoryMB) * (1 << 20)))
	e.relay.KeyValidity = time.Duration(keysLapseFraction * float64(cfg.Bounds.KeysRevoked))
	e.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{
		Ratio: cfg.Retries.Share, Window: cfg.Retries.Window.Std(), Allowance: cfg.Retries.Allowance,
	})
	e.relay.Observe = e.observe
	e.relay.Quarantine.Rule = quarantineRule(&cfg.Quarantine)
	e.relay.OnQuarantine = e.logQuarantineEvent
	e.relay.Backoff.Rule = backoffRule(&cfg.Backoff)
	e.relay.OnBackpressure = e.logUpstreamSignal
	e.relay.Limits.Observe = func(outcome ratelimit.Outcome) { e.metrics.permits[outcome].Inc(1) }
	e.peerEntries = newPeerEntries(e.relay.Receive)
	e.relay.SendUpdate = e.peerEntries.enqueue
	return e
}

// Stop begins a planned stop, which Run ends.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() { close(e.stop) })
}

// Run serves until a planned stop is over, or ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	e.peerEntries.log = e.Log
	conn, err := listenDatagrams(e.Settings.PeerListen())
	if err != nil {
		return err
	}
	links := newControlLinks(ctx, e.Dial)
	follow := &follower{
		links: links, directory: e.directory, log: e.Log, fillCall: e.fillCall, applyReply: e.applyReply, applyCommitted: e.applyCommitted, rosterDigests: e.relay.RosterSums, reloadSeeds: e.reloadSeeds,
	}
	var wg sync.WaitGroup
	wg.Go(func() { follow.run(ctx) })
	wg.Go(func() { e.peerEntries.run(ctx, conn) })
	e.Log.Info("entry started", "name", e.Settings.Name, "hall", e.Settings.Hall, "seeds", e.Settings.Seeds)
	select {
	case <-ctx.Done():
	case <-e.stop:
		e.drainRequests(ctx)
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	wg.Wait()
	links.wait()
	e.Log.Info("entry stopped")
	return e.meter.Close()
}

func (e *Entry) listen() ([]server, error) {
	e.callerServer.Log = e.Log
	return serveAll(e.Log, []listener{
		{e.Settings.Listen.Callers, e.callerServer},
		{e.Settings.Listen.Ready, &http.Server{Handler: e.ReadyHandler(e.ready), ReadHeaderTimeout: readyHeaderTimeout}},
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

// drainRequests lets callers move away and requests in progress end.
func (e *Entry) drainRequests(ctx context.Context) {
	e.Log.Info("planned stop begins", "grace-ms", e.Settings.Bounds.StopGrace.Std().Milliseconds())
	e.relay.Stop()
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Bounds.StopGrace.Std()-stopMargin)
	defer cancel()
	sleep(ctx, notReadyGrace)
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.Log.Info("requests were still in progress at the end of the grace", "error", err.Error())
	}
}

// fillCall fills in what the leader is told with each call.
func (e *Entry) fillCall(call *SyncCall) {
	call.From = e.Settings.PeerAddress()
	call.Hall = e.Settings.Hall
	call.Entry = true
	call.Seen, call.Demand = e.relay.CollectObservations()
	e.sentInflight = map[ident.Incarnation]int{}
	for i := range call.Seen {
		e.sentInflight[call.Seen[i].ID] = call.Seen[i].Inflight
	}
	call.Entries = e.peerEntries.digests
	call.Whole = e.needFullConfig
	call.Drains = e.drainRevision
	e.fillQuarantine(call)
	call.Unread = e.unrecognized.takeForCall()
	e.countBackoffs(e.relay.Now())
}

// applyReply puts the leader's confirmation in force; began is the moment up to which it is certainly the newest.
func (e *Entry) applyReply(sentAt time.Time, reply *SyncReply) bool {
	// Before anything that lets requests go: an entry that has just started knows of no work that is held.
	e.applyQuarantine(reply)
	e.applyLimits(reply)
	if e.unrecognized.acknowledge(reply.Leadership) {
		e.resendUnrecognized()
	}
	e.applyDrained(reply.Drained)
	newest := e.applyConfig(sentAt, reply)
	if reply.Usable {
		e.relay.ApplyRoster(&reply.Changes)
		if !reply.Changes.Empty() || e.upstreamsByShortID == nil {
			e.upstreamsByShortID = shortIDs(e.relay.Upstreams())
		}
	}
	if entries := e.peerEntries.setEntries(e.relay.Now(), e.Settings.PeerAddress(), reply.Leadership, reply.Lists, reply.ListChanges); entries != nil {
		e.relay.SetEntries(entries)
	}
	e.relay.SetPeerCounts(decodeTotals(reply.Totals, e.upstreamsByShortID, e.sentInflight))
	e.relay.Budget.SetEntries(max(reply.Entries, e.peerEntries.entryCount))
	if newest {
		e.relay.SetConfirmed(sentAt)
	}
	return newest
}

// applyCommitted puts what a daemon that does not lead holds in force; it confirms nothing.
func (e *Entry) applyCommitted(sentAt time.Time, reply *SyncReply) bool {
	e.applyDrained(reply.Drained)
	return e.applyConfig(sentAt, reply)
}

// applyConfig puts the configuration in a reply in force. If it can't, this daemon can't be sure of anything newer than what it has.
func (e *Entry) applyConfig(sentAt time.Time, reply *SyncReply) bool {
	if reply.Config == nil && reply.Patch == nil {
		return true
	}
	decodeStart := clock.Now()
	versionBefore := e.relay.Version()
	body, err := e.unpackConfig(reply)
	if err != nil {
		e.Log.Error(err, "configuration cannot be unpacked, the whole one is asked for", "version", reply.Version, "patch", reply.Config == nil)
		e.needFullConfig = true
		return false
	}
	cfg, err := e.DecodeConfig(body)
	if err != nil {
		// It was checked before it was accepted, so this is a fault of this build.
		e.Log.Error(err, "accepted configuration cannot be read", "version", reply.Version)
		e.needFullConfig = true
		return false
	}
	e.configBody, e.needFullConfig = body, false
	e.relay.SetConfig(cfg)
	e.callerServer.SetBounds(inbound.Bounds{
		HeaderBytes: cfg.Limits.HeaderBytes, HeaderTime: cfg.Limits.HeaderTimeout, IdleTime: cfg.Limits.IdleTimeout,
	})
	e.Log.Info("configuration in force", "version", cfg.Version, "before", versionBefore, "routes", len(cfg.Routes),
		"packed-bytes", len(reply.Config)+len(reply.Patch), "patch", reply.Config == nil, "leader", reply.Leader, "asked-ms", clock.Since(sentAt).Milliseconds(),
		"decoded-ms", clock.Since(decodeStart).Milliseconds())
	return true
}

// applyDrained puts the drained halls in force, unless newer ones are.
func (e *Entry) applyDrained(drained *catalog.Drained) {
	if drained == nil || drained.Revision <= e.drainRevision {
		return
	}
	e.drainRevision = drained.Revision
	e.relay.SetDrained(drained.Halls)
	e.Log.Info("drained halls in force", "revision", drained.Revision, "halls", drained.Halls)
}

func (e *Entry) unpackConfig(reply *SyncReply) ([]byte, error) {
	if reply.Config != nil {
		return catalog.Unpack(reply.Config)
	}
	return catalog.Apply(e.configBody, reply.Patch)
}

func (e *Entry) reloadSeeds() {
	cfg, err := e.LoadSettings()
	if err != nil {
		e.Log.Error(err, "settings cannot be read again")
		return
	}
	e.directory.setSeeds(cfg.SeedPeers())
}

// Reload takes the parts of the settings that may change while the daemon runs.
func (e *Entry) Reload() {
	e.reloadSeeds()
	e.Log.Info("settings read again", "seeds", e.directory.addresses())
}
