package replicaset

import (
	"fmt"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// sentOrder is the state of the last order of one kind to one engine for one epoch.
type sentOrder struct {
	sentAt time.Time
	// answeredAt is when the outcome became known.
	answeredAt time.Time
	outcome    Outcome
	pending    bool
	// mayArriveLate is set when an attempt to send the order has no known outcome, so that it may be carried out late; uncertainSince
	// is when the last such attempt was sent.
	mayArriveLate  bool
	uncertainSince time.Time
}

// orderKey identifies an order; engines treat a repeated order as the same one.
type orderKey struct {
	to     ident.Incarnation
	action Action
	epoch  ident.Epoch
}

// outcome returns the outcome of the last order of that kind for g, or "" while it is unknown.
func (f *Formation) outcome(g *roster.Group, to ident.Incarnation, action Action) Outcome {
	o := f.orders[orderKey{to, action, g.Epoch}]
	if o == nil || o.pending {
		return ""
	}
	return o.outcome
}

// sendOrder sends an order unless the same one is unanswered or was accepted recently.
func (f *Formation) sendOrder(g *roster.Group, to ident.Incarnation, action Action) {
	key := orderKey{to, action, g.Epoch}
	now := f.snapshot.Now
	if last := f.orders[key]; last != nil {
		resendDelay := resendAfter
		if last.outcome == OutcomeAccepted && !last.pending {
			resendDelay = repeatAfter
		}
		if now.Sub(last.sentAt) < resendDelay {
			return
		}
	}
	u := f.byID[to]
	if u == nil {
		return
	}
	sent := &sentOrder{sentAt: now, pending: true}
	order := Order{
		To: to, Address: u.Address, Action: action, Group: g.Name, Epoch: g.Epoch,
		Model: g.Model, Members: g.Members, Fence: f.Fence, Context: f.orderContext(u),
	}
	if previous := f.orders[key]; previous != nil {
		sent.mayArriveLate, sent.uncertainSince = previous.uncertain()
		if previous.pending {
			// A leader that is behind drops outcomes.
			f.markDoubtful(&order)
		}
	}
	f.orders[key] = sent
	f.Send(order)
}

// unansweredOrders counts the orders to join and to stage whose outcome is still expected. Orders to leave do not count:
// they go to upstreams that may be lost, and must not hold up the groups that replace theirs.
func (f *Formation) unansweredOrders() int {
	n := 0
	expected := func(pending bool, sentAt time.Time) bool { return pending && f.snapshot.Now.Sub(sentAt) < resendAfter }
	for key, o := range f.orders {
		if key.action == ActionJoin && expected(o.pending, o.sentAt) {
			n++
		}
	}
	for _, o := range f.staging {
		if expected(o.pending, o.sentAt) {
			n++
		}
	}
	return n
}

// uncertain reports whether an attempt of the order may still be carried out late, and when the last such attempt was sent.
func (o *sentOrder) uncertain() (bool, time.Time) {
	if o.pending {
		return true, o.sentAt
	}
	return o.mayArriveLate, o.uncertainSince
}

// describeMembership formats a membership for operators.
func describeMembership(m roster.Membership) string {
	if m.Group == "" {
		return "in no group"
	}
	return fmt.Sprintf("%s/%d member %d %s", m.Group, m.Epoch, m.Rank, m.State)
}

// orderContext returns the known state of an engine and of the group that it last reported.
func (f *Formation) orderContext(u *roster.Upstream) OrderContext {
	m, now := u.Member, f.snapshot.Now
	c := OrderContext{LastReport: describeMembership(m), LastReportAgeMS: f.snapshot.ReportAges[u.ID].Milliseconds()}
	if m.Group == "" {
		return c
	}
	for _, other := range f.byID {
		if o := other.Member; o.Group == m.Group && o.Rank == 0 && other.ID != u.ID {
			c.Head, c.HeadLastReport, c.HeadLastReportAgeMS = other.ID, describeMembership(o), f.snapshot.ReportAges[other.ID].Milliseconds()
		}
	}
	if at, ok := f.endedGroups[m.Group]; ok {
		c.Ended, c.EndedAgoMS = "over", now.Sub(at).Milliseconds()
	}
	if at, ok := f.lostGroups[m.Group]; ok {
		c.Ended, c.EndedAgoMS = "lost", now.Sub(at).Milliseconds()
	}
	if o := f.orders[orderKey{u.ID, ActionLeave, m.Epoch}]; o != nil && !o.pending {
		c.LeaveOutcome = o.outcome
	}
	join := f.orders[orderKey{u.ID, ActionJoin, m.Epoch}]
	c.JoinPending = join == nil
	if join != nil {
		c.JoinPending, _ = join.uncertain()
	}
	return c
}

// HandleOutcome applies the outcome of an order.
func (f *Formation) HandleOutcome(o *Order, outcome Outcome) {
	if o.Action == ActionStage {
		f.handleStageOutcome(o, outcome)
		return
	}
	sent := f.orders[orderKey{o.To, o.Action, o.Epoch}]
	if sent == nil {
		return
	}
	sent.pending = false
	sent.answeredAt = f.snapshot.Now
	sent.outcome = outcome
	if outcome == OutcomeUnknown {
		sent.mayArriveLate, sent.uncertainSince = true, sent.sentAt
		f.markDoubtful(o)
	}
}

// markDoubtful marks the group of an order that may be carried out late, for later leaders.
func (f *Formation) markDoubtful(o *Order) {
	if o.Action != ActionJoin && o.Action != ActionOpen {
		return
	}
	for _, g := range f.Roster.Groups() {
		if g.Name == o.Group && g.Epoch == o.Epoch && !g.Doubtful {
			g.Doubtful = true
			f.Roster.PutGroup(&g)
		}
	}
}

// lateUntil returns until when an order for g may still be carried out late, or the zero time if none may. The orders of earlier leaders
// are not known; a doubtful group may have some.
func (f *Formation) lateUntil(g *roster.Group, to ident.Incarnation, action Action) time.Time {
	if o := f.orders[orderKey{to, action, g.Epoch}]; o != nil {
		if uncertain, sentAt := o.uncertain(); uncertain {
			return sentAt.Add(maxOrderDelay)
		}
		return time.Time{}
	}
	if g.Doubtful {
		return f.startedAt.Add(maxOrderDelay)
	}
	return time.Time{}
}

func (f *Formation) handleStageOutcome(o *Order, outcome Outcome) {
	staged, ok := f.staging[o.To]
	if !ok {
		return
	}
	staged.pending = false
	if outcome != OutcomeAccepted {
		staged.deadline = f.snapshot.Now.Add(stageRetryAfter)
	}
	f.staging[o.To] = staged
}
