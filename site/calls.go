package site

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// forwardTimeout bounds a call that is forwarded to the leader; upstreams wait for a second.
	forwardTimeout = 800 * time.Millisecond
	// changeTimeout bounds the acceptance of a configuration.
	changeTimeout = 2500 * time.Millisecond
)

// Report applies the report of an upstream; it returns the address for later reports, or "" when this daemon leads.
func (c *Control) Report(ctx context.Context, report *roster.Report) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	address, err := c.report(ctx, report)
	if err == nil && report.Draining {
		c.Log.Info("upstream leaves", "upstream", report.ID, "service", report.Service, "sequence", report.Sequence)
	}
	return address, err
}

// report applies a report here when this daemon leads; otherwise it forwards the report to the leader in a batch.
func (c *Control) report(ctx context.Context, report *roster.Report) (string, error) {
	if c.leader() != string(c.self.Name) {
		if report.Draining {
			return c.drainingForwarder.submit(ctx, report)
		}
		return c.reportForwarder.submit(ctx, report)
	}
	_, err := c.answerWithTimeout(ctx, forwardTimeout, &ForwardedCall{Kind: CallReport, Reports: []*roster.Report{report}})
	return "", err
}

// forwardReports sends reports to the leader; it returns the address for later ones.
func (c *Control) forwardReports(ctx context.Context, list []*roster.Report) (string, error) {
	reply, err := c.callLeader(ctx, forwardTimeout, &ForwardedCall{Kind: CallReport, Reports: list})
	return reply.Address, err
}

// Leave applies an upstream's notice that it has stopped; it returns after a majority has the notice on disk.
func (c *Control) Leave(ctx context.Context, id ident.Incarnation) error {
	_, err := c.callLeader(ctx, forwardTimeout, &ForwardedCall{Kind: CallLeave, Upstream: id})
	c.Log.Info("upstream gone", "upstream", id, "acknowledged", err == nil)
	return err
}

// Replace accepts a configuration that was checked; it returns after a majority has it on disk, and the reachable
// entries have it in force.
func (c *Control) Replace(ctx context.Context, version httproute.Version, body []byte) error {
	startedAt := clock.Now()
	leader := c.leader()
	_, err := c.retryCall(ctx, changeTimeout, &ForwardedCall{Kind: CallReplace, From: string(c.self.Name), Version: version, Body: body})
	c.Log.Info("configuration offered", "version", version, "bytes", len(body), "leader", leader, "held", c.stateMachine.Current().Version,
		"took-ms", clock.Since(startedAt).Milliseconds(), "code", int(result.CodeOf(err)), "why", result.Message(err))
	return err
}

// LogRefusedConfig logs a configuration that was refused before it was offered to the leader.
func (c *Control) LogRefusedConfig(size int, reason error) {
	if occurrences, ok := c.refusedConfigLog.allow(clock.Now()); ok {
		c.Log.Info("configuration refused", "bytes", size, "code", int(result.CodeOf(reason)), "why", result.Message(reason), "since-last", occurrences)
	}
}

// Read returns the newest configuration as it was sent.
func (c *Control) Read(ctx context.Context) ([]byte, error) {
	startedAt := clock.Now()
	leader := c.leader()
	reply, err := c.retryCall(ctx, forwardTimeout, &ForwardedCall{Kind: CallRead, From: string(c.self.Name)})
	if occurrences, ok := c.configReadLog.allow(clock.Now()); ok {
		c.Log.Info("configuration read", "version", reply.Version, "leader", leader, "held", c.stateMachine.Current().Version,
			"took-ms", clock.Since(startedAt).Milliseconds(), "code", int(result.CodeOf(err)), "since-last", occurrences)
	}
	return reply.Body, err
}

// retryCall is callLeader for operators' calls, which are safe to repeat: it retries until timeout, at the next leader
// if there is one.
func (c *Control) retryCall(ctx context.Context, timeout time.Duration, call *ForwardedCall) (ForwardedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		leader := c.leader()
		reply, err := c.callUntilLeaderChanges(ctx, leader, timeout, call)
		switch result.CodeOf(err) {
		case result.NoLeader, result.DaemonUnreached:
		default:
			return reply, err
		}
		sleep(ctx, followRetryPause)
		if ctx.Err() != nil {
			return reply, err
		}
	}
}

// callUntilLeaderChanges makes the call and cancels it once another daemon leads: a connection to a lost leader may
// stay open without an answer.
func (c *Control) callUntilLeaderChanges(ctx context.Context, leader string, timeout time.Duration, call *ForwardedCall) (ForwardedReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if current := c.leader(); current != leader && current != "" {
				cancel()
			}
			sleep(ctx, followRetryPause)
		}
	}()
	return c.callLeader(ctx, timeout, call)
}

// callLeader answers a call here when this daemon leads, and forwards it otherwise.
func (c *Control) callLeader(ctx context.Context, timeout time.Duration, call *ForwardedCall) (ForwardedReply, error) {
	leader := c.leader()
	if leader == "" {
		return ForwardedReply{}, result.New(result.NoLeader, "no leader is known")
	}
	if leader == string(c.self.Name) {
		return c.answerWithTimeout(ctx, timeout, call)
	}
	reply, err := c.links.forward(ctx, leader, timeout, call)
	if err != nil {
		return ForwardedReply{}, err
	}
	if reply.Code != result.OK {
		return ForwardedReply{}, result.New(reply.Code, "%s", reply.Text)
	}
	return reply, nil
}

// answerForwarded answers a call that another daemon forwarded. In reply to reports it names this daemon's address
// where upstreams may report directly.
func (c *Control) answerForwarded(call *ForwardedCall) ForwardedReply {
	reply, err := c.answerWithTimeout(context.Background(), changeTimeout, call)
	if err != nil {
		return ForwardedReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	if r := c.leadership.Load(); call.Kind == CallReport && r != nil && r.roster.Len() <= maxDirectReporters {
		reply.Address = c.Settings.Listen.Control
	}
	return reply
}

// answerWithTimeout answers a call as leader, within timeout.
func (c *Control) answerWithTimeout(ctx context.Context, timeout time.Duration, call *ForwardedCall) (ForwardedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := c.answerAsLeader(ctx, call)
	c.metrics.countCall(call.Kind, err)
	return reply, err
}

func (c *Control) answerAsLeader(ctx context.Context, call *ForwardedCall) (ForwardedReply, error) {
	r := c.leadership.Load()
	if r == nil || !c.leads() {
		return ForwardedReply{}, result.New(result.NoLeader, "this daemon does not lead, or cannot confirm that it does")
	}
	switch call.Kind {
	case CallReport:
		c.applyReports(r, call.Reports)
		return ForwardedReply{}, c.recordDraining(ctx, call.Reports)
	case CallLeave:
		return ForwardedReply{}, c.signOff(ctx, r, call.Upstream)
	case CallReplace:
		return ForwardedReply{}, c.replaceConfig(ctx, r, call)
	case CallRead:
		return c.readConfig()
	case CallDrain:
		return c.drainHall(ctx, r, call)
	case CallHall:
		return ForwardedReply{HallOrder: c.hallOrder(call.Hall)}, nil
	case CallRelease:
		return ForwardedReply{}, c.releaseQuarantine(clock.Now(), call.Release)
	case CallInspect:
		s := r.state(clock.Now())
		return ForwardedReply{State: &s}, nil
	}
	return ForwardedReply{}, result.New(result.PeerRefused, "unknown call %s", call.Kind)
}

// applyReports applies reports of upstreams whose service is declared. Any other report must not replace the upstream
// at its address; it is kept until a configuration declares the service.
func (c *Control) applyReports(r *leadership, list []*roster.Report) {
	table := c.newestTable()
	for _, report := range list {
		if table != nil && table.Service(report.Service) == nil {
			c.LogUnusableReport(report.ID.UpstreamID(), result.New(result.ReportUnusable, "service %q is not declared", report.Service))
			r.mu.Lock()
			r.undeclared.add(clock.Now(), report)
			r.mu.Unlock()
			continue
		}
		r.roster.ApplyReport(clock.Now(), report)
	}
}

// LogUnusableReport logs a report that cannot be used, at most one each second; the line counts the reports since the
// last line.
func (c *Control) LogUnusableReport(upstream string, reason error) {
	if occurrences, ok := c.unusableReportLog.allow(clock.Now()); ok {
		c.Log.Info("report not usable", "upstream", upstream, "code", int(result.CodeOf(reason)), "why", result.Message(reason), "since-last", occurrences)
	}
}

// replaceConfig accepts a configuration and returns when the reachable entries have it in force.
func (c *Control) replaceConfig(ctx context.Context, r *leadership, call *ForwardedCall) error {
	if call.Version > c.stateMachine.Current().Version {
		if err := c.proposeOnce(ctx, r, call); err != nil {
			return err
		}
	}
	r.configRollout.waitInForce(ctx, call.Version)
	return nil
}

// proposeOnce writes a configuration to the log, once for all concurrent calls that bring it.
func (c *Control) proposeOnce(ctx context.Context, r *leadership, call *ForwardedCall) error {
	key := strconv.FormatUint(uint64(call.Version), 10) + "/" + strconv.FormatUint(xxhash.Sum64(call.Body), 16)
	done := c.proposals.DoChan(key, func() (any, error) {
		// The first caller may give up; the others wait for the same proposal.
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		return nil, c.propose(ctx, r, call)
	})
	select {
	case outcome := <-done:
		return outcome.Err
	case <-ctx.Done():
		return result.New(result.NoLeader, "the change was not confirmed in time")
	}
}

func (c *Control) propose(ctx context.Context, r *leadership, call *ForwardedCall) error {
	startedAt := clock.Now()
	versionBefore := c.stateMachine.Current().Version
	if call.Version <= versionBefore {
		return nil
	}
	document, err := catalog.NewDocument(call.Version, call.Body)
	if err != nil {
		return result.Wrap(err, result.ChangeInvalid, "the configuration cannot be packed")
	}
	data, err := catalog.Encode(document)
	if err != nil {
		return result.Wrap(err, result.ChangeInvalid, "the configuration cannot be encoded")
	}
	c.proposedConfigs.Add(1)
	_, index, err := c.node.Propose(ctx, data)
	if err == nil {
		r.configRollout.track(startedAt, clock.Now(), call.Version)
	}
	c.Log.Info("configuration proposed", "version", call.Version, "held-before", versionBefore, "from", call.From, "index", index,
		"packed-bytes", len(document.Compressed), "took-ms", clock.Since(startedAt).Milliseconds(), "code", int(result.CodeOf(err)))
	return err
}

func (c *Control) readConfig() (ForwardedReply, error) {
	newest := c.stateMachine.Current()
	// The lease is checked again after the read: while it holds, no other daemon can have accepted a newer
	// configuration.
	if !c.leads() {
		return ForwardedReply{}, result.New(result.NoLeader, "this daemon may no longer lead")
	}
	if newest.Version == 0 {
		return ForwardedReply{}, result.New(result.NoLeader, "there is no configuration yet")
	}
	body, err := catalog.Decompress(newest.Compressed)
	return ForwardedReply{Version: newest.Version, Body: body}, err
}

// sync answers a follower's call, at once when there are updates for the caller and after a hold time otherwise.
func (c *Control) sync(call *SyncCall) SyncReply {
	r := c.leadership.Load()
	if r == nil || !c.leads() {
		reply := SyncReply{Leader: c.awaitLeader(), Controls: c.controls()}
		c.fillCommitted(call, &reply)
		return reply
	}
	entries := r.applyCall(call)
	c.logNewerDrains(call)
	c.waitForUpdates(r, call, entries)
	reply := SyncReply{
		Leader: string(c.self.Name), Controls: c.controls(), Leadership: r.name, Entries: entries,
		Usable: r.rosterUsable(call),
	}
	if reply.Usable {
		r.fillChanges(call, &reply)
	}
	c.mergeQuarantine(clock.Now(), call, &reply)
	reply.Limits = r.limitSummaries(clock.Now())
	if call.Entry {
		now := clock.Now()
		reply.Totals = r.encodedTotals(now)
		reply.Load = r.siteLoad(now, call.From)
		reply.NewEntryFraction = r.newEntryFraction(now)
		r.fillLists(now, call, &reply)
	}
	c.fillCommitted(call, &reply)
	if bulkBytes := len(reply.Packed) + len(reply.Config); bulkBytes > 0 {
		wait, accepted := r.bulkPacer.reserve(clock.Now(), bulkBytes)
		if !accepted {
			return SyncReply{Leader: string(c.self.Name), Controls: c.controls()}
		}
		sleep(context.Background(), wait)
	}
	// Checked last: if the lease still holds, the reply contained the newest state accepted anywhere.
	reply.Leads = c.leads()
	return reply
}

const (
	// maxLeaderWait is how long a sync call waits at a daemon that knows no leader: all daemons ask while there is
	// none, and would ask again at once. leaderPollInterval is how often the daemon checks for a leader meanwhile.
	maxLeaderWait      = 250 * time.Millisecond
	leaderPollInterval = 25 * time.Millisecond
)

// awaitLeader returns the leader's address once this daemon knows it, or "" after maxLeaderWait.
func (c *Control) awaitLeader() string {
	for startedAt := clock.Now(); ; sleep(context.Background(), leaderPollInterval) {
		leader := c.leader()
		if leader != "" || clock.Since(startedAt) >= maxLeaderWait {
			return leader
		}
	}
}

// fillCommitted adds the configuration and the drained halls if the caller's are older. This daemon's state is
// committed, so any control daemon may send it; only the leader can confirm that it is the newest.
func (c *Control) fillCommitted(call *SyncCall, reply *SyncReply) {
	if drained := c.stateMachine.Drained(); drained.Revision > call.Drains {
		reply.Drained = &drained
	}
	newest := c.stateMachine.Current()
	if newest.Version <= call.Version {
		return
	}
	reply.Version = newest.Version
	if !call.Whole {
		reply.Patch = c.versions.patch(call.Version, newest.Version)
	}
	if reply.Patch == nil {
		reply.Config = newest.Compressed
	}
}

// rosterUsable reports whether the caller should apply the roster: an incomplete roster is better than none, but not
// better than a copy of a complete one.
func (r *leadership) rosterUsable(call *SyncCall) bool {
	return call.Leadership == "" || call.Leadership == r.name || r.settled(clock.Now())
}

// rosterFor returns the roster that the caller may see.
func (r *leadership) rosterFor(call *SyncCall) *roster.Roster {
	if call.Entry {
		return r.entryView.Roster
	}
	return r.roster
}

// waitForUpdates returns when there is an update for the caller, or after the hold time. Updates are gathered for a
// time that grows with the number of entries, since all of them call again after each answer.
func (c *Control) waitForUpdates(r *leadership, call *SyncCall, entries int) {
	c.mu.Lock()
	stateChanged := c.stateChanged
	c.mu.Unlock()
	revision, rosterChanged := r.rosterFor(call).Changed()
	behind := r.rosterUsable(call) && (call.Leadership != r.name || call.Revision < revision)
	if behind || c.stateMachine.Current().Version > call.Version || c.stateMachine.Drained().Revision > call.Drains {
		sleep(context.Background(), gatherTime(entries))
		return
	}
	timer := time.NewTimer(holdTime(entries))
	defer timer.Stop()
	select {
	case <-stateChanged:
	case <-rosterChanged:
		sleep(context.Background(), gatherTime(entries))
	case <-timer.C:
	}
}
