package site

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/unread"
)

// NextMembers lets the external tests drive membership without daemons.
var NextMembers = nextMembers

// ReportForwarder is a daemon's queue of reports for the leader.
type ReportForwarder struct{ forwarder *reportForwarder }

// NewReportForwarder returns a queue that makes its calls by pass.
func NewReportForwarder(forward func(ctx context.Context, list []*roster.Report) (string, error)) ReportForwarder {
	return ReportForwarder{newReportForwarder(forward)}
}

// Run passes reports on until ctx ends.
func (r ReportForwarder) Run(ctx context.Context) { r.forwarder.run(ctx) }

// Submit returns once the leader has the report.
func (r ReportForwarder) Submit(ctx context.Context, report *roster.Report) (string, error) {
	return r.forwarder.submit(ctx, report)
}

// SlowdownTracker is what a leader knows of how fast groups and upstreams are.
type SlowdownTracker struct{ tracker *slowdownTracker }

// NewSlowdownTracker asks upstreams by ask.
func NewSlowdownTracker(query func(ctx context.Context, address string, id ident.Incarnation) (float64, error)) SlowdownTracker {
	return SlowdownTracker{newSlowdownTracker(query, logr.Discard())}
}

// AddGaps takes what an entry saw.
func (p SlowdownTracker) AddGaps(now time.Time, seen []relay.Observation) {
	p.tracker.addGaps(now, seen)
}

// Evaluate adds what is known to w and asks for more.
func (p SlowdownTracker) Evaluate(snapshot *replicaset.Snapshot, groups []roster.Group, table *httproute.Table) {
	p.tracker.evaluate(snapshot, groups, table)
}

// PeerEntries passes news between entries.
type PeerEntries struct {
	*peerEntries
	conn *net.UDPConn
}

// NewPeerEntries listens on a free port of the loopback.
func NewPeerEntries(receive func(n relay.EntryUpdate, from netip.AddrPort)) (PeerEntries, error) {
	conn, err := listenDatagrams("127.0.0.1:0")
	return PeerEntries{newPeerEntries(receive), conn}, err
}

// Address is where the others send to.
func (n PeerEntries) Address() string { return n.conn.LocalAddr().String() }

// SetEntries replaces the entries of a hall.
func (n PeerEntries) SetEntries(addresses ...string) {
	n.setEntries(time.Now(), n.Address(), "", []EntryList{{Hall: "hall", Entries: addresses}}, nil)
}

// Enqueue sends news to some entries, or to all.
func (n PeerEntries) Enqueue(update relay.EntryUpdate, to ...string) { n.enqueue(update, to) }

// Run sends and takes news until ctx ends.
func (n PeerEntries) Run(ctx context.Context) { n.run(ctx, n.conn) }

// DigestList returns the digest of a list.
var DigestList = digestList

// PromptTargets returns the neighbours that are told of a prompt at a time.
func (n PeerEntries) PromptTargets(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	return n.promptTargets(now, all)
}

// Versions keeps the configurations from which a leader can send changes.
type Versions struct{ versions }

// Add takes the configuration that counts from now on.
func (v *Versions) Add(d catalog.Document) { v.add(d) }

// Patch returns what makes the configuration of one version of an earlier one.
func (v *Versions) Patch(from, to httproute.Version) []byte { return v.patch(from, to) }

// ApplyReply puts what a leader answers to a call in force, and reports whether that is the newest configuration.
func (e *Entry) ApplyReply(sentAt time.Time, reply *SyncReply) bool {
	return e.applyReply(sentAt, reply)
}

// NextCall is what the entry asks the leader next.
func (e *Entry) NextCall() *SyncCall {
	call := &SyncCall{}
	e.fillCall(call)
	return call
}

// Quarantine returns what the entry knows of held work.
func (e *Entry) Quarantine() *quarantine.List { return e.relay.Quarantine }

// InForce returns the version by which the entry serves, and since when it is not sure that this is the newest.
func (e *Entry) InForce() (httproute.Version, time.Duration) {
	return e.relay.Version(), e.relay.ConfirmedAge()
}

// Leadership is what a leader knows of entries.
type Leadership struct{ *leadership }

// NewLeadership returns a leadership that has heard of nobody.
func NewLeadership() Leadership {
	full := roster.New()
	return Leadership{&leadership{
		entryView: roster.NewView(full),
		control: &Control{
			Log: logr.Discard(), limits: ratelimit.NewLimitTable[ident.Incarnation](), Unrecognized: unread.New[ident.Incarnation](),
		},
		roster:  full,
		entries: map[string]*entryState{}, lists: newEntryLists(), totals: map[ident.Incarnation]int{}, localShareEntries: map[ident.Incarnation]int{},
		slowdowns: newSlowdownTracker(nil, logr.Discard()), configRollout: newRollout[httproute.Version](time.Time{}, 0),
		drainRollout: newRollout[catalog.DrainRevision](time.Time{}, 0),
	}}
}

// Roster returns what the leader knows of upstreams.
func (r Leadership) Roster() *roster.Roster { return r.roster }

// ApplyCall takes what an entry tells.
func (r Leadership) ApplyCall(call *SyncCall) { r.applyCall(call) }

// NewControlWithBackoffs returns a control daemon that knows nothing but what upstreams asked it for, with a leader's roster.
func NewControlWithBackoffs() (*Control, Leadership) {
	r := NewLeadership()
	r.control.backoffs = backoff.New[ident.Incarnation](backoff.DefaultRule())
	r.control.leadership.Store(r.leadership)
	return r.control, r
}

// BackedOff reports whether an upstream asked the daemon for time that is not over.
func (c *Control) BackedOff(id ident.Incarnation) bool { return c.backedOff(id) }

// BackoffStates returns what upstreams asked entries for.
func (r Leadership) BackoffStates(now time.Time) map[ident.Incarnation][]BackoffState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffStates(now)
}

// NoteUnrecognized notes a word of an upstream that nothing reads.
func (e *Entry) NoteUnrecognized(id ident.Incarnation, name string) {
	e.relay.Unrecognized.AddNames(id, []string{name})
	e.logUpstreamSignal(&relay.BackpressureEvent{Kind: relay.BackpressureUnrecognized, Upstream: id, HeaderName: name})
}

// Unrecognized returns the words of an upstream that nothing reads.
func (r Leadership) Unrecognized(id ident.Incarnation) []string { return r.control.Unrecognized.Of(id) }

// PruneUnrecognized forgets those of upstreams that have ended.
func (r Leadership) PruneUnrecognized(now time.Time) { r.pruneUnrecognized(now) }

// LimitSummaries returns the limits that entries are told of.
func (r Leadership) LimitSummaries(now time.Time) map[ident.Incarnation]LimitSummary {
	return r.limitSummaries(now)
}

// LimitStates returns the limits as operators see them.
func (r Leadership) LimitStates(now time.Time) map[ident.Incarnation]*LimitState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitStates(now)
}

// RemoveEntry drops an entry.
func (r Leadership) RemoveEntry(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeEntry(name)
}

// ListsFor returns the lists of entries that the caller has not.
func (r Leadership) ListsFor(call *SyncCall) []EntryList {
	var reply SyncReply
	r.fillLists(time.Now(), call, &reply)
	for i := range reply.ListChanges {
		change := &reply.ListChanges[i]
		kept := r.lists.lists[change.Hall]
		base := kept[slices.IndexFunc(kept, func(n digestedList) bool { return n.digest == change.Base })]
		reply.Lists = append(reply.Lists, EntryList{change.Hall, change.apply(base.list)})
	}
	return reply.Lists
}

// MergeQuarantine takes what a caller tells of works and returns what it is told.
func (c *Control) MergeQuarantine(now time.Time, call *SyncCall) SyncReply {
	var reply SyncReply
	c.mergeQuarantine(now, call, &reply)
	return reply
}

// SaveRoster writes what is to outlive a restart, Recall reads it again.
func (c *Control) SaveRoster() error { return c.saveRoster(&roster.Delta{}) }

// CloseFolder lets another life of the daemon use its folder.
func (c *Control) CloseFolder() { c.store.Close() }

// LoadRoster reads what the last life has written.
func (c *Control) LoadRoster() { c.loadRoster() }

// CallerBounds returns the bounds on callers that are in force.
func (e *Entry) CallerBounds() inbound.Bounds { return e.callerServer.Bounds() }

// KnownEntries is the entries that an entry knows of.
type KnownEntries struct{ entries *knownEntries }

// NewKnownEntries returns one that knows nobody.
func NewKnownEntries() KnownEntries { return KnownEntries{newKnownEntries()} }

// Apply hears of a leader's lists.
func (c KnownEntries) Apply(now time.Time, leadership LeadershipID, changed []EntryList) bool {
	return c.entries.apply(now, leadership, changed)
}

// All returns those that count.
func (c KnownEntries) All() map[ident.Hall][]string { return c.entries.all() }

// RetrySharers returns how many entries share the retries.
func (e *Entry) RetrySharers() int { return e.relay.Budget.Entries() }

// Rollout follows configurations to the entries.
type Rollout struct{ rollout *rollout[httproute.Version] }

// RolloutReport says how far a configuration has got.
type RolloutReport = rolloutReport[httproute.Version]

// NewRollout returns one that follows nothing.
func NewRollout() Rollout { return Rollout{newRollout[httproute.Version](time.Time{}, 0)} }

// NewRolloutOfSuccessor returns that of a leader which begins at a moment after one that had so many entries.
func NewRolloutOfSuccessor(startedAt time.Time, expected int) Rollout {
	return Rollout{newRollout[httproute.Version](startedAt, expected)}
}

// RemainingWait returns how long a confirmation waits yet.
func (r Rollout) RemainingWait(now time.Time, version httproute.Version) time.Duration {
	return r.rollout.remainingWait(now, version)
}

// Track begins to follow a version.
func (r Rollout) Track(offered, now time.Time, version httproute.Version) {
	r.rollout.track(offered, now, version)
}

// NoteVersion notes the version that an entry has in force.
func (r Rollout) NoteVersion(now time.Time, entry string, version httproute.Version) {
	r.rollout.noteVersion(now, entry, version)
}

// NewReports returns what is to be logged.
func (r Rollout) NewReports(now time.Time) []RolloutReport { return r.rollout.newReports(now) }

// LogLimiter bounds log lines.
type LogLimiter struct{ limiter *logLimiter }

// NewLogLimiter lets so many lines a second through.
func NewLogLimiter(lines int) LogLimiter { return LogLimiter{&logLimiter{linesPerSecond: lines}} }

// Allow counts one case.
func (l LogLimiter) Allow(now time.Time) (occurrences int, ok bool) { return l.limiter.allow(now) }

// ProposedConfigs returns how many configurations the daemon wrote to the log as leader.
func (c *Control) ProposedConfigs() int64 { return c.proposedConfigs.Load() }

// AcceptedConfig returns what a daemon that has a version takes of a leader's reply.
func AcceptedConfig(version httproute.Version, reply *SyncReply) (config, patch []byte) {
	follow := follower{version: version}
	follow.recordReply(reply)
	return reply.Config, reply.Patch
}

// Drained returns the drained halls that are in force.
func (e *Entry) Drained() []ident.Hall { return e.relay.Drained() }

// SeedGroups gives the leader so many open groups, each with a head, and so many upstreams beside them.
func (r Leadership) SeedGroups(now time.Time, groups, others int) {
	var upstreams []roster.Upstream
	var seeded []roster.Group
	for i := range groups + others {
		id := ident.Incarnation(fmt.Sprintf("i-%08x@mo69%04d", i*2654435761, i))
		upstreams = append(upstreams, roster.Upstream{
			ID: id, Service: "model-service", Address: fmt.Sprintf("10.1.%d.%d:8727", i/200, i%200), Hall: "a-hall", Domain: "a-domain", Slots: 22,
			Loaded: []ident.Model{"a-model"}, Staged: []ident.Model{"b-model"}, Last: "a-model",
		})
		if i < groups {
			seeded = append(seeded, roster.Group{
				Name: ident.Group(fmt.Sprintf("g%05x", i)), Epoch: ident.Epoch(i + 1), Service: "model-service", Model: "a-model", Phase: roster.PhaseOpen,
				Members: []ident.Incarnation{id},
			})
			r.totals[id] = 1 + i%20
		}
	}
	r.roster.Seed(now, upstreams, seeded)
	r.entryView.Update(func(ident.Service) bool { return false })
}

// Reply is what a call for news gets of the roster, the totals and the lists.
func (r Leadership) Reply(call *SyncCall) SyncReply {
	reply := SyncReply{Leads: true, Leader: "10.1.0.250:7140", Leadership: r.name, Usable: true, Entries: r.applyCall(call)}
	r.fillChanges(call, &reply)
	now := time.Now()
	reply.Totals = r.encodedTotals(now)
	r.fillLists(now, call, &reply)
	return reply
}

// Reserve is when a reply of a leader with that link is sent, and whether it is at all.
func (r Leadership) Reserve(now time.Time, size int, bytesPerSecond float64) (time.Duration, bool) {
	r.bulkPacer.bytesPerSecond = pacedLinkFraction * bytesPerSecond
	return r.bulkPacer.reserve(now, size)
}

// Succeed names a leadership that begins now after a leader which had so many entries.
func (r Leadership) Succeed(name LeadershipID, expectedEntries int) {
	r.name = name
	r.configRollout.startedAt, r.configRollout.expectedEntries = time.Now(), expectedEntries
}

// Unpack returns what a reply says of the roster.
func (r *SyncReply) Unpack() (*roster.Delta, error) {
	err := r.unpack()
	return &r.Changes, err
}

// DecodeTotals returns the requests of others by what the leader tells.
func DecodeTotals(b []byte, upstreams []ident.Incarnation, own map[ident.Incarnation]int) map[ident.Incarnation]int {
	return decodeTotals(b, shortIDs(upstreams), own)
}

// RebuildLists lets the next reply tell of entries that have come and gone.
func (r Leadership) RebuildLists() { r.lists.builtAt = time.Time{} }

// Totals returns the requests of all entries.
func (r Leadership) Totals() map[ident.Incarnation]int { return maps.Clone(r.totals) }

// EvaluatePause is how long a leader gathers changes after a look that took so long.
var EvaluatePause = evaluatePause

// JitterFor is the time over which so many entries ask for a leader.
var JitterFor = jitterFor

// WaitersWokenAtLeadershipEnd ends the leadership of a daemon that leads, and reports whether calls that wait for news are woken by it.
func (c *Control) WaitersWokenAtLeadershipEnd() bool {
	c.mu.Lock()
	stateChanged := c.stateChanged
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.node.TransferLeadership(ctx)
	select {
	case <-stateChanged:
		return true
	case <-ctx.Done():
		return false
	}
}
