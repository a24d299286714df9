package daemon

// Every daemon accepts callers' requests and probes upstreams. Control members
// also keep the replicated logs, and the leader of the fleet instance manages
// groups. The parts don't depend on each other: where one calls another, it has
// a function field that is set here.

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/control"
	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/park"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
	"github.com/dunlinquay/dunlinquay/service"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/sharing"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// A daemon counts as live for livenessBeats beat intervals after its last beat.
	livenessBeats = 6
	tickInterval  = 100 * time.Millisecond
	callTimeout   = time.Second
)

// Daemon is one process; exported fields are set before Run.
type Daemon struct {
	// Log discards everything by default.
	Log logr.Logger

	network     Network
	cfg         *settings.Settings
	incarnation ident.Incarnation
	tasks       *park.Group
	now         func() time.Time

	fleet        *fleet.Machine
	daemons      *presence.Members
	vmTable      *presence.Table
	routes       *routing.Table
	admission    *admission.Controller
	dispatch     *dispatch.Dispatcher
	engineClient *engine.Client
	applied      *appliedState
	freshness    *configFreshness
	prober       *prober
	shares       *customerShares
	// coordinators maps each upstream with a limit to the daemon that coordinates it, chosen among coordinatorEntries.
	coordinators       *ratelimit.Coordinators
	coordinatorEntries *sharing.Entries
	leader             *control.Leader
	platform           *platformWatcher
	metrics            *metrics
	control            *controlMember // nil unless this daemon is a control member

	peers          map[ident.Daemon]*peer.Client
	peerServer     *peer.Server
	callerServer   *caller.Server
	operatorServer *operator.Server
	listeners      map[string]net.Listener
	leaders        atomic.Pointer[knownLeaders]
	groupCounter   groupCounter
	started        time.Time
	stopping       atomic.Bool
	fatalErr       chan error
}

// Network opens listeners and connections; tests and the demo replace it to partition daemons.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   transport.Dial
}

// TCPNetwork returns the network of the operating system.
func TCPNetwork() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   transport.TCP(),
	}
}

// New opens the data folder and the listeners that cfg names; Run then starts the goroutines.
func New(cfg *settings.Settings, network Network) (*Daemon, error) {
	d := &Daemon{
		Log: logr.Discard(), network: network, cfg: cfg, incarnation: ident.NewIncarnation(), tasks: park.New(), now: clock.Now,
		fleet:        fleet.NewMachine(),
		daemons:      presence.NewMembers(cfg.Times.Beat.Std() * livenessBeats),
		vmTable:      presence.NewTable(),
		engineClient: engine.NewClient(network.Dial),
		peers:        map[ident.Daemon]*peer.Client{}, listeners: map[string]net.Listener{},
		fatalErr: make(chan error, 1),
	}
	d.started = d.now()
	d.leaders.Store(&knownLeaders{})
	d.routes = routing.NewTable(cfg.Hall, cfg.Times.PresenceBound.Std())
	d.applied = newAppliedState(d.routes, d.vmTable)
	d.freshness = newConfigFreshness(cfg)
	d.metrics = newMetrics()
	d.buildAdmission()
	d.buildDispatch()
	d.buildLimits()
	d.buildCallers()
	d.buildLeader()
	d.buildOperators()
	d.prober = newProber(d)
	d.platform = newPlatformWatcher(d)
	if err := d.acquireResources(); err != nil {
		d.releaseResources()
		return nil, err
	}
	d.start()
	return d, nil
}

// acquireResources opens files and listeners, the steps of New that can fail.
func (d *Daemon) acquireResources() error {
	tlsConfig, err := peer.TLSConfig(d.cfg.TLS)
	if err != nil {
		return err
	}
	if d.cfg.IsControl() {
		if d.control, err = newControlMember(d); err != nil {
			return err
		}
	}
	d.buildPeers(tlsConfig)
	if err := d.listen(); err != nil {
		return err
	}
	d.peerServer, err = peer.NewServer(d.listeners["peers"], tlsConfig, d.handlers())
	return err
}

func (d *Daemon) listen() error {
	a := &d.cfg.Addresses
	for name, address := range map[string]string{
		"callers": a.Callers, "operators": a.Operators, "peers": a.Peers, "metrics": a.Metrics,
	} {
		if address == "" {
			continue
		}
		ln, err := d.network.Listen(address)
		if err != nil {
			return result.Wrap(err, result.StartFailed, "%s address %s cannot be opened", name, address)
		}
		d.listeners[name] = ln
	}
	return nil
}

// releaseResources closes files and listeners of a daemon that cannot start.
func (d *Daemon) releaseResources() {
	for _, ln := range d.listeners {
		ln.Close()
	}
	for _, c := range d.peers {
		c.Discard()
	}
	if d.control != nil {
		d.control.release()
	}
	d.metrics.close()
}

func (d *Daemon) buildPeers(tlsConfig *tls.Config) {
	for _, p := range d.cfg.Peers {
		client := peer.NewClient(p.Address)
		client.Dial, client.TLS = d.network.Dial, tlsConfig
		d.peers[p.Name] = client
	}
}

func (d *Daemon) buildAdmission() {
	d.admission = admission.NewController()
	pools := d.servicePools()
	d.admission.Capacity = func(model ident.Model) int {
		for _, p := range pools {
			if dispatch.ServiceModel(p.Name) == model {
				return p.Capacity()
			}
		}
		return d.routes.Capacity(d.now(), model)
	}
	d.admission.MaxQueueLength = func(name ident.Class) int {
		class, _ := d.cfg.Class(name)
		return class.Queue
	}
	d.shares = newCustomerShares(d)
	d.dispatch = dispatch.NewDispatcher()
	d.dispatch.Services = dispatch.NewServices(pools)
	d.dispatch.Services.Send = service.NewClient(d.network.Dial, int64(d.cfg.Limits.BodyBytes)).Send
	d.dispatch.Services.Random = d.routes.Random
}

func (d *Daemon) servicePools() map[ident.Service]*dispatch.ServicePool {
	pools := map[ident.Service]*dispatch.ServicePool{}
	for _, s := range d.cfg.Services {
		pools[s.Name] = dispatch.NewServicePool(s.Name, s.Addresses, s.Slots)
	}
	return pools
}

func (d *Daemon) buildDispatch() {
	dispatcher := d.dispatch
	dispatcher.Admission, dispatcher.Table = d.admission, d.routes
	dispatcher.RetryBudget = dispatch.NewRetryBudget(d.cfg.Limits.RetryShare)
	dispatcher.Generate, dispatcher.Cancel = d.engineClient.Generate, d.engineClient.Cancel
	dispatcher.CheckConfig = func() error { return d.freshness.check(d.now(), d.applied.revision()) }
	dispatcher.Observe, dispatcher.AnswerDropped = d.observeRequest, d.metrics.countDroppedAnswer
	dispatcher.ConnectionRefused = func(ctx context.Context, address string) bool {
		return transport.RefusesConnections(ctx, d.network.Dial, address)
	}
	dispatcher.Quarantined = func(r *quarantine.Report, remaining time.Duration) { d.logQuarantined(r, remaining, d.cfg.Name) }
	dispatcher.BackoffRequested = func(head ident.Incarnation, requested time.Duration) { d.logBackoff(string(head), requested, nil) }
	dispatcher.Services.BackoffRequested = d.logBackoff
	dispatcher.Ledger = &ledger.Client{
		Daemon: d.cfg.Name, Incarnation: d.incarnation,
		Retention: d.cfg.Times.LedgerRetention.Std(), MaxAnswerBytes: d.cfg.Limits.AnswerKeptBytes, Now: time.Now,
		Propose: d.proposeLedger,
	}
}

// logBackoff logs the backoff that an upstream requested, or the error when its header cannot be parsed.
func (d *Daemon) logBackoff(upstream string, requested time.Duration, err error) {
	if err != nil {
		d.Log.Info("upstream sent an unreadable backoff", "upstream", upstream, "code", result.CodeOf(err), "error", result.Message(err))
		return
	}
	d.Log.Info("upstream requested a backoff", "upstream", upstream, "asked-ms", requested.Milliseconds())
}

// observeRequest records a finished request in metrics and log; successful ones are logged at verbosity 1.
func (d *Daemon) observeRequest(t *dispatch.Timing) {
	d.metrics.observeRequest(t)
	log := d.Log.V(1)
	if t.Err != nil {
		log = d.Log
	}
	code := result.CodeOf(t.Err)
	log.Info("request ended", "request", t.Request, "customer", t.Customer, "class", t.Class, "group", t.Group, "epoch", t.Epoch,
		"revision", d.applied.revision(), "code", int(code), "result", result.Lookup(code).Name, "tries", t.Attempts,
		"wait-ms", t.AdmissionWait.Milliseconds(), "first-ms", t.FirstToken.Milliseconds(), "total-ms", t.Total.Milliseconds(), "tokens", t.Tokens)
}

func (d *Daemon) buildCallers() {
	s := caller.NewServer()
	for i := range d.cfg.Customers {
		c := &d.cfg.Customers[i]
		for _, hash := range c.KeyHashes {
			s.Customers.Add(hash, c.Name)
		}
	}
	s.Classes, s.Limits, s.Services = d.cfg.Classes, d.cfg.Limits, d.cfg.Services
	s.Serve, s.ServeCall = d.dispatch.Serve, d.dispatch.ServeCall
	s.Models, s.CheckReady = d.applied.models, d.readiness
	s.OnRefused = d.metrics.countRefused
	d.callerServer = s
}

func (d *Daemon) buildOperators() {
	s := operator.NewServer()
	s.Operators = &keys.Ring[string]{}
	for _, o := range d.cfg.Operators {
		s.Operators.Add(o.KeyHash, o.Name)
	}
	s.Change, s.Admit = d.change, d.admitMember
	s.Machine = d.fleet
	s.Status, s.InForce = d.status, d.revisionInForce
	s.Whole, s.View, s.Policy = d.groupWhole, d.leader.View, d.leader.Policy
	d.operatorServer = s
}

// readiness returns why this daemon should get no requests from the load balancer, or nil.
func (d *Daemon) readiness() error {
	if d.stopping.Load() {
		return result.New(result.Stopping, "this daemon is stopping")
	}
	return d.freshness.check(d.now(), d.applied.revision())
}

// start creates the goroutines; Run releases them.
func (d *Daemon) start() {
	d.tasks.Go(d.peerServer.Run)
	for _, c := range d.peers {
		d.tasks.Go(c.Run)
	}
	d.tasks.Go(d.beatLoop)
	d.tasks.Go(d.applyLoop)
	d.tasks.Go(d.checkLoop)
	d.tasks.Go(d.cacheLoop)
	d.tasks.Go(d.prober.run)
	if d.control != nil {
		d.tasks.Go(d.control.run)
		d.tasks.Go(d.leadLoop)
		d.tasks.Go(d.platform.run)
	} else {
		d.tasks.Go(d.followLoop)
	}
	d.serveHTTP("callers", d.callerServer.HTTP())
	d.serveHTTP("operators", d.operatorServer.HTTP())
	d.serveHTTP("metrics", d.metrics.meter.NewServer())
}

func (d *Daemon) serveHTTP(name string, server *http.Server) {
	ln := d.listeners[name]
	if ln == nil {
		return
	}
	d.tasks.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(ln)
	})
}

// Run serves until ctx ends or the disk fails, and returns the disk's error.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.Log.Info("daemon starting", "daemon", d.cfg.Name, "incarnation", d.incarnation, "callers", d.CallerAddress(), "operators", d.OperatorAddress())
	done := make(chan struct{})
	go func() {
		d.tasks.Run(ctx)
		close(done)
	}()
	var err error
	select {
	case err = <-d.fatalErr:
		d.Log.Error(err, "daemon failed", "daemon", d.cfg.Name, "code", int(result.CodeOf(err)))
		cancel()
	case <-ctx.Done():
	}
	<-done
	d.metrics.close()
	return err
}

// fail makes Run return err.
func (d *Daemon) fail(err error) {
	select {
	case d.fatalErr <- err:
	default:
	}
}

// Stop prepares a planned stop: it reports not ready, gives the load balancer time to notice, waits for requests in
// progress and transfers leadership. It returns when Run's context can be cancelled, or when ctx ends.
func (d *Daemon) Stop(ctx context.Context) {
	d.stopping.Store(true)
	d.Log.Info("planned stop started", "daemon", d.cfg.Name)
	if !sleep(ctx, d.cfg.Times.LookAway.Std()) {
		return
	}
	d.callerServer.Stop()
	for d.callerServer.InProgress() > 0 {
		if !sleep(ctx, tickInterval) {
			return
		}
	}
	if d.control != nil {
		d.control.transferLeadership(ctx)
	}
	d.Log.Info("planned stop completed", "daemon", d.cfg.Name)
}

// CallerAddress returns host:port of the callers' listener.
func (d *Daemon) CallerAddress() string {
	return d.listeners["callers"].Addr().String()
}

// OperatorAddress returns host:port of the operators' listener.
func (d *Daemon) OperatorAddress() string {
	return d.listeners["operators"].Addr().String()
}

// sleep waits for t and returns true, or returns false when ctx ends first.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runEvery calls fn at once, and again an interval after each call has returned, until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) {
	for {
		fn()
		if !sleep(ctx, interval) {
			return
		}
	}
}

// checkLoop cancels attempts at groups that lost a member, and admits waiting requests where capacity has returned.
func (d *Daemon) checkLoop(ctx context.Context) {
	runEvery(ctx, tickInterval, func() {
		d.dispatch.CheckAttempts(d.now())
		d.admission.AdmitWaiting()
	})
}
