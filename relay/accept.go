package relay

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/result"
)

// DeclineReason is why an entry declined a forwarded request.
type DeclineReason string

const (
	// DeclinedMalformed means that the head is not one of another entry.
	DeclinedMalformed DeclineReason = "malformed"
	// DeclinedBusy means that the entry carries as many requests for others as it may.
	DeclinedBusy DeclineReason = "busy"
	// DeclinedStopping means that the entry stops.
	DeclinedStopping DeclineReason = "stopping"
	// DeclinedNoPath means that upstreams are unreachable from the entry as well.
	DeclinedNoPath DeclineReason = "no-path"
	// DeclinedOlderConfig means that the entry has an older configuration than the one that forwards.
	DeclinedOlderConfig DeclineReason = "older-configuration"
	// DeclinedNoControl means that the entry has no configuration or keys that the leader confirmed lately.
	DeclinedNoControl DeclineReason = "control-unreachable"
	// DeclinedOther is a reason that this version does not know.
	DeclinedOther DeclineReason = "other"
)

// declineReasonOf returns the reason in an answer that declines a request.
func declineReasonOf(resp *http.Response) DeclineReason {
	switch reason := DeclineReason(resp.Header.Get(headerDeclined)); reason {
	case DeclinedMalformed, DeclinedBusy, DeclinedStopping, DeclinedNoPath, DeclinedOlderConfig, DeclinedNoControl:
		return reason
	}
	return DeclinedOther
}

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
		decline(w, DeclinedMalformed)
	case inProgress > maxForwarded:
		decline(w, DeclinedBusy)
	case h.Relay.Stopping():
		decline(w, DeclinedStopping)
	case h.Relay.Version() < forwarded.version:
		decline(w, DeclinedOlderConfig)
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
func decline(w http.ResponseWriter, reason DeclineReason) {
	h := w.Header()
	h.Set(headerDeclined, string(reason))
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lacksPathForOther reports whether this entry declines a forwarded request before it has the body, since most upstreams are unreachable from
// here, also of those that the request may be sent to: the few that are left would get the requests of all entries that are cut off.
func (x *exchange) lacksPathForOther() bool {
	if x.forwarded == nil {
		return false
	}
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.reachesFew && s.pathsFor(x).reach() != ReachMost
}

// declineReason returns why this entry declines a forwarded request that ended with err, or "" if it does not: a declined request did not run,
// and another entry may serve it.
func (x *exchange) declineReason(err error) DeclineReason {
	if x.forwarded == nil || x.mayHaveRun || x.headSent {
		return ""
	}
	switch code := result.CodeOf(err); {
	case code == result.Stopping:
		return DeclinedStopping
	case code == result.ControlUnreachable:
		return DeclinedNoControl
	case x.lacksPath && result.Lookup(code).NotRun:
		return DeclinedNoPath
	}
	return ""
}

// maxRuns is how many upstreams may run the request.
func (x *exchange) maxRuns() int {
	if x.forwarded != nil {
		return min(x.route.MaxAttempts, x.forwarded.attempts)
	}
	return x.route.MaxAttempts
}
