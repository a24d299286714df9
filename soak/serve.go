package soak

// What upstreams do with requests: whole answers, answers that get lost, and
// streams that stand still or are slow with their group.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/roster"
)

// standsStill waits while a member is missing, and reports whether the group is broken by it or gone.
func (e *engine) standsStill(r *http.Request, epoch ident.Epoch) bool {
	for limit := time.Now().Add(standTime); !e.whole(); {
		if time.Now().After(limit) || r.Context().Err() != nil {
			return true
		}
		pause(e.ctx, shortEventTime)
	}
	return e.place().Epoch != epoch
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.awaitResume()
	names := platform.HeaderNames()
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	epoch, admitted := e.admits(ident.Model(r.Header.Get(names.Model)))
	if r.Header.Get(names.Incarnation) != string(e.id) || !admitted {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.arrives(w, id) || !e.takeSlot() {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	e.checkHallAndCold(id)
	if late := e.late(); late > 0 {
		e.truth.breaksf("%s gets request %s %v after its leaving was acknowledged", e.id, id, late)
	}
	// The body is read before work begins; a request that does not arrive whole does not run.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if isFatal(body) {
		e.truth.runs(id, e.id)
		pause(e.ctx, shortEventTime)
		e.ends(string(body))
		panic(http.ErrAbortHandler)
	}
	if e.service == plainService {
		e.servePlain(w, r, id)
		return
	}
	if e.standsStill(r, epoch) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.serveStream(w, r, id, epoch)
}

// admits reports whether requests are for this upstream, and the epoch of the group that then works on them: engines take
// those for their model as head of an open group.
func (e *engine) admits(model ident.Model) (ident.Epoch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Epoch, e.service == plainService || e.member.State == roster.MemberOpen && e.member.Rank == 0 && e.model == model
}

// late returns how long after its acknowledged leaving the upstream is, once nothing new may come.
func (e *engine) late() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after := time.Since(e.drained); e.watched && !e.drained.IsZero() && after > drainGrace {
		return after
	}
	return 0
}

func (e *engine) takeSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= slots {
		return false
	}
	e.running++
	return true
}

func (e *engine) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// loss reports whether this answer gets lost.
func (e *engine) loss() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < e.loses
}

func (e *engine) servePlain(w http.ResponseWriter, r *http.Request, id string) {
	e.truth.runs(id, e.id)
	if strings.HasPrefix(r.URL.Path, "/hang/") {
		pause(r.Context(), callerWait)
		panic(http.ErrAbortHandler)
	}
	pause(r.Context(), workTime)
	if e.loss() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderNames().Signature, "s-"+string(e.id))
	_, _ = io.WriteString(w, plainBody(id))
}

// plainBody is the whole answer of the plain service.
func plainBody(id string) string {
	return fmt.Sprintf("%s:%x", id, hashOf(id))
}

// eventsOf is the number of events of a request's stream.
func eventsOf(id string) int {
	return 3 + int(hashOf(id)%20)
}

// eventOf is one event of it.
func eventOf(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %x\n\n", n, hashOf(id+"/"+strconv.Itoa(n)))
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string, epoch ident.Epoch) {
	model, _ := (&httproute.Engine{Models: models}).Model(ident.Model(r.Header.Get(platform.HeaderNames().Model)))
	e.truth.serves(e, model.Size)
	e.truth.runs(id, e.id)
	// A stream that starts anew has no last event.
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderNames().EventID))
	w.Header().Set(platform.HeaderNames().Signature, "s-"+string(e.id))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventsOf(id); n++ {
		pause(r.Context(), time.Duration(e.groupPace()*float64(e.eventTime)))
		e.awaitResume()
		if r.Context().Err() != nil || e.standsStill(r, epoch) || e.loss() {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil {
			return
		}
		// A caller that is gone shows in the next event.
		_ = http.NewResponseController(w).Flush()
	}
}

// groupPace is the pace of the slowest member of the engine's group.
func (e *engine) groupPace() float64 {
	pace := 1.0
	for _, id := range e.list() {
		e.truth.mu.Lock()
		other := e.truth.engines[id]
		e.truth.mu.Unlock()
		if other != nil {
			pace = max(pace, other.ownPace())
		}
	}
	return pace
}

func (e *engine) ownPace() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, e.pace)
}

// tell answers who asks how fast the engine is.
func (e *engine) tell(w http.ResponseWriter, _ *http.Request) {
	e.awaitResume()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.EncodeSlowdown(e.ownPace()))
}
