package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// retryFull and retryNone are when a caller shall come back after a refusal: slots free up every 70 ms, a group
	// forms in about a second. retryBlind is for a daemon that has no configuration or no confirmation by the leader: daemons
	// that start together need two seconds.
	retryFull  = 300 * time.Millisecond
	retryNone  = 700 * time.Millisecond
	retryBlind = 1800 * time.Millisecond
	// retrySpread is the part of it by which callers are spread.
	retrySpread = 0.5
	jsonType    = "application/json"
)

// finish gives the caller the final answer when it has none yet, and accounts for the request.
func (x *exchange) finish(err error) {
	switch {
	case err == nil:
	case x.started:
		defer panic(http.ErrAbortHandler)
	case x.r.Context().Err() != nil && !x.bodyLate:
		defer panic(http.ErrAbortHandler)
	case x.failure != nil:
		x.writeAnswer(x.failure)
	default:
		x.refuse(err)
	}
	x.s.Observe(x.record(err))
}

// refuse writes a refusal with its code; one that did not run, or may run again, also says when to come back.
func (x *exchange) refuse(err error) {
	info := result.Lookup(result.CodeOf(err))
	x.s.noteRefusal()
	h := x.w.Header()
	if info.Status == http.StatusServiceUnavailable || info.Code == result.WorkHeld || info.Code == result.UpstreamFailed && x.route.Repeatable() {
		x.retry = max(x.comeBack, retryAfter(info.Code))
		x.retry += time.Duration(retrySpread * rand.Float64() * float64(x.retry))
		h.Set("Retry-After", strconv.FormatFloat(x.retry.Seconds(), 'f', 3, 64))
	}
	x.closeIfLeaving()
	if x.id != "" {
		h.Set(x.s.Names.RequestID, x.id)
	}
	h.Set("Content-Type", jsonType)
	x.status = info.Status
	x.w.WriteHeader(info.Status)
	text := `{"result-code":` + strconv.Itoa(int(info.Code)) + `,"result":"` + info.Name + `","not-run":` + strconv.FormatBool(info.NotRun) + "}\n"
	if _, werr := io.WriteString(x.w, text); werr != nil {
		x.tries = append(x.tries, Try{Result: "refusal not delivered: " + werr.Error()})
	}
}

func (s *Relay) noteRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = s.Now()
}

func retryAfter(code result.Code) time.Duration {
	switch code {
	case result.Overloaded, result.BackedOff, result.Limited:
		return retryFull
	case result.ControlUnreachable:
		return retryBlind
	}
	return retryNone
}

// closeIfLeaving lets the caller go elsewhere with its next request where this entry will not serve it.
func (x *exchange) closeIfLeaving() {
	if x.s.stopping.Load() || x.s.lapsesSoon() {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) record(err error) *Record {
	rec := &Record{
		ID: x.id, Model: x.model, Content: x.content, Code: result.CodeOf(err), Status: x.status, ConfirmedAge: x.s.ConfirmedAge(), Tries: x.tries,
		Prompt: x.prompt, Events: x.events, First: x.first, Expected: x.expected, Gap: x.gap, Total: x.s.Now().Sub(x.began),
		Spent: x.spent, Retry: x.retry, LimitWaits: x.limitWaits,
	}
	if err != nil {
		rec.Text = result.Message(err)
	}
	if x.table != nil {
		rec.Version = x.table.Config.Version
	}
	if x.route != nil {
		rec.Route = x.route.Name
	}
	if x.customer != nil {
		rec.Customer = x.customer.Name
	}
	rec.Revision = x.s.revision()
	return rec
}

func (s *Relay) revision() roster.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copied.Revision
}
