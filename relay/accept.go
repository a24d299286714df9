package relay

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/result"
)

// EntryHandler serves requests that other entries forward because they reach no upstream.
type EntryHandler struct {
	Relay *Relay

	inProgress atomic.Int64
}

// ServeHTTP serves one request or declines it.
func (h *EntryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.inProgress.Add(-1)
	forwarded, err := parseForwarded(r.Header)
	switch inProgress := h.inProgress.Add(1); {
	case err != nil:
		decline(w, err.Error())
	case inProgress > maxForwarded:
		decline(w, "too many requests of other entries")
	case h.Relay.stopping.Load():
		decline(w, "stopping")
	case h.Relay.ReachesFew():
		decline(w, "most upstreams are unreachable from here as well")
	case h.Relay.Version() < forwarded.version:
		decline(w, "older configuration")
	default:
		x := h.Relay.newExchange(w, r)
		x.forwarded = forwarded
		h.Relay.serve(x)
	}
}

// parseForwarded removes the headers between entries and returns what they say.
func parseForwarded(h http.Header) (*forwardedRequest, error) {
	version, versionErr := strconv.ParseUint(h.Get(headerForwardVersion), 10, 64)
	attempts, attemptsErr := strconv.Atoi(h.Get(headerForwardAttempts))
	counted := h.Get(headerForwardCounted) != ""
	for name := range forwardHeaders {
		h.Del(name)
	}
	// The expectation is that of the other entry. Upstreams get the body with the head.
	h.Del("Expect")
	if versionErr != nil || attemptsErr != nil || attempts < 1 {
		return nil, result.New(result.BadRequest, "not a request of another entry")
	}
	return &forwardedRequest{httproute.Version(version), attempts, counted}, nil
}

// decline answers that the request did not run and that another entry may serve it.
func decline(w http.ResponseWriter, reason string) {
	h := w.Header()
	h.Set(headerDeclined, reason)
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// declines reports whether this entry declines a forwarded request that ended with err: it did not run, and another entry may serve it.
func (x *exchange) declines(err error) bool {
	if x.forwarded == nil || x.mayHaveRun || x.headSent {
		return false
	}
	code := result.CodeOf(err)
	return code == result.ControlUnreachable || x.lacksPath && result.Lookup(code).NotRun
}

// maxRuns is how many upstreams may run the request.
func (x *exchange) maxRuns() int {
	if x.forwarded != nil {
		return min(x.route.MaxAttempts, x.forwarded.attempts)
	}
	return x.route.MaxAttempts
}
