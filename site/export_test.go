package site

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/unread"
)

// CountRequest counts a finished request in scope.
func CountRequest(scope tally.Scope, r *relay.Record) { newEntryMetrics(scope).observe(r) }

// NextMembers gives external tests access to nextMembers.
var NextMembers = nextMembers

// HasMember reports whether the quorum has a member at a host, as far as this daemon knows.
func (c *Control) HasMember(host string) bool {
	return slices.ContainsFunc(c.node.Status().Members, func(m quorum.Member) bool {
		name, _, _ := net.SplitHostPort(string(m.ID.Name))
		return name == host
	})
}

// MemberCount returns how many members the quorum has, as far as this daemon knows.
func (c *Control) MemberCount() int { return len(c.node.Status().Members) }

// VoterHosts returns the hosts of the voters in order, as far as this daemon knows.
func (c *Control) VoterHosts() []string {
	var hosts []string
	for _, m := range c.node.Status().Members {
		if host, _, err := net.SplitHostPort(string(m.ID.Name)); err == nil && m.Voter {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// FailWrites lets all later writes to the data folder fail; it is called before Run.
func (c *Control) FailWrites(failing *atomic.Bool) {
	write := c.folder.WriteAt
	c.folder.WriteAt = func(f *os.File, b []byte, offset int64) (int, error) {
		if failing.Load() {
			return 0, syscall.EIO
		}
		return write(f, b, offset)
	}
}

// ReportForwarder is a daemon's queue of reports for the leader.
type ReportForwarder struct{ forwarder *reportForwarder }

// NewReportForwarder returns a forwarder that makes its calls by forward.
func NewReportForwarder(forward func(ctx context.Context, list []*roster.Report) (string, error)) ReportForwarder {
	return ReportForwarder{newReportForwarder(forward)}
}

// Run forwards reports until ctx ends.
func (r ReportForwarder) Run(ctx context.Context) { r.forwarder.run(ctx) }

// Submit returns once the leader has the report.
func (r ReportForwarder) Submit(ctx context.Context, report *roster.Report) (string, error) {
	return r.forwarder.submit(ctx, report)
}

// SlowdownTracker is a leader's knowledge of the speed of groups and upstreams.
type SlowdownTracker struct{ tracker *slowdownTracker }

// NewSlowdownTracker returns a tracker that queries upstreams by query.
func NewSlowdownTracker(query func(ctx context.Context, address string, id ident.Incarnation) (float64, error)) SlowdownTracker {
	return SlowdownTracker{newSlowdownTracker(query, logr.Discard())}
}

// AddGaps adds the event gaps that an entry observed.
func (p SlowdownTracker) AddGaps(now time.Time, seen []relay.Observation) {
	p.tracker.addGaps(now, seen)
}

// Evaluate adds what is known to snapshot and queries upstreams.
func (p SlowdownTracker) Evaluate(snapshot *replicaset.Snapshot, groups []roster.Group, table *httproute.Table) {
	p.tracker.evaluate(snapshot, groups, table)
}

// PeerEntries exchanges updates with other entries.
type PeerEntries struct {
	*peerEntries
	conn *net.UDPConn
}

// NewPeerEntries listens on a free loopback port.
func NewPeerEntries(receive func(update relay.EntryUpdate, from netip.AddrPort)) (PeerEntries, error) {
	conn, err := listenDatagrams("127.0.0.1:0")
	return PeerEntries{newPeerEntries(receive), conn}, err
}

// Address is where the other entries send updates.
func (n PeerEntries) Address() string { return n.conn.LocalAddr().String() }

// SetEntries replaces the entries of a hall.
func (n PeerEntries) SetEntries(addresses ...string) {
	n.setEntries(time.Now(), n.Address(), "", []EntryList{{Hall: "hall", Entries: addresses}}, nil)
}

// Enqueue queues an update to the named entries, or to all.
func (n PeerEntries) Enqueue(update relay.EntryUpdate, to ...string) { n.enqueue(update, to) }

// Run sends and receives updates until ctx ends.
func (n PeerEntries) Run(ctx context.Context) { n.run(ctx, n.conn) }

// DigestList gives external tests access to digestList.
var DigestList = digestList

// PromptTargets returns the entries that are notified of a prompt at a time.
func (n PeerEntries) PromptTargets(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	return n.promptTargets(now, all)
}

// Versions keeps the configurations from which a leader can send patches.
type Versions struct{ versions }

// Add sets the newest configuration.
func (v *Versions) Add(d catalog.Document) { v.add(d) }

// Patch returns the patch from one version to another.
func (v *Versions) Patch(from, to httproute.Version) []byte { return v.patch(from, to) }

// ApplyReply applies a leader's reply, and reports whether the entry now has the newest configuration.
func (e *Entry) ApplyReply(sentAt time.Time, reply *SyncReply) bool {
	return e.applyReply(sentAt, reply)
}

// NextCall is the entry's next call to the leader.
func (e *Entry) NextCall() *SyncCall {
	call := &SyncCall{}
	e.fillCall(call)
	return call
}

// Quarantine returns the entry's quarantine list.
func (e *Entry) Quarantine() *quarantine.List { return e.relay.Quarantine }

// InForce returns the version in force, and how long ago it was last confirmed as the newest.
func (e *Entry) InForce() (httproute.Version, time.Duration) {
	return e.relay.Version(), e.relay.ConfirmedAge()
}

// Leadership is a leadership without a running daemon.
type Leadership struct{ *leadership }

// NewLeadership returns a leadership that has received no calls.
func NewLeadership() Leadership {
	full := roster.New()
	return Leadership{&leadership{
		entryView: roster.NewView(full),
		control: &Control{
			Log: logr.Discard(), limits: ratelimit.NewLimitTable[ident.Incarnation](), Unrecognized: unread.New[ident.Incarnation](),
		},
		roster:  full,
		entries: map[string]*entryState{}, starts: newEntryStarts(defaultRetries().Window.Std()), lists: newEntryLists(), totals: map[ident.Incarnation]int{}, localShareEntries: map[ident.Incarnation]int{},
		slowdowns: newSlowdownTracker(nil, logr.Discard()), configRollout: newRollout[httproute.Version](time.Time{}, 0),
		drainRollout: newRollout[catalog.DrainRevision](time.Time{}, 0),
	}}
}

func defaultRetries() settings.Retries {
	cfg := settings.DefaultSite()
	return cfg.Retries
}

// Roster returns the leader's roster.
func (r Leadership) Roster() *roster.Roster { return r.roster }

// ApplyCall applies what an entry reports.
func (r Leadership) ApplyCall(call *SyncCall) { r.applyCall(call) }

// NewControlWithBackoffs returns a control daemon with only backoffs and a leadership.
func NewControlWithBackoffs() (*Control, Leadership) {
	r := NewLeadership()
	r.control.backoffs = backoff.New[ident.Incarnation](backoff.DefaultRule())
	r.control.leadership.Store(r.leadership)
	return r.control, r
}

// SiteLoad returns the sums of what all entries counted, for the reply to an entry.
func (r Leadership) SiteLoad(now time.Time, entry string) *siteload.Summary {
	return r.siteLoad(now, entry)
}

// PublishedLoad returns the metrics of a control daemon, as Prometheus reads them, after it has published each of the sums.
func PublishedLoad(summaries ...*siteload.Summary) string {
	m := meter.New()
	control := newControlMetrics(m.Scope)
	for _, s := range summaries {
		control.load.publish(s)
	}
	return scrape(m)
}

// scrape closes a meter, which reports what it has, and returns its metrics as Prometheus reads them.
func scrape(m *meter.Meter) string {
	_ = m.Close()
	return read(m)
}

// read returns the metrics that a meter has reported, as Prometheus reads them.
func read(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.NewServer().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

// Metrics returns the metrics as Prometheus reads them, as of the last second.
func (c *Control) Metrics() string { return read(c.meter) }

// Observe counts a finished request and writes its log line.
func (e *Entry) Observe(r *relay.Record) { e.observe(r) }

// Metrics returns the metrics as Prometheus reads them; nothing may be counted afterwards.
func (e *Entry) Metrics() string { return scrape(e.meter) }

// LoadState returns what operators see of the load.
func (r Leadership) LoadState() LoadState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadState(clock.Now())
}

// BackedOff reports whether a backoff that an upstream requested from the daemon is in effect.
func (c *Control) BackedOff(id ident.Incarnation) bool { return c.backedOff(id) }

// BackoffStates returns the backoffs of upstreams at all entries.
func (r Leadership) BackoffStates(now time.Time) map[ident.Incarnation][]BackoffState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backoffStates(now)
}

// NoteUnrecognized records an unrecognized name from an upstream.
func (e *Entry) NoteUnrecognized(id ident.Incarnation, name string) {
	e.relay.Unrecognized.AddNames(id, []string{name})
	e.logUpstreamSignal(&relay.BackpressureEvent{Kind: relay.BackpressureUnrecognized, Upstream: id, HeaderName: name})
}

// Unrecognized returns the unrecognized names of an upstream.
func (r Leadership) Unrecognized(id ident.Incarnation) []string { return r.control.Unrecognized.Of(id) }

// PruneUnrecognized deletes the names of upstreams that are no longer in the roster.
func (r Leadership) PruneUnrecognized(now time.Time) { r.pruneUnrecognized(now) }

// LimitSummaries returns the limits that are sent to entries.
func (r Leadership) LimitSummaries(now time.Time) map[ident.Incarnation]LimitSummary {
	return r.limitSummaries(now)
}

// LimitStates returns the limits as operators see them.
func (r Leadership) LimitStates(now time.Time) map[ident.Incarnation]*LimitState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitStates(now)
}

// RemoveEntry removes an entry.
func (r Leadership) RemoveEntry(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeEntry(name)
}

// ListsFor returns the lists of entries that the caller lacks, with changes applied.
func (r Leadership) ListsFor(call *SyncCall) []EntryList {
	var reply SyncReply
	r.fillLists(time.Now(), call, &reply)
	for i := range reply.ListChanges {
		change := &reply.ListChanges[i]
		versions := r.lists.lists[change.Hall]
		base := versions[slices.IndexFunc(versions, func(n digestedList) bool { return n.digest == change.Base })]
		reply.Lists = append(reply.Lists, EntryList{change.Hall, change.apply(base.list)})
	}
	return reply.Lists
}

// MergeQuarantine applies a caller's quarantine reports and returns the reply.
func (c *Control) MergeQuarantine(now time.Time, call *SyncCall) SyncReply {
	var reply SyncReply
	c.mergeQuarantine(now, call, &reply)
	return reply
}

// ReleaseQuarantine answers an operator's release as leader.
func (c *Control) ReleaseQuarantine(now time.Time, name string) error {
	return c.releaseQuarantine(now, name)
}

// QuarantineStates returns the quarantines as operators see them.
func (c *Control) QuarantineStates(now time.Time) []QuarantineState {
	return c.quarantineStates(now)
}

// SaveRoster saves an empty roster and the quarantine reports.
func (c *Control) SaveRoster() error { return c.saveRoster(&roster.Delta{}) }

// CloseFolder releases the data folder, for another run of the daemon.
func (c *Control) CloseFolder() { c.store.Close() }

// LoadRoster reads what SaveRoster wrote in the last run.
func (c *Control) LoadRoster() { c.loadRoster() }

// CallerBounds returns the bounds on callers that are in force.
func (e *Entry) CallerBounds() inbound.Bounds { return e.callerServer.Bounds() }

// KnownEntries holds the entries that an entry knows.
type KnownEntries struct{ entries *knownEntries }

// NewKnownEntries returns one without entries.
func NewKnownEntries() KnownEntries { return KnownEntries{newKnownEntries()} }

// Apply applies a leader's lists.
func (c KnownEntries) Apply(now time.Time, leadership LeadershipID, changed []EntryList) bool {
	return c.entries.apply(now, leadership, changed)
}

// All returns the entries that count.
func (c KnownEntries) All() map[ident.Hall][]string { return c.entries.all() }

// RetrySharers returns how many entries share the retry budget.
func (e *Entry) RetrySharers() int { return e.relay.Budget.Entries() }

// Close ends the goroutines of an entry that was not run.
func (e *Entry) Close() {
	_ = e.callerServer.Close()
	_ = e.forwardServer.Close()
	_ = e.meter.Close()
}

// RetryBudget returns the entry's part of the retry budget.
func (e *Entry) RetryBudget() *relay.RetryBudget { return e.relay.Budget }

// Rollout tracks configurations until the entries have them in force.
type Rollout struct{ rollout *rollout[httproute.Version] }

// RolloutReport describes the progress of a configuration.
type RolloutReport = rolloutReport[httproute.Version]

// NewRollout returns one that tracks nothing.
func NewRollout() Rollout { return Rollout{newRollout[httproute.Version](time.Time{}, 0)} }

// NewRolloutOfSuccessor returns the rollout of a leader that started at a time; its predecessor had the expected number
// of entries.
func NewRolloutOfSuccessor(startedAt time.Time, expected int) Rollout {
	return Rollout{newRollout[httproute.Version](startedAt, expected)}
}

// RemainingWait returns how much longer a confirmation waits.
func (r Rollout) RemainingWait(now time.Time, version httproute.Version) time.Duration {
	return r.rollout.remainingWait(now, version)
}

// Track starts to track a version.
func (r Rollout) Track(offeredAt, now time.Time, version httproute.Version) {
	r.rollout.track(offeredAt, now, version)
}

// NoteVersion records the version that an entry has in force.
func (r Rollout) NoteVersion(now time.Time, entry string, version httproute.Version) {
	r.rollout.noteVersion(now, entry, version)
}

// NewReports returns the reports to be logged.
func (r Rollout) NewReports(now time.Time) []RolloutReport { return r.rollout.newReports(now) }

// LogLimiter bounds the rate of log lines.
type LogLimiter struct{ limiter *logLimiter }

// NewLogLimiter returns a limiter that allows this many lines a second.
func NewLogLimiter(lines int) LogLimiter { return LogLimiter{&logLimiter{linesPerSecond: lines}} }

// Allow counts one event.
func (l LogLimiter) Allow(now time.Time) (occurrences int, ok bool) { return l.limiter.allow(now) }

// ProposedConfigs returns how many configurations the daemon proposed as leader.
func (c *Control) ProposedConfigs() int64 { return c.proposedConfigs.Load() }

// AcceptedConfig returns the parts of a leader's reply that a daemon with a version accepts.
func AcceptedConfig(version httproute.Version, reply *SyncReply) (config, patch []byte) {
	follow := follower{version: version}
	follow.recordReply(reply)
	return reply.Config, reply.Patch
}

// Drained returns the drained halls that are in force.
func (e *Entry) Drained() []ident.Hall { return e.relay.Drained() }

// SeedGroups adds open groups of one upstream each to the leader's roster, and upstreams without a group.
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

// Reply is the leader's reply to a call: roster, totals and lists.
func (r Leadership) Reply(call *SyncCall) SyncReply {
	reply := SyncReply{Leads: true, Leader: "10.1.0.250:7140", Leadership: r.name, Usable: true, Entries: r.applyCall(call)}
	r.fillChanges(call, &reply)
	now := time.Now()
	reply.Totals = r.encodedTotals(now)
	reply.NewEntryFraction = r.newEntryFraction(now)
	r.fillLists(now, call, &reply)
	return reply
}

// Reserve returns how long a reply waits to be sent by a leader with a link of this rate, and whether it is sent at
// all.
func (r Leadership) Reserve(now time.Time, size int, bytesPerSecond float64) (time.Duration, bool) {
	r.bulkPacer.bytesPerSecond = pacedLinkFraction * bytesPerSecond
	return r.bulkPacer.reserve(now, size)
}

// Succeed makes this a leadership that starts now; its predecessor had the expected number of entries.
func (r Leadership) Succeed(name LeadershipID, expectedEntries int) {
	r.name = name
	r.configRollout.startedAt, r.configRollout.expectedEntries = time.Now(), expectedEntries
}

// Unpack returns the changes of the roster in a reply.
func (r *SyncReply) Unpack() (*roster.Delta, error) {
	err := r.unpack()
	return &r.Changes, err
}

// DecodeTotals returns the requests of other entries by the leader's totals.
func DecodeTotals(b []byte, upstreams []ident.Incarnation, own map[ident.Incarnation]int) map[ident.Incarnation]int {
	return decodeTotals(b, shortIDs(upstreams), own)
}

// RebuildLists makes the next reply include entries that were added or removed.
func (r Leadership) RebuildLists() { r.lists.builtAt = time.Time{} }

// Totals returns the requests of all entries.
func (r Leadership) Totals() map[ident.Incarnation]int { return maps.Clone(r.totals) }

// EvaluatePause gives external tests access to evaluatePause.
var EvaluatePause = evaluatePause

// JitterFor gives external tests access to jitterFor.
var JitterFor = jitterFor

// WaitersWokenAtLeadershipEnd ends the leadership of a daemon that leads, and reports whether this wakes the calls that
// wait for updates.
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

// EnableForecast makes the leadership plan by forecasts and log to log.
func (r Leadership) EnableForecast(log logr.Logger) {
	r.control.Log, r.demand.Forecast, r.loggedMethods = log, true, map[ident.Model]string{}
}

// AddDemand adds the demand on an entry since its last call.
func (r Leadership) AddDemand(now time.Time, entry string, demand map[ident.Model]ModelDemand) {
	r.demand.Add(now, entry, demand)
}

// EvaluateDemand returns the demand that groups are planned by, and logs as an evaluation does.
func (r Leadership) EvaluateDemand(now time.Time) map[ident.Model]float64 {
	rates := r.demand.At(now)
	r.logForecasts(now)
	return rates
}

// Forecasts returns the forecasts that operators see.
func (r Leadership) Forecasts() []ModelForecast { return r.demand.Forecasts() }

// DepartureExpiry finds departures whose upstreams have ended.
type DepartureExpiry struct{ expiry departureExpiry }

// Expired returns the departures to remove, of upstreams that have all announced their shutdown.
func (e *DepartureExpiry) Expired(now time.Time, ids []ident.Incarnation, r *roster.Roster) []ident.Incarnation {
	var list []catalog.Departure
	for _, id := range ids {
		list = append(list, catalog.Departure{ID: id})
	}
	return e.expiry.expired(now, list, r)
}

// CommittedEntries returns the index of the newest committed log entry.
func (c *Control) CommittedEntries() uint64 { return uint64(c.node.Status().Commit) }

// StartLeadership returns a leadership of a control daemon that is not running, as a new leader starts it.
func (c *Control) StartLeadership(term quorum.Term) Leadership {
	return Leadership{c.newLeadership(&quorum.Status{Term: term})}
}

// EndLeadership ends a leadership whose lease just held.
func (c *Control) EndLeadership(r Leadership) {
	r.leaseHeldAt = clock.Now()
	c.keepRoster(r.leadership)
}

// IsInitialStart reports whether the leadership plans as before the first request of a new site.
func (r Leadership) IsInitialStart() bool { return r.initialStart }
