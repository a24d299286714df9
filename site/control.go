package site

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
	"github.com/dunlinquay/dunlinquay/unread"
)

const (
	// snapshotEvery is the number of log entries after which a snapshot is made; each entry is a whole configuration.
	snapshotEvery = 32
	// operatorLinesPerSecond bounds the log lines of one kind on operators' calls.
	operatorLinesPerSecond = 20
	// headerTimeout and idleTimeout bound the connections of upstreams and operators.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// Control is a daemon that keeps the replicated configuration and, while it leads, the groups; exported fields are set
// before Run.
type Control struct {
	Settings *settings.Site
	Log      logr.Logger
	Dial     transport.Dial
	// DecodeConfig decodes a configuration in the form in which operators send it.
	DecodeConfig func(body []byte) (*httproute.Config, error)
	// SendOrder sends an order to an engine, once.
	SendOrder func(ctx context.Context, o *replicaset.Order) replicaset.Outcome
	// QuerySlowdown asks an engine for its slowdown, how many times slower than normal it runs; nil when engines can't
	// be asked.
	QuerySlowdown func(ctx context.Context, address string, id ident.Incarnation) (float64, error)
	// Handler serves the calls of upstreams and operators.
	Handler http.Handler
	// LoadSettings reads the settings again.
	LoadSettings func() (*settings.Site, error)
	// Unrecognized are the headers and fields from upstreams that no code reads.
	Unrecognized *unread.List[ident.Incarnation]

	self         quorum.MemberID
	folder       *disk.Folder
	store        *quorum.Store
	node         *quorum.Node
	stateMachine *catalog.Machine
	versions     *versions
	links        *controlLinks
	directory    *controlDirectory
	meter        *meter.Meter
	metrics      *controlMetrics
	fatalErr     chan error

	mu         sync.Mutex
	rosterCopy *roster.Copy
	// copyConfirmedAt is when the leader of copyLeadership last confirmed the copy; copyFromDisk is set when the copy
	// was read from the data folder.
	copyConfirmedAt time.Time
	copyLeadership  LeadershipID
	copyFromDisk    bool
	// table is the routing table of the configuration of tableVersion; only a leader needs it.
	table        *httproute.Table
	tableVersion httproute.Version
	// stateChanged is closed when the configuration or the drained halls change, or this daemon stops leading.
	stateChanged chan struct{}
	joinRequests map[quorum.MemberID]time.Time
	// hallOrderNotes are the newest orders on halls that this daemon knows.
	hallOrderNotes map[ident.Hall]hallOrderNote

	leadership      atomic.Pointer[leadership]
	reportForwarder *reportForwarder
	// drainingForwarder forwards the reports of upstreams that shut down: their confirmation waits for the leader's
	// disk, which must not delay other reports.
	drainingForwarder *reportForwarder
	departures        *departureLog
	unusableReportLog logLimiter
	// refusedConfigLog and configReadLog limit the log lines on configurations that operators offer and read.
	refusedConfigLog logLimiter
	// proposals are the configurations that are being proposed.
	proposals singleflight.Group
	// callServer serves the calls of upstreams and operators.
	callServer *inbound.Server
	stop       chan struct{}
	stopOnce   sync.Once
	// leaderEntryCount is how many entries the leader had that this daemon last followed.
	leaderEntryCount atomic.Int64
	// proposedConfigs counts the configurations that this daemon proposed as leader.
	proposedConfigs atomic.Int64
	configReadLog   logLimiter
	// newerDrainsLog limits the log lines on entries whose drained halls have a higher revision than the leader's.
	newerDrainsLog logLimiter
	quarantine     *quarantine.List
	// backoffs are the backoffs that upstreams requested from this daemon.
	backoffs *backoff.List[ident.Incarnation]
	// limits are the limits that upstreams set for this daemon.
	limits *ratelimit.LimitTable[ident.Incarnation]
}

// NewControl opens the data folder that cfg names.
func NewControl(cfg *settings.Site) (*Control, error) {
	folder, err := disk.NewFolder(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	store, err := quorum.OpenStore(folder, ident.Daemon(cfg.PeerAddress()))
	if err != nil {
		return nil, err
	}
	c := &Control{
		Settings: cfg, Log: logr.Discard(), Dial: transport.TCP(),
		self: store.ID(), folder: folder, store: store, node: quorum.NewNode(store), stateMachine: catalog.NewMachine(), versions: &versions{},
		directory: newControlDirectory(cfg.SeedPeers()), fatalErr: make(chan error, 1),
		stop:       make(chan struct{}),
		rosterCopy: roster.NewCopy(), stateChanged: make(chan struct{}), joinRequests: map[quorum.MemberID]time.Time{},
		hallOrderNotes: map[ident.Hall]hallOrderNote{},
	}
	c.stateMachine.Changed = c.configChanged
	c.stateMachine.DrainChanged = c.drainChanged
	c.quarantine = &quarantine.List{Rule: quarantineRule(&cfg.Quarantine)}
	c.refusedConfigLog.linesPerSecond, c.configReadLog.linesPerSecond = operatorLinesPerSecond, operatorLinesPerSecond
	c.limits = ratelimit.NewLimitTable[ident.Incarnation]()
	c.Unrecognized = unread.New[ident.Incarnation]()
	c.backoffs = backoff.New[ident.Incarnation](backoffRule(&cfg.Backoff))
	c.reportForwarder, c.drainingForwarder = newReportForwarder(c.forwardReports), newReportForwarder(c.forwardReports)
	c.departures = c.newDepartureLog()
	c.meter = meter.New()
	c.metrics = newControlMetrics(c.meter.Scope)
	return c, nil
}

// Stop begins a planned stop, after which Run returns.
func (c *Control) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
}

// Run serves until a planned stop is over, ctx ends or the data folder fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.links = newControlLinks(ctx, c.Dial)
	c.prepareNode()
	c.loadRoster()
	server, err := c.listenPeers()
	if err != nil {
		return err
	}
	c.callServer = newCallServer(c.Handler)
	servers, err := c.listenCalls()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.store.Run(ctx) })
	wg.Go(func() { c.node.Run(ctx) })
	wg.Go(func() { server.Run(ctx) })
	wg.Go(func() { c.memberLoop(ctx) })
	wg.Go(func() { c.reportForwarder.run(ctx) })
	wg.Go(func() { c.drainingForwarder.run(ctx) })
	wg.Go(func() { c.departures.run(ctx) })
	wg.Go(func() { c.leadLoop(ctx) })
	wg.Go(func() { c.followLoop(ctx) })
	wg.Go(func() { c.saveRosterLoop(ctx) })
	c.Log.Info("control daemon started", "name", c.Settings.Name, "member", c.self, "seeds", c.Settings.Seeds, "first-start", c.Settings.FirstStart)
	select {
	case <-ctx.Done():
	case <-c.stop:
		c.drain(ctx)
	case err = <-c.fatalErr:
		c.Log.Error(err, "control daemon failed", "code", int(result.CodeOf(err)))
		c.transferLeadership()
		c.announceFailure(ctx)
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	wg.Wait()
	c.links.wait()
	c.Log.Info("control daemon stopped")
	return errors.Join(err, c.meter.Close())
}

func (c *Control) prepareNode() {
	cfg := c.Settings.Times
	node := c.node
	node.Timing = quorum.Timing{Heartbeat: cfg.Heartbeat.Std(), Election: cfg.Election.Std(), Lease: cfg.Lease.Std()}
	node.Seed = seedOf(c.self)
	node.SnapshotEvery = snapshotEvery
	node.Send = c.links.send
	node.Apply = func(_ quorum.Index, data []byte) any { return c.stateMachine.Apply(data) }
	node.TakeSnapshot = c.stateMachine.Snapshot
	node.Restore = func(_ quorum.Index, data []byte) error { return c.stateMachine.Restore(data) }
	node.Fatal = c.fatal
	node.Log = c.Log
}

// seedOf returns a seed that differs between members, so that their election timeouts do.
func seedOf(id quorum.MemberID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id.Folder))
	return h.Sum64()
}

func (c *Control) fatal(err error) {
	select {
	case c.fatalErr <- err:
	default:
	}
}

func (c *Control) listenPeers() (linkServer, error) {
	ln, err := net.Listen("tcp", c.Settings.PeerListen())
	if err != nil {
		return nil, result.Wrap(err, result.StartFailed, "address for peers cannot be used")
	}
	return newServer(ln, &Handlers{Deliver: c.node.Deliver, Hello: c.hello, Join: c.join, Sync: c.sync, Pass: c.answerForwarded, Inspect: c.inspect, Drain: c.answerDrain, Hall: c.answerHall, Release: c.answerRelease})
}

// linkServer is the part of a link server that Run needs.
type linkServer interface{ Run(ctx context.Context) }

// newCallServer returns the server for the calls of upstreams and operators.
func newCallServer(handler http.Handler) *inbound.Server {
	s := inbound.New(handler)
	s.TracksArrivals = true
	s.SetBounds(inbound.Bounds{MaxHeaderBytes: http.DefaultMaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	return s
}

func (c *Control) listenCalls() ([]server, error) {
	c.callServer.Log = c.Log
	return serveAll(c.Log, []listener{
		{c.Settings.Listen.Control, c.callServer},
		{c.Settings.Listen.Metrics, c.meter.NewServer()},
	})
}

// drain hands leadership and the vote over and answers the calls in progress, within the stop grace. Other goroutines go on
// meanwhile: the handover needs the quorum, and calls are forwarded to the new leader.
func (c *Control) drain(ctx context.Context) {
	began := clock.Now()
	c.Log.Info("planned stop started", "grace-ms", c.Settings.Bounds.StopGrace.Std().Milliseconds(), "connections", c.callServer.Connections())
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Bounds.StopGrace.Std()-stopMargin)
	defer cancel()
	c.transferLeadership()
	var wg sync.WaitGroup
	wg.Go(func() { c.passVoteOn(ctx) })
	c.callServer.Drain(ctx)
	wg.Wait()
	c.Log.Info("connections are closed", "stopping-ms", clock.Since(began).Milliseconds(), "connections", c.callServer.Connections())
}

// transferLeadership hands leadership to another member before this one stops.
func (c *Control) transferLeadership() {
	if c.node.Status().Role != quorum.RoleLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c.node.TransferLeadership(ctx) {
		c.Log.Info("leadership handed over")
		sleep(ctx, c.Settings.Times.Heartbeat.Std())
	}
}

// configChanged wakes the calls that wait for a new configuration.
func (c *Control) configChanged(d catalog.Document) {
	c.versions.add(d)
	c.notifyWaiting()
	c.Log.Info("configuration applied from the log", "version", d.Version, "packed-bytes", len(d.Compressed))
}

// notifyWaiting wakes the calls that wait for a change of the replicated state.
func (c *Control) notifyWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// newestTable returns the routing table of the newest configuration, or nil before the first.
func (c *Control) newestTable() *httproute.Table {
	newest := c.stateMachine.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest.Version == c.tableVersion {
		return c.table
	}
	cfg, err := decodePacked(newest.Compressed, c.DecodeConfig)
	c.tableVersion = newest.Version
	if err != nil {
		// The configuration was checked before it was accepted, so this is a fault of this build.
		c.Log.Error(err, "accepted configuration cannot be decoded", "version", newest.Version)
		return c.table
	}
	c.table = httproute.NewTable(cfg)
	return c.table
}

// decodePacked unpacks and decodes a configuration.
func decodePacked(packed []byte, decode func(body []byte) (*httproute.Config, error)) (*httproute.Config, error) {
	body, err := catalog.Decompress(packed)
	if err != nil {
		return nil, err
	}
	return decode(body)
}

// leads reports whether this daemon may act as leader now: it holds the lease and knows everything that was committed.
// Earlier leases are over: each voter for this leader had had no contact with another leader for the election timeout,
// which is longer than a lease, and a leader that transfers leadership gives up its lease first.
func (c *Control) leads() bool {
	return c.node.HoldsLease(clock.Now()) && c.node.Status().KnowsCommitted
}

// leader returns the peer address of the leader that this daemon knows, or "".
func (c *Control) leader() string {
	status := c.node.Status()
	if status.Role == quorum.RoleLeader {
		return string(c.self.Name)
	}
	if status.Leader != "" && clock.Since(status.LastContact) < c.Settings.Times.Election.Std() {
		return string(status.Leader)
	}
	if address := c.directory.knownLeader(); address != string(c.self.Name) {
		return address
	}
	return ""
}

// controls returns the peer addresses of all control daemons that this one knows.
func (c *Control) controls() []string {
	addresses := map[string]bool{string(c.self.Name): true}
	for _, m := range c.node.Status().Members {
		addresses[string(m.ID.Name)] = true
	}
	c.mu.Lock()
	for id := range c.joinRequests {
		addresses[string(id.Name)] = true
	}
	c.mu.Unlock()
	var unique []string
	for address := range addresses {
		unique = append(unique, address)
	}
	return unique
}

// followLoop keeps the copy of the roster up to date while another daemon leads.
func (c *Control) followLoop(ctx context.Context) {
	follow := &follower{
		links: c.links, directory: c.directory, log: c.Log,
		fillCall: func(call *SyncCall) {
			call.From = string(c.self.Name)
			// The replicated log brings the configuration and the drained halls here.
			call.Version = c.stateMachine.Current().Version
			call.Drains = c.stateMachine.Drained().Revision
			call.HeldSum = c.quarantine.Digest(clock.Now())
		},
		applyReply:     c.applySync,
		applyCommitted: func(time.Time, *SyncReply) bool { return true },
		rosterDigests:  c.rosterDigests,
		reloadSeeds:    c.reloadSeeds,
	}
	follow.leaderSeenAt, follow.leaderEntryCount, follow.leaderUncertain = clock.Now(), unknownEntryCount, true
	for ctx.Err() == nil {
		if c.node.Status().Role == quorum.RoleLeader {
			follow.leadership, follow.revision, follow.leaderUncertain = "", 0, true
			sleep(ctx, minSyncHold)
			continue
		}
		if leader := c.leader(); leader != "" {
			c.directory.update(leader, nil)
		}
		if follow.syncOnce() {
			follow.leaderFound()
			continue
		}
		follow.waitForRetry(ctx)
	}
}

func (c *Control) applySync(_ time.Time, reply *SyncReply) bool {
	c.applyQuarantine(clock.Now(), reply.Held)
	c.leaderEntryCount.Store(int64(reply.Entries))
	if !reply.Usable {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterCopy.Apply(&reply.Changes)
	c.copyConfirmedAt = clock.Now()
	c.copyLeadership = reply.Leadership
	return true
}

// rosterDigests returns the digests of the copy of the roster, nil when the copy is empty.
func (c *Control) rosterDigests() *roster.Digests {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rosterCopy.Upstreams) == 0 {
		return nil
	}
	return c.rosterCopy.Digests()
}

func (c *Control) reloadSeeds() {
	cfg, err := c.LoadSettings()
	if err != nil {
		c.Log.Error(err, "settings cannot be read again")
		return
	}
	c.directory.setSeeds(cfg.SeedPeers())
}

// Reload applies the settings that may change while the daemon runs.
func (c *Control) Reload() {
	c.reloadSeeds()
	c.Log.Info("settings read again", "seeds", c.directory.addresses())
}
