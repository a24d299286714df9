package relay

// An engine takes what it is sent, and reads all of it in its next pass. When
// more comes than groups can read, every pass grows, and all requests are late
// together. So a request goes to a group only while that keeps the pauses of the
// streams there within their aim, and one that is late already only into what
// others leave. What finds no room waits at the entry, where it harms nobody;
// package overload says in which order it goes on, and what is refused.

import (
	"cmp"
	"maps"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// roomPartLate is the part of the longest pass that still is in time which a pass may take with a late request.
	roomPartLate = 0.5
	// roomLook is how often the requests that wait are offered to the groups: several times in a pass.
	roomLook = 10 * time.Millisecond
	// slowAim is the part of its aim that a request has beyond the time that its prompt takes at an idle group, when that takes
	// all of the aim: long prompts can't be in time, but must not always go behind the others.
	slowAim = 0.25
	// plainWaitPart is the part of its aim that a request for a plain service may wait: how long workers take is not published.
	plainWaitPart = 0.5
	// Callers leave a stream that is silent for leaveLeast, leaveAims times its aim or leaveGaps times its aim for pauses,
	// whichever is longest.
	leaveLeast = 2 * time.Second
	leaveAims  = 4
	leaveGaps  = 8
	// calmAfterRefusal is how long after the last refusal here nearly all requests are first tries again: the longest time that
	// callers are told to stay away, and some more, since other entries refuse too.
	calmAfterRefusal = 5 * time.Second
	// cameBack is the time that a caller must have spent before to count as one that came back as it was told: the shortest
	// time that it is told.
	cameBack = retryFull
)

// line names those that wait for the same upstreams: the groups of a model, or the workers of a plain service, which has none.
type line struct {
	service ident.Service
	model   ident.Model
}

// line returns the line in which the request waits; callers may name any model to a plain service.
func (x *exchange) line() line {
	if x.service.Engine == nil {
		return line{service: x.service.Name}
	}
	return line{x.service.Name, x.model}
}

// waiting is a request for a group, until it is known what becomes of it.
type waiting struct {
	x       *exchange
	settled chan struct{}
	target  choice
	err     error
}

// place chooses where the request goes next, and waits for room where there is none yet. The request counts as sent there.
func (x *exchange) place() (choice, error) {
	s := x.s
	s.mu.Lock()
	if x.service.Engine == nil {
		defer s.mu.Unlock()
		return s.placePlain(x)
	}
	w, q := s.join(x)
	s.mu.Unlock()
	select {
	case <-w.Value.settled:
	case <-x.r.Context().Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case <-w.Value.settled:
		default:
			q.Remove(w)
			return choice{}, result.New(result.Cancelled, "the caller has left")
		}
	}
	return w.Value.target, w.Value.err
}

// placePlain chooses a worker of a plain service; the mutex is held.
func (s *Relay) placePlain(x *exchange) (choice, error) {
	now := s.Now()
	t, err := s.chooseFor(x, overload.InTime, x.plainLimit(), now)
	if err == nil {
		s.take(x, &t)
		return t, nil
	}
	x.comeBack = s.comeBackAt(x, now, &t, err)
	return t, err
}

// plainLimit is until when a request for a plain service may wait to be in time.
func (x *exchange) plainLimit() time.Time {
	return x.began.Add(time.Duration(plainWaitPart*float64(cmp.Or(x.route.Aim, usualAim))) - x.spent)
}

// join puts the request into the queue of its model and offers all that waits there to the groups; the mutex is held.
func (s *Relay) join(x *exchange) (*overload.Waiting[*waiting], *overload.Queue[*waiting]) {
	now := s.Now()
	w := &waiting{x: x, settled: make(chan struct{})}
	list := s.fleet.targets(x.service, x.model)
	if len(list) == 0 {
		// Callers may name any model; queues are kept for those that there are.
		w.end(choice{}, noTarget(0, 0, &away{}))
		return &overload.Waiting[*waiting]{Value: w}, nil
	}
	x.plan(now, &list[0].times)
	key := x.line()
	q := s.queues[key]
	if q == nil {
		q = &overload.Queue[*waiting]{}
		s.queues[key] = q
	}
	in := q.Add(now, x.terms(now), w)
	s.look(q, now)
	if !s.looking && q.Len() > 0 {
		s.looking = true
		time.AfterFunc(roomLook, s.offerAgain)
	}
	return in, q
}

// end tells the request what became of it.
func (w *waiting) end(t choice, err error) {
	w.target, w.err = t, err
	close(w.settled)
}

// offerAgain offers what waits to the groups as long as anything does.
func (s *Relay) offerAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	left := 0
	for _, q := range s.queues {
		s.look(q, now)
		left += q.Len()
	}
	s.looking = left > 0
	if s.looking {
		time.AfterFunc(roomLook, s.offerAgain)
	}
}

// look offers the requests in q to the groups and refuses those that wait in vain; the mutex is held.
func (s *Relay) look(q *overload.Queue[*waiting], now time.Time) {
	// idlest is the group where the first word of an empty prompt would come soonest, known once a request has found no room.
	var idlest scored
	known := false
	send := func(w *overload.Waiting[*waiting], rank overload.Rank) bool {
		x := w.Value.x
		if known && rank == overload.InTime && now.Add(idlest.first).After(x.limit) && !x.leaves(idlest.target, idlest.at) {
			return false
		}
		t, err := s.chooseFor(x, rank, w.Last(), now)
		switch code := result.CodeOf(err); {
		case t.waits:
		case err == nil && t.fits:
			s.take(x, &t)
			known = false
			if s.roomy(x, &t) {
				q.Roomy()
			}
		case code == result.BackedOff && now.Add(t.free).Before(w.Last()):
			return false
		case err == nil || code == result.Overloaded:
			if !known {
				idlest, known = s.idlest(x, now), true
			}
			return false
		}
		x.comeBack = s.comeBackAt(x, now, &t, err)
		w.Value.end(t, err)
		return true
	}
	q.Look(now, send, func(w *overload.Waiting[*waiting]) {
		x := w.Value.x
		x.comeBack = q.RetryAfter(now)
		waited := now.Sub(w.Came).Milliseconds()
		w.Value.end(choice{}, result.New(result.Overloaded, "no group has room for it, rank %d after %d ms", w.Rank(now), waited))
	})
}

// idlest returns the group of x at which the first word of an empty prompt would come soonest; the mutex is held.
func (s *Relay) idlest(x *exchange, now time.Time) scored {
	var best scored
	list := s.fleet.targets(x.service, x.model)
	for i := range list {
		if !x.mayGoTo(&list[i]) {
			continue
		}
		at := s.loadOf(&list[i], now)
		first := list[i].times.FirstWord(at, 0) + max(s.Backoff.Of(now, list[i].id).Left, s.Limits.Of(now, list[i].id).Left)
		if best.target == nil || first < best.first {
			best = scored{target: &list[i], first: first, at: at}
		}
	}
	return best
}

// plan works out until when the request can be in time.
func (x *exchange) plan(now time.Time, idle *estimate.Group) {
	x.lost = now
	if !x.begun() {
		x.lost = x.began
	}
	came := x.began.Add(-x.spent)
	x.idle = idle.FirstWord(estimate.Load{}, x.toRead())
	x.launch = x.s.launchOf(x.model)
	usual := x.launch.usual
	x.limit = came.Add(max(x.route.Aim, x.idle+usual+time.Duration(slowAim*float64(x.route.Aim))) - usual)
}

// terms returns what the order of those that wait goes by.
func (x *exchange) terms(now time.Time) overload.Request {
	leaves := x.lost.Add(x.patience())
	if leaves.After(x.deadline) {
		leaves = x.deadline
	}
	leaves = leaves.Add(-x.idle - x.launch.usual)
	due := x.limit.Add(-x.idle)
	if due.After(leaves) {
		due = leaves
	}
	// One that lost its time at a group that had ended is not refused at once as one that was too many. It does not go before those
	// that can be in time either, which would make these late where all groups are full.
	last := x.kept || x.spent >= cameBack || x.displaced
	return overload.Request{Came: now, Due: due, Leaves: leaves, Begun: x.begun(), LastTry: last}
}

// begun reports whether a refusal would lose what an upstream has done, or what the caller has.
func (x *exchange) begun() bool {
	return x.events > 0 || x.mayHaveRun || x.r.Header.Get(x.s.Names.EventID) != ""
}

// patience is how long the caller waits for an event.
func (x *exchange) patience() time.Duration {
	if x.route.Kind != httproute.KindStream {
		return x.route.Timeout
	}
	return max(leaveLeast, leaveAims*x.route.Aim, leaveGaps*x.route.GapAim)
}

// fits reports whether t has room for a request of that rank with what is known to be there. A last try gets the room of one that can
// be in time when it is its turn, and otherwise what late requests get.
func (x *exchange) fits(t *target, rank overload.Rank, at estimate.Load, first time.Duration, now time.Time) bool {
	if first == 0 || x.route.GapAim == 0 || at.Unread == 0 && at.Requests < t.slots || x.events > 0 {
		return true
	}
	if x.leaves(t, at) {
		return true
	}
	if rank == overload.Late {
		return false
	}
	limit := x.limit
	if rank != overload.InTime {
		limit = now.Add(x.route.Aim - x.launch.usual)
	}
	pass := t.times.Pass(at.Unread+x.toRead(), at.Requests+1)
	return pass <= x.route.GapAim && !now.Add(first+x.launch.off).After(limit)
}

// leaves reports whether t would leave room for others beside the request.
func (x *exchange) leaves(t *target, at estimate.Load) bool {
	// A first word takes half a pass and a whole one.
	most := min(x.route.GapAim, (x.route.Aim-x.launch.usual-x.launch.off)*2/3)
	pass := t.times.Pass(at.Unread+x.toRead(), at.Requests+1)
	return at.Requests < t.slots && float64(pass) <= roomPartLate*float64(most)
}

// roomy reports whether the target of a request had room for a late one.
func (s *Relay) roomy(x *exchange, t *choice) bool {
	return t.first == 0 || x.route.GapAim == 0 || x.leaves(t.target, t.at)
}

// take counts the request at t and tells the other entries, unless it has yet to be let go there; the mutex is held.
func (s *Relay) take(x *exchange, t *choice) {
	if !t.limited {
		s.count(x, t)
	}
}

// count is take for a request that is let go; the mutex is held.
func (s *Relay) count(x *exchange, t *choice) {
	x.counted = true
	x.unread = x.toRead()
	s.stateOf(t.target).begin(s.Now(), x.unread)
	x.trial = s.Backoff.Begin(s.Now(), t.id)
	if x.unread > 0 {
		s.Tell(News{Head: t.id, Prompt: x.unread}, t.users)
	}
	if !t.known {
		// Streams that have begun, and entries that use no group of the model, go on without any left.
		s.counts.spill[x.model] = max(0, s.counts.spill[x.model]-1)
	}
}

// putBack undoes take.
func (x *exchange) putBack(t *choice) {
	if !x.counted {
		return
	}
	x.counted = false
	x.read(t.state)
	x.endTrial(t.id, false)
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	t.state.end()
}

// forgetClasses drops what is known of classes that are not declared any more; the mutex is held.
func (s *Relay) forgetClasses(cfg *httproute.Config) {
	declared := map[ident.Class]bool{}
	for i := range cfg.Routes {
		declared[cfg.Routes[i].Name] = true
	}
	maps.DeleteFunc(s.usual, func(class ident.Class, _ *overload.Usual) bool { return !declared[class] })
}

// spentBefore returns what the caller of a class spent on earlier tries, as far as the time that it says it waits tells.
func (s *Relay) spentBefore(class ident.Class, told time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usual[class]
	if u == nil {
		u = &overload.Usual{}
		s.usual[class] = u
	}
	return u.Spent(told, s.Now().Sub(s.refused) > calmAfterRefusal)
}
