package soak

// What engines do with orders.

import (
	"io"
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	e.awaitResume()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outcome := replicaset.OutcomeWrongIncarnation
	if r.Header.Get(platform.HeaderNames().Incarnation) == string(e.id) {
		outcome = e.carryOut(o)
	}
	w.WriteHeader(platform.OrderStatus(outcome))
}

func (e *engine) carryOut(o *replicaset.Order) replicaset.Outcome {
	switch o.Action {
	case replicaset.ActionStage:
		e.later(loadTime, func() { e.staged = o.Model })
		return replicaset.OutcomeAccepted
	case replicaset.ActionJoin:
		return e.join(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.Group != o.Group || e.member.Epoch != o.Epoch {
		return replicaset.OutcomeRefused
	}
	switch o.Action {
	case replicaset.ActionOpen:
		if e.member.State != roster.MemberReady && e.member.State != roster.MemberOpen {
			return replicaset.OutcomeRefused
		}
		e.member.State = roster.MemberOpen
	case replicaset.ActionClose:
		if e.member.State == roster.MemberOpen {
			e.member.State = roster.MemberClosing
			go e.finish(o.Epoch)
		}
	case replicaset.ActionLeave:
		e.member, e.members = roster.Membership{}, nil
	}
	e.change()
	return replicaset.OutcomeAccepted
}

// finish makes a closing group ready again when its work is done.
func (e *engine) finish(epoch ident.Epoch) {
	for e.ctx.Err() == nil {
		pause(e.ctx, shortEventTime)
		e.mu.Lock()
		over := e.running == 0 || e.member.Epoch != epoch
		if over && e.member.Epoch == epoch && e.member.State == roster.MemberClosing {
			e.member.State = roster.MemberReady
		}
		e.mu.Unlock()
		if over {
			e.change()
			return
		}
	}
}

func (e *engine) join(o *replicaset.Order) replicaset.Outcome {
	e.mu.Lock()
	same := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	low := o.Epoch < e.highest
	e.mu.Unlock()
	switch {
	case same:
		return replicaset.OutcomeAccepted
	case low:
		return replicaset.OutcomeFenced
	}
	e.truth.joins(e, o.Group)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for i, id := range o.Members {
		if id == e.id {
			rank = i
		}
	}
	e.highest, e.members, e.model = o.Epoch, o.Members, o.Model
	e.member = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.MemberJoining}
	wait := loadTime
	switch o.Model {
	case e.last:
		wait = rejoinTime
	case e.staged:
		wait = warmTime
	}
	epoch := o.Epoch
	e.later(wait, func() {
		if e.member.Epoch != epoch || e.member.State != roster.MemberJoining {
			return
		}
		e.member.State = roster.MemberReady
		if e.last != o.Model && e.staged != o.Model {
			e.staged = o.Model
		}
		e.last = o.Model
		e.wasReady[membership{o.Group, epoch}] = true
	})
	e.change()
	return replicaset.OutcomeAccepted
}

// ready reports whether the engine was ever ready in that group.
func (e *engine) ready(m membership) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wasReady[m]
}

// later does something after a while, with the mutex held.
func (e *engine) later(wait time.Duration, do func()) {
	time.AfterFunc(wait, func() {
		if e.ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		do()
		e.change()
	})
}

// whole reports whether every member of the group is there and in it.
func (e *engine) whole() bool {
	e.mu.Lock()
	members, place := e.members, e.member
	e.mu.Unlock()
	for _, id := range members {
		e.truth.mu.Lock()
		other := e.truth.engines[id]
		e.truth.mu.Unlock()
		if other == nil {
			return false
		}
		if p := other.place(); p.Group != place.Group || p.Epoch != place.Epoch {
			return false
		}
	}
	return true
}
