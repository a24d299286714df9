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

// Reports is a daemon's queue of reports for the leader.
type Reports struct{ queue *reportForwarder }

// NewReports returns a queue that makes its calls by pass.
func NewReports(pass func(ctx context.Context, list []*roster.Report) (string, error)) Reports {
	return Reports{newReportForwarder(pass)}
}

// Run passes reports on until ctx ends.
func (r Reports) Run(ctx context.Context) { r.queue.run(ctx) }

// Take returns once the leader has the report.
func (r Reports) Take(ctx context.Context, report *roster.Report) (string, error) {
	return r.queue.submit(ctx, report)
}

// Paces is what a leader knows of how fast groups and upstreams are.
type Paces struct{ paces *slowdownTracker }

// NewPaces asks upstreams by ask.
func NewPaces(ask func(ctx context.Context, address string, id ident.Incarnation) (float64, error)) Paces {
	return Paces{newSlowdownTracker(ask, logr.Discard())}
}

// Note takes what an entry saw.
func (p Paces) Note(now time.Time, seen []relay.Observation) { p.paces.addGaps(now, seen) }

// Look adds what is known to w and asks for more.
func (p Paces) Look(w *replicaset.Snapshot, groups []roster.Group, table *httproute.Table) {
	p.paces.evaluate(w, groups, table)
}

// Neighbours passes news between entries.
type Neighbours struct {
	*peerEntries
	conn *net.UDPConn
}

// NewNeighbours listens on a free port of the loopback.
func NewNeighbours(hear func(n relay.EntryUpdate, from netip.AddrPort)) (Neighbours, error) {
	conn, err := listenDatagrams("127.0.0.1:0")
	return Neighbours{newPeerEntries(hear), conn}, err
}

// Address is where the others send to.
func (n Neighbours) Address() string { return n.conn.LocalAddr().String() }

// Set replaces the entries of a hall.
func (n Neighbours) Set(addresses ...string) {
	n.setEntries(time.Now(), n.Address(), "", []EntryList{{Hall: "hall", Entries: addresses}}, nil)
}

// Tell sends news to some entries, or to all.
func (n Neighbours) Tell(news relay.EntryUpdate, to ...string) { n.enqueue(news, to) }

// Run sends and takes news until ctx ends.
func (n Neighbours) Run(ctx context.Context) { n.run(ctx, n.conn) }

// NameList returns the digest of a list.
var NameList = digestList

// Told returns the neighbours that are told of a prompt at a time.
func (n Neighbours) Told(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	return n.promptTargets(now, all)
}

// Versions keeps the configurations from which a leader can send changes.
type Versions struct{ versions }

// Add takes the configuration that counts from now on.
func (v *Versions) Add(d catalog.Document) { v.add(d) }

// Patch returns what makes the configuration of one version of an earlier one.
func (v *Versions) Patch(from, to httproute.Version) []byte { return v.patch(from, to) }

// Take puts what a leader answers to a call in force, and reports whether that is the newest configuration.
func (e *Entry) Take(called time.Time, r *SyncReply) bool { return e.applyReply(called, r) }

// Call is what the entry asks the leader next.
func (e *Entry) Call() *SyncCall {
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

// Leading is what a leader knows of entries.
type Leading struct{ *leadership }

// NewLeading returns a leadership that has heard of nobody.
func NewLeading() Leading {
	whole := roster.New()
	return Leading{&leadership{
		entryView: roster.NewView(whole),
		control: &Control{
			Log: logr.Discard(), limits: ratelimit.NewLimitTable[ident.Incarnation](), Unrecognized: unread.New[ident.Incarnation](),
		},
		roster:  whole,
		entries: map[string]*entryState{}, lists: newEntryLists(), totals: map[ident.Incarnation]int{}, localShareEntries: map[ident.Incarnation]int{},
		slowdowns: newSlowdownTracker(nil, logr.Discard()), configRollout: newRollout[httproute.Version](time.Time{}, 0),
		drainRollout: newRollout[catalog.DrainRevision](time.Time{}, 0),
	}}
}

// Roster returns what the leader knows of upstreams.
func (r Leading) Roster() *roster.Roster { return r.roster }

// Note takes what an entry tells.
func (r Leading) Note(call *SyncCall) { r.applyCall(call) }

// NewAsked returns a control daemon that knows nothing but what upstreams asked it for, with a leader's roster.
func NewAsked() (*Control, Leading) {
	r := NewLeading()
	r.control.backoffs = backoff.New[ident.Incarnation](backoff.DefaultRule())
	r.control.leadership.Store(r.leadership)
	return r.control, r
}

// Waits reports whether an upstream asked the daemon for time that is not over.
func (c *Control) Waits(id ident.Incarnation) bool { return c.backedOff(id) }

// Asked returns what upstreams asked entries for.
func (r Leading) Asked(now time.Time) map[ident.Incarnation][]BackoffState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffStates(now)
}

// NoteUnread notes a word of an upstream that nothing reads.
func (e *Entry) NoteUnread(id ident.Incarnation, word string) {
	e.relay.Unrecognized.AddNames(id, []string{word})
	e.logUpstreamSignal(&relay.BackpressureEvent{Kind: relay.BackpressureUnrecognized, Upstream: id, HeaderName: word})
}

// Unread returns the words of an upstream that nothing reads.
func (r Leading) Unread(id ident.Incarnation) []string { return r.control.Unrecognized.Of(id) }

// ForgetUnread forgets those of upstreams that have ended.
func (r Leading) ForgetUnread(now time.Time) { r.pruneUnrecognized(now) }

// LimitUpdates returns the limits that entries are told of.
func (r Leading) LimitUpdates(now time.Time) map[ident.Incarnation]LimitSummary {
	return r.limitSummaries(now)
}

// LimitStates returns the limits as operators see them.
func (r Leading) LimitStates(now time.Time) map[ident.Incarnation]*LimitState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitStates(now)
}

// Forget drops an entry.
func (r Leading) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeEntry(name)
}

// Lists returns the lists of entries that the caller has not.
func (r Leading) Lists(call *SyncCall) []EntryList {
	var reply SyncReply
	r.fillLists(time.Now(), call, &reply)
	for i := range reply.ListChanges {
		c := &reply.ListChanges[i]
		kept := r.lists.lists[c.Hall]
		base := kept[slices.IndexFunc(kept, func(n digestedList) bool { return n.digest == c.Base })]
		reply.Lists = append(reply.Lists, EntryList{c.Hall, c.apply(base.list)})
	}
	return reply.Lists
}

// MergeQuarantine takes what a caller tells of works and returns what it is told.
func (c *Control) MergeQuarantine(now time.Time, call *SyncCall) SyncReply {
	var reply SyncReply
	c.mergeQuarantine(now, call, &reply)
	return reply
}

// Remember writes what is to outlive a restart, Recall reads it again.
func (c *Control) Remember() error { return c.saveRoster(&roster.Delta{}) }

// CloseFolder lets another life of the daemon use its folder.
func (c *Control) CloseFolder() { c.store.Close() }

// Recall reads what the last life has written.
func (c *Control) Recall() { c.loadRoster() }

// CallerBounds returns the bounds on callers that are in force.
func (e *Entry) CallerBounds() inbound.Bounds { return e.callerServer.Bounds() }

// KnownEntries is the entries that an entry knows of.
type KnownEntries struct{ entries *knownEntries }

// NewKnownEntries returns one that knows nobody.
func NewKnownEntries() KnownEntries { return KnownEntries{newKnownEntries()} }

// Take hears of a leader's lists.
func (c KnownEntries) Take(now time.Time, leadership LeadershipID, changed []EntryList) bool {
	return c.entries.apply(now, leadership, changed)
}

// All returns those that count.
func (c KnownEntries) All() map[ident.Hall][]string { return c.entries.all() }

// Sharers returns how many entries share the retries.
func (e *Entry) Sharers() int { return e.relay.Budget.Entries() }

// Rollout follows configurations to the entries.
type Rollout struct{ rollout *rollout[httproute.Version] }

// RolloutReport says how far a configuration has got.
type RolloutReport = rolloutReport[httproute.Version]

// NewRollout returns one that follows nothing.
func NewRollout() Rollout { return Rollout{newRollout[httproute.Version](time.Time{}, 0)} }

// NewRolloutAfter returns that of a leader which begins at a moment after one that had so many entries.
func NewRolloutAfter(began time.Time, expected int) Rollout {
	return Rollout{newRollout[httproute.Version](began, expected)}
}

// Rest returns how long a confirmation waits yet.
func (r Rollout) Rest(now time.Time, version httproute.Version) time.Duration {
	return r.rollout.remainingWait(now, version)
}

// Accept begins to follow a version.
func (r Rollout) Accept(offered, now time.Time, version httproute.Version) {
	r.rollout.track(offered, now, version)
}

// Hear notes the version that an entry has in force.
func (r Rollout) Hear(now time.Time, entry string, version httproute.Version) {
	r.rollout.noteVersion(now, entry, version)
}

// Reports returns what is to be logged.
func (r Rollout) Reports(now time.Time) []RolloutReport { return r.rollout.newReports(now) }

// LogLimiter bounds log lines.
type LogLimiter struct{ limiter *logLimiter }

// NewLogLimiter lets so many lines a second through.
func NewLogLimiter(lines int) LogLimiter { return LogLimiter{&logLimiter{linesPerSecond: lines}} }

// Next counts one case.
func (l LogLimiter) Next(now time.Time) (many int, ok bool) { return l.limiter.allow(now) }

// Decided returns how many configurations the daemon wrote to the log as leader.
func (c *Control) Decided() int64 { return c.proposedConfigs.Load() }

// Follow returns what a daemon that has a version takes of a leader's reply.
func Follow(version httproute.Version, r *SyncReply) (config, patch []byte) {
	f := follower{version: version}
	f.recordReply(r)
	return r.Config, r.Patch
}

// Drained returns the drained halls that are in force.
func (e *Entry) Drained() []ident.Hall { return e.relay.Drained() }

// SeedGroups gives the leader so many open groups, each with a head, and so many upstreams beside them.
func (r Leading) SeedGroups(now time.Time, groups, others int) {
	var upstreams []roster.Upstream
	var list []roster.Group
	for i := range groups + others {
		id := ident.Incarnation(fmt.Sprintf("i-%08x@mo69%04d", i*2654435761, i))
		upstreams = append(upstreams, roster.Upstream{
			ID: id, Service: "model-service", Address: fmt.Sprintf("10.1.%d.%d:8727", i/200, i%200), Hall: "a-hall", Domain: "a-domain", Slots: 22,
			Loaded: []ident.Model{"a-model"}, Staged: []ident.Model{"b-model"}, Last: "a-model",
		})
		if i < groups {
			list = append(list, roster.Group{
				Name: ident.Group(fmt.Sprintf("g%05x", i)), Epoch: ident.Epoch(i + 1), Service: "model-service", Model: "a-model", Phase: roster.PhaseOpen,
				Members: []ident.Incarnation{id},
			})
			r.totals[id] = 1 + i%20
		}
	}
	r.roster.Seed(now, upstreams, list)
	r.entryView.Update(func(ident.Service) bool { return false })
}

// Reply is what a call for news gets of the roster, the totals and the lists.
func (r Leading) Reply(call *SyncCall) SyncReply {
	reply := SyncReply{Leads: true, Leader: "10.1.0.250:7140", Leadership: r.name, Usable: true, Entries: r.applyCall(call)}
	r.fillChanges(call, &reply)
	now := time.Now()
	reply.Totals = r.encodedTotals(now)
	r.fillLists(now, call, &reply)
	return reply
}

// Turn is when a reply of a leader with that link is sent, and whether it is at all.
func (r Leading) Turn(now time.Time, bytes int, link float64) (time.Duration, bool) {
	r.bulkPacer.bytesPerSecond = pacedLinkFraction * link
	return r.bulkPacer.reserve(now, bytes)
}

// Succeeds names a leadership that begins now after a leader which had so many entries.
func (r Leading) Succeeds(name LeadershipID, entries int) {
	r.name = name
	r.configRollout.startedAt, r.configRollout.expectedEntries = time.Now(), entries
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

// ListsStale lets the next reply tell of entries that have come and gone.
func (r Leading) ListsStale() { r.lists.builtAt = time.Time{} }

// Totals returns the requests of all entries.
func (r Leading) Totals() map[ident.Incarnation]int { return maps.Clone(r.totals) }

// LookPause is how long a leader gathers changes after a look that took so long.
var LookPause = evaluatePause

// SpreadOf is the time over which so many entries ask for a leader.
var SpreadOf = jitterFor

// RenewedAtTheEnd ends the leadership of a daemon that leads, and reports whether calls that wait for news are woken by it.
func (c *Control) RenewedAtTheEnd() bool {
	c.mu.Lock()
	renewed := c.stateChanged
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.node.TransferLeadership(ctx)
	select {
	case <-renewed:
		return true
	case <-ctx.Done():
		return false
	}
}
