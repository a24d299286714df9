package replicaset

import (
	"fmt"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// sentOrder is what became of an order.
type sentOrder struct {
	at time.Time
	// answered is when the outcome was known.
	answered time.Time
	outcome  Outcome
	waiting  bool
	// doubtful is set when one of the earlier tries has no known outcome: it may be carried out late. Doubted is when the last such one
	// was given.
	doubtful bool
	doubted  time.Time
}

// orderKey names an order: engines take the same one twice as one.
type orderKey struct {
	to     ident.Incarnation
	action Action
	epoch  ident.Epoch
}

// outcome returns what became of the last order of that kind for g, or nothing while it is not known.
func (f *Formation) outcome(g *roster.Group, to ident.Incarnation, action Action) Outcome {
	o := f.orders[orderKey{to, action, g.Epoch}]
	if o == nil || o.waiting {
		return ""
	}
	return o.outcome
}

// order sends an order unless the same one is on its way or was taken a moment ago.
func (f *Formation) order(g *roster.Group, to ident.Incarnation, action Action) {
	key := orderKey{to, action, g.Epoch}
	now := f.world.Now
	if o := f.orders[key]; o != nil {
		wait := resendAfter
		if o.outcome == OutcomeAccepted && !o.waiting {
			wait = repeatAfter
		}
		if now.Sub(o.at) < wait {
			return
		}
	}
	u := f.byID[to]
	if u == nil {
		return
	}
	sent := &sentOrder{at: now, waiting: true}
	o := Order{
		To: to, Address: u.Address, Action: action, Group: g.Name, Epoch: g.Epoch,
		Model: g.Model, Members: g.Members, Fence: f.Fence, Context: f.known(u),
	}
	if before := f.orders[key]; before != nil {
		sent.doubtful, sent.doubted = before.unsure()
		if before.waiting {
			// Its outcome was dropped by a leader that is behind.
			f.noteDoubt(&o)
		}
	}
	f.orders[key] = sent
	f.Send(o)
}

// unsure reports whether a try of an order may still be carried out late, and when the last such one was given.
func (o *sentOrder) unsure() (bool, time.Time) {
	if o.waiting {
		return true, o.at
	}
	return o.doubtful, o.doubted
}

// describe writes a membership for operators.
func describe(m roster.Membership) string {
	if m.Group == "" {
		return "in no group"
	}
	return fmt.Sprintf("%s/%d member %d %s", m.Group, m.Epoch, m.Rank, m.State)
}

// known returns what is known of an engine and of the group that it last reported.
func (f *Formation) known(u *roster.Upstream) OrderContext {
	m, now := u.Member, f.world.Now
	k := OrderContext{LastReport: describe(m), LastReportAgeMS: f.world.ReportAges[u.ID].Milliseconds()}
	if m.Group == "" {
		return k
	}
	for _, other := range f.byID {
		if o := other.Member; o.Group == m.Group && o.Rank == 0 && other.ID != u.ID {
			k.Head, k.HeadLastReport, k.HeadLastReportAgeMS = other.ID, describe(o), f.world.ReportAges[other.ID].Milliseconds()
		}
	}
	if at, ok := f.over[m.Group]; ok {
		k.Ended, k.EndedAgoMS = "over", now.Sub(at).Milliseconds()
	}
	if at, ok := f.lost[m.Group]; ok {
		k.Ended, k.EndedAgoMS = "lost", now.Sub(at).Milliseconds()
	}
	if o := f.orders[orderKey{u.ID, ActionLeave, m.Epoch}]; o != nil && !o.waiting {
		k.LeaveOutcome = o.outcome
	}
	join := f.orders[orderKey{u.ID, ActionJoin, m.Epoch}]
	k.JoinPending = join == nil
	if join != nil {
		k.JoinPending, _ = join.unsure()
	}
	return k
}

// HandleOutcome takes the outcome of an order.
func (f *Formation) HandleOutcome(o *Order, outcome Outcome) {
	if o.Action == ActionStage {
		f.stageAnswered(o, outcome)
		return
	}
	sent := f.orders[orderKey{o.To, o.Action, o.Epoch}]
	if sent == nil {
		return
	}
	sent.waiting = false
	sent.answered = f.world.Now
	sent.outcome = outcome
	if outcome == OutcomeUnknown {
		sent.doubtful, sent.doubted = true, sent.at
		f.noteDoubt(o)
	}
}

// noteDoubt marks the group of an order that may be carried out late, for this leader's successors.
func (f *Formation) noteDoubt(o *Order) {
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

// lateUntil returns until when an order of g may still be carried out late, zero when none may. Orders of former leaders are not known
// one by one.
func (f *Formation) lateUntil(g *roster.Group, to ident.Incarnation, action Action) time.Time {
	if o := f.orders[orderKey{to, action, g.Epoch}]; o != nil {
		if unsure, given := o.unsure(); unsure {
			return given.Add(lateMost)
		}
		return time.Time{}
	}
	if g.Doubtful {
		return f.began.Add(lateMost)
	}
	return time.Time{}
}

func (f *Formation) stageAnswered(o *Order, outcome Outcome) {
	if st, ok := f.staging[o.To]; ok && outcome != OutcomeAccepted {
		f.staging[o.To] = staged{st.model, f.world.Now.Add(stageAgain)}
	}
}
