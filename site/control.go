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
	// snapshotEvery is the number of log entries after which a snapshot is taken; each entry is a whole configuration.
	snapshotEvery = 32
	// operatorLines bounds the log lines of one kind on operators' calls, in lines a second.
	operatorLines = 20
	// headerTime and idleTime bound the connections of upstreams and operators.
	headerTime = 5 * time.Second
	idleTime   = 30 * time.Second
)

// Control is a daemon that keeps the replicated configuration and, while it leads, the groups; exported fields are set before Run.
type Control struct {
	Settings *settings.Site
	Log      logr.Logger
	Dial     transport.Dial
	// DecodeConfig reads a configuration in the form in which operators send it.
	DecodeConfig func(body []byte) (*httproute.Config, error)
	// SendOrder sends an order to an engine, once.
	SendOrder func(ctx context.Context, o *replicaset.Order) replicaset.Outcome
	// QuerySlowdown asks an engine how many times longer than usual all takes there; nil when engines can't be asked.
	QuerySlowdown func(ctx context.Context, address string, id ident.Incarnation) (float64, error)
	// Handler serves the calls of upstreams and operators.
	Handler http.Handler
	// LoadSettings reads the settings again.
	LoadSettings func() (*settings.Site, error)
	// Unrecognized is what upstreams say in their answers that nothing reads.
	Unrecognized *unread.List[ident.Incarnation]

	self      quorum.MemberID
	folder    *disk.Folder
	store     *quorum.Store
	node      *quorum.Node
	machine   *catalog.Machine
	versions  *versions
	peers     *peers
	directory *directory
	meter     *meter.Meter
	tallies   *tallies
	failed    chan error

	mu     sync.Mutex
	copied *roster.Copy
	// copiedAt is when the copy was last confirmed by the leader of copiedOf; recalled is set when it comes from the last
	// life.
	copiedAt time.Time
	copiedOf LeadershipID
	recalled bool
	// table is the configuration of tableOf laid out; only a leader needs it.
	table   *httproute.Table
	tableOf httproute.Version
	// renewed is closed when another configuration counts, other halls are drained, or this daemon leads no more.
	renewed   chan struct{}
	strangers map[quorum.MemberID]time.Time

	leadership atomic.Pointer[leadership]
	reports    *reports
	unusable   logLimiter
	// refusals and reads bound the lines on configurations that operators offer and read.
	refusals logLimiter
	// offers are the decisions on configurations that are under way.
	offers singleflight.Group
	// entriesHeard is how many entries the leader had that this daemon followed last.
	entriesHeard atomic.Int64
	// decided counts the configurations that this daemon wrote to the log as leader.
	decided atomic.Int64
	reads   logLimiter
	held    *quarantine.List
	// asked is what upstreams asked this daemon for.
	asked *backoff.List[ident.Incarnation]
	// limits are the limits that upstreams named to this daemon.
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
		self: store.ID(), folder: folder, store: store, node: quorum.NewNode(store), machine: catalog.NewMachine(), versions: &versions{},
		directory: newDirectory(cfg.SeedPeers()), failed: make(chan error, 1),
		copied: roster.NewCopy(), renewed: make(chan struct{}), strangers: map[quorum.MemberID]time.Time{},
	}
	c.machine.Changed = c.configChanged
	c.machine.DrainChanged = c.drainChanged
	c.held = &quarantine.List{Rule: heldRule(&cfg.Quarantine)}
	c.refusals.Lines, c.reads.Lines = operatorLines, operatorLines
	c.limits = ratelimit.NewLimitTable[ident.Incarnation]()
	c.Unrecognized = unread.New[ident.Incarnation]()
	c.asked = backoff.New[ident.Incarnation](backoffRule(&cfg.Backoff))
	c.reports = newReports(c.passReports)
	c.meter = meter.New()
	c.tallies = newTallies(c.meter.Scope)
	return c, nil
}

// Run serves until ctx ends or the data folder fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	c.peers = newPeers(ctx, c.Dial)
	c.prepareNode()
	c.recall()
	server, err := c.listenPeers()
	if err != nil {
		return err
	}
	servers, err := c.listenCalls()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.store.Run(ctx) })
	wg.Go(func() { c.node.Run(ctx) })
	wg.Go(func() { server.Run(ctx) })
	wg.Go(func() { c.memberLoop(ctx) })
	wg.Go(func() { c.reports.run(ctx) })
	wg.Go(func() { c.leadLoop(ctx) })
	wg.Go(func() { c.followLoop(ctx) })
	wg.Go(func() { c.rememberLoop(ctx) })
	c.Log.Info("control daemon started", "name", c.Settings.Name, "member", c.self, "seeds", c.Settings.Seeds, "first-start", c.Settings.FirstStart)
	select {
	case <-ctx.Done():
	case err = <-c.failed:
		c.Log.Error(err, "control daemon fails", "code", int(result.CodeOf(err)))
	}
	c.handOver()
	end()
	for _, s := range servers {
		_ = s.Close()
	}
	wg.Wait()
	c.peers.wait()
	c.Log.Info("control daemon stopped")
	return errors.Join(err, c.meter.Close())
}

func (c *Control) prepareNode() {
	cfg := c.Settings.Times
	n := c.node
	n.Timing = quorum.Timing{Heartbeat: cfg.Heartbeat.Std(), Election: cfg.Election.Std(), Lease: cfg.Lease.Std()}
	n.Seed = seedOf(c.self)
	n.SnapshotEvery = snapshotEvery
	n.Send = c.peers.send
	n.Apply = func(_ quorum.Index, data []byte) any { return c.machine.Apply(data) }
	n.TakeSnapshot = c.machine.Snapshot
	n.Restore = func(_ quorum.Index, data []byte) error { return c.machine.Restore(data) }
	n.Fatal = c.fatal
	n.Log = c.Log
}

// seedOf spreads the members' election times.
func seedOf(id quorum.MemberID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id.Folder))
	return h.Sum64()
}

func (c *Control) fatal(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

func (c *Control) listenPeers() (serverRunner, error) {
	ln, err := net.Listen("tcp", c.Settings.PeerListen())
	if err != nil {
		return nil, result.Wrap(err, result.StartFailed, "peers' address cannot be used")
	}
	return newServer(ln, &Handlers{Deliver: c.node.Deliver, Hello: c.hello, Join: c.join, Sync: c.sync, Pass: c.pass, Inspect: c.inspect, Drain: c.orderDrain})
}

// serverRunner is a server of links.
type serverRunner interface{ Run(ctx context.Context) }

func (c *Control) listenCalls() ([]server, error) {
	return serveAll(c.Log, []listener{
		{c.Settings.Listen.Control, &http.Server{Handler: c.Handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{c.Settings.Listen.Metrics, c.meter.HTTP()},
	})
}

// handOver gives the lead to another member before this one stops.
func (c *Control) handOver() {
	if c.node.Status().Role != quorum.RoleLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c.node.TransferLeadership(ctx) {
		c.Log.Info("lead handed over")
		pause(ctx, c.Settings.Times.Heartbeat.Std())
	}
}

// configChanged wakes those who wait for a new configuration.
func (c *Control) configChanged(d catalog.Document) {
	c.versions.add(d)
	c.renew()
	c.Log.Info("configuration held", "version", d.Version, "packed-bytes", len(d.Packed))
}

// renew wakes the calls that wait for news of what the log holds.
func (c *Control) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// newestTable returns the newest configuration laid out, or nil before the first.
func (c *Control) newestTable() *httproute.Table {
	held := c.machine.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held.Version == c.tableOf {
		return c.table
	}
	cfg, err := decodePacked(held.Packed, c.DecodeConfig)
	c.tableOf = held.Version
	if err != nil {
		// It was checked before it was accepted, so this is a fault of this build.
		c.Log.Error(err, "accepted configuration cannot be read", "version", held.Version)
		return c.table
	}
	c.table = httproute.NewTable(cfg)
	return c.table
}

// decodePacked reads a packed configuration.
func decodePacked(packed []byte, decode func(body []byte) (*httproute.Config, error)) (*httproute.Config, error) {
	body, err := catalog.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return decode(body)
}

// leads reports whether this daemon may act as leader now: it holds the lease and knows everything that was committed.
// Earlier leases are over: each of its voters had not heard another leader for the election time, which is longer than a
// lease, and a leader that hands over gives its lease up first.
func (c *Control) leads() bool {
	return c.node.HoldsLease(clock.Now()) && c.node.Status().KnowsCommitted
}

// leader returns the peers' address of the leader that this daemon knows, or nothing.
func (c *Control) leader() string {
	s := c.node.Status()
	if s.Role == quorum.RoleLeader {
		return string(c.self.Name)
	}
	if s.Leader != "" && clock.Since(s.LastContact) < c.Settings.Times.Election.Std() {
		return string(s.Leader)
	}
	if known := c.directory.knownLeader(); known != string(c.self.Name) {
		return known
	}
	return ""
}

// controls returns the peers' addresses of all control daemons that this one knows.
func (c *Control) controls() []string {
	known := map[string]bool{string(c.self.Name): true}
	for _, m := range c.node.Status().Members {
		known[string(m.ID.Name)] = true
	}
	c.mu.Lock()
	for id := range c.strangers {
		known[string(id.Name)] = true
	}
	c.mu.Unlock()
	var list []string
	for address := range known {
		list = append(list, address)
	}
	return list
}

// followLoop keeps the copy of the roster up to date while another daemon leads.
func (c *Control) followLoop(ctx context.Context) {
	f := &follower{
		peers: c.peers, directory: c.directory, log: c.Log,
		describe: func(call *SyncCall) {
			call.From = string(c.self.Name)
			// The log brings the configuration here.
			call.Version = c.machine.Held().Version
			call.Drains = c.machine.Drained().Revision
			call.HeldSum = c.held.Digest(clock.Now())
		},
		apply:  c.applySync,
		commit: func(time.Time, *SyncReply) bool { return true },
		sums:   c.copiedSums,
		reread: c.reread,
	}
	f.found, f.entries, f.astray = clock.Now(), entriesUnknown, true
	for ctx.Err() == nil {
		if c.node.Status().Role == quorum.RoleLeader {
			f.leadership, f.revision, f.astray = "", 0, true
			pause(ctx, syncHold)
			continue
		}
		if leader := c.leader(); leader != "" {
			c.directory.learn(leader, nil)
		}
		if f.once() {
			f.regained()
			continue
		}
		f.missed(ctx)
	}
}

func (c *Control) applySync(_ time.Time, r *SyncReply) bool {
	c.applyQuarantine(clock.Now(), r.Held)
	c.entriesHeard.Store(int64(r.Entries))
	if !r.Usable {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copied.Apply(&r.Changes)
	c.copiedAt = clock.Now()
	c.copiedOf = r.Leadership
	return true
}

// copiedSums returns the digests of the copy of the roster, nil when it is empty.
func (c *Control) copiedSums() *roster.Digests {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.copied.Upstreams) == 0 {
		return nil
	}
	return c.copied.Digests()
}

func (c *Control) reread() {
	cfg, err := c.LoadSettings()
	if err != nil {
		c.Log.Error(err, "settings cannot be read again")
		return
	}
	c.directory.setSeeds(cfg.SeedPeers())
}

// Reload takes the parts of the settings that may change while the daemon runs.
func (c *Control) Reload() {
	c.reread()
	c.Log.Info("settings read again", "seeds", c.directory.list())
}
