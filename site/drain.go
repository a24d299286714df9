package site

// Operators drain a hall before maintenance there, and undrain it afterwards. The order is written to the log like a
// configuration, and confirmed once the entries that call the leader have it in force.

import (
	"context"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

// Drain drains or undrains a hall; it returns after a majority has the order on disk, and the reachable entries have it
// in force.
func (c *Control) Drain(ctx context.Context, order catalog.DrainOrder) error {
	startedAt := clock.Now()
	held := c.stateMachine.Drained().Revision
	callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := c.addCondition(callCtx, &order)
	if err == nil {
		var reply ForwardedReply
		reply, err = c.retryCall(callCtx, changeTimeout, &ForwardedCall{Kind: CallDrain, From: string(c.self.Name), Drain: &order})
		c.noteHallOrder(order.Hall, reply.HallOrder)
	}
	fields := []any{
		"hall", order.Hall, "drain", order.Drain, "leader", c.leader(), "held", held, "after", order.After, "took-ms", clock.Since(startedAt).Milliseconds(),
		"code", int(result.CodeOf(err)), "why", result.Message(err),
	}
	if arrival, ok := inbound.ArrivalOf(ctx); ok {
		fields = append(fields, "client", arrival.Client, "connection-ms", startedAt.Sub(arrival.OpenedAfter).Milliseconds(),
			"sent-within-ms", startedAt.Sub(arrival.SentAfter).Milliseconds(), "client-gone", ctx.Err() != nil)
	}
	c.Log.Info("order on a hall", fields...)
	return err
}

// addCondition makes an order conditional on the newest order that its sender can have known of.
func (c *Control) addCondition(ctx context.Context, order *catalog.DrainOrder) error {
	if order.Conditional {
		return nil
	}
	arrival, tracked := inbound.ArrivalOf(ctx)
	// A slow reply makes the newest order seem newer than it is, so an order that may be older is checked a second time.
	for range 2 {
		reply, err := c.retryCall(ctx, changeTimeout, &ForwardedCall{Kind: CallHall, From: string(c.self.Name), Hall: order.Hall})
		if err != nil {
			return err
		}
		order.Conditional, order.After = true, reply.HallOrder.Number
		carriedOutBy := c.noteHallOrder(order.Hall, reply.HallOrder)
		if !tracked || order.After == 0 || !arrival.SentAfter.Before(carriedOutBy) {
			return nil
		}
	}
	order.After--
	return nil
}

// hallOrderNote is the newest order on a hall that this daemon knows, and a time by which it was carried out.
type hallOrderNote struct {
	number       catalog.OrderNumber
	carriedOutBy time.Time
}

// noteHallOrder records what the leader has just said of the newest order on a hall, and returns a time by which that was carried out.
func (c *Control) noteHallOrder(hall ident.Hall, newest HallOrder) time.Time {
	by := clock.Now().Add(-newest.Age)
	c.mu.Lock()
	defer c.mu.Unlock()
	note := c.hallOrderNotes[hall]
	if newest.Number > note.number || newest.Number == note.number && by.Before(note.carriedOutBy) {
		note = hallOrderNote{newest.Number, by}
		c.hallOrderNotes[hall] = note
	}
	return note.carriedOutBy
}

// hallOrder returns the newest order on a hall.
func (c *Control) hallOrder(hall ident.Hall) HallOrder {
	number, at := c.stateMachine.HallOrder(hall)
	return HallOrder{number, clock.Since(at)}
}

// answerHall answers an operator's question for the newest order on a hall.
func (c *Control) answerHall(hall ident.Hall) ForwardedReply {
	reply, err := c.retryCall(context.Background(), changeTimeout, &ForwardedCall{Kind: CallHall, From: string(c.self.Name), Hall: hall})
	if err != nil {
		return ForwardedReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	return reply
}

// drainHall carries out an order on a hall, as leader.
func (c *Control) drainHall(ctx context.Context, r *leadership, call *ForwardedCall) (ForwardedReply, error) {
	order := call.Drain
	if order == nil || !c.knowsHall(r, order.Hall) {
		return ForwardedReply{}, result.New(result.ChangeNotFound, "there is no such hall")
	}
	if !order.Conditional {
		// Daemons of builds before conditions forward orders without one.
		order.Conditional = true
		order.After, _ = c.stateMachine.HallOrder(order.Hall)
	}
	if c.stateMachine.Supersedes(order) {
		c.Log.Info("order on a hall superseded", "hall", order.Hall, "drain", order.Drain, "from", call.From, "after", order.After,
			"revision", c.stateMachine.Drained().Revision)
		return ForwardedReply{}, errSuperseded()
	}
	revision, err := c.proposeDrain(ctx, r, call)
	if err != nil {
		return ForwardedReply{}, err
	}
	r.drainRollout.waitInForce(ctx, revision)
	return ForwardedReply{HallOrder: c.hallOrder(order.Hall)}, nil
}

func errSuperseded() error {
	return result.New(result.ChangeSuperseded, "another order on the hall was carried out since this one was sent, or may have been")
}

// proposeDrain writes an order to the log and returns the resulting revision of the drained halls.
func (c *Control) proposeDrain(ctx context.Context, r *leadership, call *ForwardedCall) (catalog.DrainRevision, error) {
	startedAt := clock.Now()
	before := c.stateMachine.Drained().Revision
	if !call.Drain.Drain && c.stateMachine.Drained().Has(call.Drain.Hall) {
		r.roster.MarkHallCold(startedAt, call.Drain.Hall)
	}
	data, err := catalog.EncodeDrain(*call.Drain)
	if err != nil {
		return 0, result.Wrap(err, result.ChangeInvalid, "the order cannot be encoded")
	}
	value, index, err := c.node.Propose(ctx, data)
	answer, ok := value.(catalog.Answer)
	switch {
	case err != nil:
	case !ok:
		err = result.New(result.NoLeader, "the order was not applied here")
	case answer.Superseded:
		err = errSuperseded()
	}
	c.Log.Info("order on a hall proposed", "hall", call.Drain.Hall, "drain", call.Drain.Drain, "from", call.From, "after", call.Drain.After, "index", index,
		"revision", answer.Drained.Revision, "before", before, "halls", answer.Drained.Halls, "took-ms", clock.Since(startedAt).Milliseconds(), "code", int(result.CodeOf(err)))
	if err != nil {
		return 0, err
	}
	r.drainRollout.track(startedAt, clock.Now(), answer.Drained.Revision)
	return answer.Drained.Revision, nil
}

// knowsHall reports whether a hall is declared in the settings, drained already, or reported by an upstream.
func (c *Control) knowsHall(r *leadership, hall ident.Hall) bool {
	if _, ok := c.Settings.Halls[hall]; ok || hall == c.Settings.Hall {
		return true
	}
	upstreams, _ := r.roster.Upstreams(clock.Now())
	for i := range upstreams {
		if upstreams[i].Hall == hall {
			return true
		}
	}
	return slices.Contains(c.stateMachine.Drained().Halls, hall)
}

// drainChanged wakes the calls that wait for updates.
func (c *Control) drainChanged(drained catalog.Drained) {
	c.notifyWaiting()
	c.Log.Info("drained halls applied from the log", "revision", drained.Revision, "halls", drained.Halls)
}

// logNewerDrains logs an entry whose drained halls have a higher revision than this leader's: the entry keeps them, which is right while
// this daemon has not applied a committed order yet, and wrong if the log was lost and its revisions began anew.
func (c *Control) logNewerDrains(call *SyncCall) {
	held := c.stateMachine.Drained().Revision
	if call.Drains <= held {
		return
	}
	if occurrences, ok := c.newerDrainsLog.allow(clock.Now()); ok {
		c.Log.Info("entry has newer drained halls than the leader", "entry", call.From, "revision", call.Drains, "held", held, "since-last", occurrences)
	}
}

// drainedHalls returns the halls in which no group is formed.
func (c *Control) drainedHalls() map[ident.Hall]bool {
	halls := map[ident.Hall]bool{}
	for _, hall := range c.stateMachine.Drained().Halls {
		halls[hall] = true
	}
	return halls
}

// OrderDrain asks the control daemons at addresses (host:port of their peer listeners), one after the other, to drain
// or undrain a hall.
func OrderDrain(ctx context.Context, dial transport.Dial, addresses []string, order catalog.DrainOrder) error {
	const timeout = changeTimeout + callTimeout
	return callControls(dial, addresses, func(client *link.Client) (ForwardedReply, error) {
		var reply ForwardedReply
		// The condition makes a copy harmless that a daemon reads after the next order of this or another operator.
		if !order.Conditional {
			if err := client.Call(ctx, timeout, "Hall", &HallCall{order.Hall}, &reply); err != nil || reply.Code != result.OK {
				return reply, err
			}
			order.Conditional, order.After = true, reply.HallOrder.Number
			reply = ForwardedReply{}
		}
		err := client.Call(ctx, timeout, "Drain", &order, &reply)
		return reply, err
	})
}

// callControls calls the control daemons at addresses, one after the other until one has carried out or rejected the order.
func callControls(dial transport.Dial, addresses []string, call func(client *link.Client) (ForwardedReply, error)) error {
	err := result.New(result.Usage, "no control daemon is given")
	for _, address := range addresses {
		client := link.NewClient(address, serviceName)
		client.Dial = dial
		reply, callErr := call(client)
		client.Close()
		switch reply.Code {
		case result.OK:
			if callErr == nil {
				return nil
			}
			err = result.Wrap(callErr, result.DaemonUnreached, "%s does not answer", address)
		case result.ChangeNotFound, result.ChangeInvalid, result.ChangeSuperseded:
			return result.New(reply.Code, "%s: %s", address, reply.Text)
		default:
			err = result.New(reply.Code, "%s: %s", address, reply.Text)
		}
	}
	return err
}

// answerDrain answers an operator's order on a hall.
func (c *Control) answerDrain(order *catalog.DrainOrder) ForwardedReply {
	if err := c.Drain(context.Background(), *order); err != nil {
		return ForwardedReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	return ForwardedReply{}
}
