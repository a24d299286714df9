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
	// keysLapseFraction is the fraction of the revocation bound for which API keys stay valid without a confirmation by
	// the leader.
	keysLapseFraction = 0.8
	// bodyMemoryFraction is the fraction of the VM's memory that all request bodies may use together; responses get the
	// same.
	bodyMemoryFraction = 0.2
	// notReadyGrace is how long new connections may still arrive after this daemon has reported that it is not ready.
	notReadyGrace = 2500 * time.Millisecond
	// firstRequestTime is how long after its connection the first request of a caller may arrive.
	firstRequestTime = 400 * time.Millisecond
	// stopMargin is kept of the stop grace for the last answers, the last log lines and the exit.
	stopMargin = 700 * time.Millisecond
	// answerTimeout bounds the wait for the answers of requests that the stop has ended.
	answerTimeout = 200 * time.Millisecond
	// forwardHeaderBytes is the room for the headers that entries add to a forwarded request.
	forwardHeaderBytes = 1 << 10
	// handlersEndTimeout bounds the wait for the log lines of requests that the end of this process interrupts.
	handlersEndTimeout = 200 * time.Millisecond
	// interruptionLinesPerSecond bounds the log lines on answers that this entry did not complete.
	interruptionLinesPerSecond = 20
	// readyHeaderTimeout bounds reading the headers of the platform's readiness request.
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
	// ReadyHandler builds the handler of the readiness endpoint.
	ReadyHandler func(ready func() bool) http.Handler
	LoadSettings func() (*settings.Site, error)

	relay *relay.Relay
	// callerServer serves callers within the bounds of the configuration.
	callerServer *inbound.Server
	// forwardServer serves requests that other entries forward.
	forwardServer *inbound.Server
	directory     *controlDirectory
	// peerEntries exchanges updates with the other entries.
	peerEntries  *peerEntries
	meter        *meter.Meter
	metrics      *entryMetrics
	unrecognized unrecognizedQueue
	// configBody is the configuration in force as operators sent it; needFullConfig is set when a patch did not fit.
	// Both belong to the goroutine that follows the leader, as do the fields up to leaderQuarantineDigest.
	configBody     []byte
	needFullConfig bool
	// drained are the drained halls in force; only the goroutine that follows the leader changes them.
	drained atomic.Pointer[drainedInForce]
	// sentInflight are the requests in progress by upstream that the last call reported, upstreamsByShortID the
	// upstreams of the roster.
	sentInflight       map[ident.Incarnation]int
	upstreamsByShortID map[shortID]ident.Incarnation
	// leaderQuarantineDigest is the digest of the leader's quarantined fingerprints.
	leaderQuarantineDigest uint64
	stop                   chan struct{}
	stopOnce               sync.Once
	wasReady               atomic.Bool
	startedAt              time.Time
	interruptionLog        logLimiter
	sinceStop              stopCounts
}

// drainedInForce is the revision of an entry's drained halls, and since when it is in force.
type drainedInForce struct {
	revision  catalog.DrainRevision
	inForceAt time.Time
}

// stopCounts counts the requests that ended after a planned stop had begun.
type stopCounts struct{ ended, refused, interrupted atomic.Int64 }

// NewEntry returns an entry that uses the given header names with callers and upstreams.
func NewEntry(cfg *settings.Site, headers relay.HeaderNames, dial transport.Dial) *Entry {
	e := &Entry{
		Settings: cfg, Log: logr.Discard(), RequestLog: logr.Discard(), Dial: dial,
		relay: relay.New(headers, dial), directory: newControlDirectory(cfg.SeedPeers()),
		meter: meter.New(), stop: make(chan struct{}), startedAt: clock.Now(),
	}
	e.drained.Store(&drainedInForce{})
	e.callerServer = inbound.New(e.relay)
	e.forwardServer = inbound.New(&relay.EntryHandler{Relay: e.relay})
	e.metrics = newEntryMetrics(e.meter.Scope)
	e.relay.Hall = cfg.Hall
	e.relay.Regions = cfg.Halls
	e.relay.SetMemoryLimit(int64(bodyMemoryFraction * float64(cfg.MemoryMB) * (1 << 20)))
	e.relay.KeyValidity = time.Duration(keysLapseFraction * float64(cfg.Bounds.KeysRevoked))
	e.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{
		Ratio: cfg.Retries.Share, Window: cfg.Retries.Window.Std(), Allowance: cfg.Retries.Allowance,
	})
	e.relay.Budget.StartedAt = e.startedAt
	e.interruptionLog.linesPerSecond = interruptionLinesPerSecond
	e.relay.Budget.SetEntries(0)
	e.relay.UrgencyFloor, e.relay.ArrivalCheck = cfg.Scheduling.UrgencyFloor, cfg.Scheduling.ArrivalCheck
	e.relay.Observe = e.observe
	e.relay.Quarantine.Rule = quarantineRule(&cfg.Quarantine)
	e.relay.OnQuarantine = e.logQuarantineEvent
	e.relay.Backoff.Rule = backoffRule(&cfg.Backoff)
	e.relay.OnBackpressure = e.logUpstreamSignal
	e.relay.OnReachability = e.logReachability
	e.relay.Limits.Observe = func(outcome ratelimit.Outcome) { e.metrics.permits[outcome].Inc(1) }
	if cfg.Scheduling.CustomerShares {
		e.relay.SetCustomerShares(cfg.Scheduling.CustomerWeights)
	}
	e.peerEntries = newPeerEntries(e.relay.Receive)
	e.relay.SendUpdate = e.peerEntries.enqueue
	return e
}

// Stop begins a planned stop, after which Run returns.
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
	e.relay.Close()
	for _, s := range servers {
		_ = s.Close()
	}
	wg.Wait()
	links.wait()
	e.awaitHandlers()
	e.Log.Info("entry stopped", "interrupted", e.sinceStop.interrupted.Load(), "in-progress", e.relay.Progress().Total())
	return e.meter.Close()
}

func (e *Entry) listen() ([]server, error) {
	e.callerServer.Log, e.forwardServer.Log = e.Log, e.Log
	return serveAll(e.Log, []listener{
		{e.Settings.Listen.Callers, e.callerServer},
		{e.Settings.PeerListen(), e.forwardServer},
		{e.Settings.Listen.Ready, &http.Server{Handler: e.ReadyHandler(e.ready), ReadHeaderTimeout: readyHeaderTimeout}},
		{e.Settings.Listen.Metrics, e.meter.NewServer()},
	})
}

func (e *Entry) ready() bool {
	ready := e.relay.Ready()
	if e.wasReady.Swap(ready) != ready {
		e.Log.Info("readiness changed", "ready", ready, "version", e.relay.Version(), "confirmed-age-ms", e.relay.ConfirmedAge().Milliseconds(), "stopping", e.relay.Stopping())
	}
	return ready
}

// drainRequests waits for callers to switch to other entries and for requests in progress to end, within the stop
// grace.
func (e *Entry) drainRequests(ctx context.Context) {
	e.Log.Info("planned stop started", "grace-ms", e.Settings.Bounds.StopGrace.Std().Milliseconds(), "in-progress", e.relay.Progress(),
		"connections", e.callerServer.Connections())
	requestTime := e.Settings.Bounds.StopGrace.Std() - stopMargin
	e.relay.Stop(relay.StopPlan{CallersMoved: notReadyGrace + firstRequestTime, End: requestTime})
	ctx, cancel := context.WithTimeout(ctx, requestTime+answerTimeout)
	defer cancel()
	sleep(ctx, notReadyGrace)
	var wg sync.WaitGroup
	for _, server := range []*inbound.Server{e.callerServer, e.forwardServer} {
		wg.Go(func() { server.Drain(ctx) })
	}
	wg.Wait()
	e.logDrained()
}

// logDrained logs what the connections are closed on.
func (e *Entry) logDrained() {
	progress := e.relay.Progress()
	if progress.Total() > 0 {
		e.Log.Info("requests still in progress at the end of the stop grace", "in-progress", progress, "stopping-ms", e.relay.StoppingFor().Milliseconds())
	}
	e.Log.Info("connections are closed", "stopping-ms", e.relay.StoppingFor().Milliseconds(), "ended", e.sinceStop.ended.Load(),
		"refused", e.sinceStop.refused.Load(), "interrupted", e.sinceStop.interrupted.Load(), "in-progress", progress.Total(),
		"connections", e.callerServer.Connections(), "forwarded-connections", e.forwardServer.Connections())
}

// awaitHandlers waits until the requests whose connections were closed have been logged.
func (e *Entry) awaitHandlers() {
	ended := make(chan struct{})
	go func() {
		e.relay.Wait()
		close(ended)
	}()
	timer := time.NewTimer(handlersEndTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// fillCall fills in what this entry reports to the leader with each call.
func (e *Entry) fillCall(call *SyncCall) {
	call.From = e.Settings.PeerAddress()
	call.Hall = e.Settings.Hall
	call.Entry = true
	call.Uptime = clock.Since(e.startedAt)
	call.Seen, call.Demand = e.relay.CollectObservations()
	call.Load = e.relay.CollectLoad()
	e.sentInflight = map[ident.Incarnation]int{}
	for i := range call.Seen {
		e.sentInflight[call.Seen[i].ID] = call.Seen[i].Inflight
	}
	call.Entries = e.peerEntries.digests
	call.Whole = e.needFullConfig
	call.Drains = e.drained.Load().revision
	e.fillQuarantine(call)
	call.Unread = e.unrecognized.takeForCall()
	e.countBackoffs(e.relay.Now())
}

// applyReply applies a leader's reply; sentAt is when the call was sent, so the reply holds the newest state up to that
// moment.
func (e *Entry) applyReply(sentAt time.Time, reply *SyncReply) bool {
	// First of all: an entry that has just started knows no quarantined fingerprints, and what follows may make it
	// ready.
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
	if reply.Load != nil {
		e.relay.SetSiteLoad(reply.Load)
	}
	e.relay.Budget.SetNewEntryFraction(reply.NewEntryFraction)
	e.relay.Budget.SetEntries(max(reply.Entries, e.peerEntries.entryCount))
	if newest {
		e.relay.SetConfirmed(sentAt)
	}
	return newest
}

// applyCommitted applies only the committed state of a reply, which confirms nothing.
func (e *Entry) applyCommitted(sentAt time.Time, reply *SyncReply) bool {
	e.applyDrained(reply.Drained)
	return e.applyConfig(sentAt, reply)
}

// applyConfig puts the configuration in a reply in force. If it returns false, this daemon cannot know whether its
// configuration is the newest.
func (e *Entry) applyConfig(sentAt time.Time, reply *SyncReply) bool {
	if reply.Config == nil && reply.Patch == nil {
		return true
	}
	decodeStart := clock.Now()
	versionBefore := e.relay.Version()
	body, err := e.unpackConfig(reply)
	if err != nil {
		e.Log.Error(err, "configuration cannot be unpacked, requesting it in full", "version", reply.Version, "patch", reply.Config == nil)
		e.needFullConfig = true
		return false
	}
	cfg, err := e.DecodeConfig(body)
	if err != nil {
		// The configuration was checked before it was accepted, so this is a fault of this build.
		e.Log.Error(err, "accepted configuration cannot be decoded", "version", reply.Version)
		e.needFullConfig = true
		return false
	}
	e.configBody, e.needFullConfig = body, false
	e.relay.SetConfig(cfg)
	e.callerServer.SetBounds(inbound.Bounds{
		MaxHeaderBytes: cfg.Limits.HeaderBytes, HeaderTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout,
	})
	if cfg.Limits.HeaderBytes > 0 {
		e.forwardServer.SetBounds(inbound.Bounds{MaxHeaderBytes: cfg.Limits.HeaderBytes + forwardHeaderBytes})
	}
	e.Log.Info("configuration in force", "version", cfg.Version, "before", versionBefore, "routes", len(cfg.Routes),
		"packed-bytes", len(reply.Config)+len(reply.Patch), "patch", reply.Config == nil, "leader", reply.Leader, "asked-ms", clock.Since(sentAt).Milliseconds(),
		"decoded-ms", clock.Since(decodeStart).Milliseconds())
	return true
}

// applyDrained puts the drained halls in force, unless newer ones are.
func (e *Entry) applyDrained(drained *catalog.Drained) {
	before := e.drained.Load().revision
	if drained == nil || drained.Revision <= before {
		return
	}
	e.relay.SetDrained(drained.Halls)
	e.drained.Store(&drainedInForce{drained.Revision, clock.Now()})
	e.Log.Info("drained halls in force", "revision", drained.Revision, "before", before, "halls", drained.Halls)
}

func (e *Entry) unpackConfig(reply *SyncReply) ([]byte, error) {
	if reply.Config != nil {
		return catalog.Decompress(reply.Config)
	}
	return catalog.ApplyPatch(e.configBody, reply.Patch)
}

func (e *Entry) reloadSeeds() {
	cfg, err := e.LoadSettings()
	if err != nil {
		e.Log.Error(err, "settings cannot be read again")
		return
	}
	e.directory.setSeeds(cfg.SeedPeers())
}

// Reload applies the settings that may change while the daemon runs.
func (e *Entry) Reload() {
	e.reloadSeeds()
	e.Log.Info("settings read again", "seeds", e.directory.addresses())
}
