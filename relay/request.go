package relay

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders concern one connection only and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// writeRequest writes the caller's request, with the headers that the relay sets itself.
func (x *exchange) writeRequest(conn *upstreamConn, t *target) error {
	bw, names := conn.bw, &x.s.Headers
	ownHeaders := map[string]bool{
		http.CanonicalHeaderKey(names.Key): true, http.CanonicalHeaderKey(names.Customer): true,
		http.CanonicalHeaderKey(names.Incarnation): true, http.CanonicalHeaderKey(names.Deadline): true,
		http.CanonicalHeaderKey(names.EventID): true, http.CanonicalHeaderKey(names.Priority): true,
	}
	x.writeCallerHead(bw, func(name string) bool { return ownHeaders[name] })
	writeHeader(bw, names.Incarnation, t.id.UpstreamID())
	writeHeader(bw, names.Deadline, strconv.FormatInt(max(1, x.timeLeft().Milliseconds()), 10))
	if x.customer != nil {
		writeHeader(bw, names.Customer, string(x.customer.Name))
	}
	if x.lastEventID != "" {
		writeHeader(bw, names.EventID, x.lastEventID)
	}
	if x.service.Engine != nil {
		writeHeader(bw, names.Priority, strconv.Itoa(x.enginePriority()))
	}
	return x.writeBody(bw)
}

// writeCallerHead writes the request line and the caller's headers, without those that concern one connection only or are skipped.
func (x *exchange) writeCallerHead(bw *bufio.Writer, skip func(name string) bool) {
	writeStrings(bw, x.r.Method, " ", x.r.RequestURI, " HTTP/1.1\r\n")
	writeHeader(bw, "Host", x.r.Host)
	connectionNamed := connectionOptions(x.r.Header)
	for name, values := range x.r.Header {
		if hopByHopHeaders[name] || connectionNamed[name] || skip(name) {
			continue
		}
		for _, v := range values {
			writeHeader(bw, name, v)
		}
	}
}

// writeBody ends the head with the body's length, writes the body and sends all of it.
func (x *exchange) writeBody(bw *bufio.Writer) error {
	if len(x.body) > 0 || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		writeHeader(bw, "Content-Length", strconv.Itoa(len(x.body)))
	}
	writeStrings(bw, "\r\n")
	if _, err := bw.Write(x.body); err != nil {
		return err
	}
	return bw.Flush()
}

func writeHeader(bw *bufio.Writer, name, value string) {
	writeStrings(bw, name, ": ", value, "\r\n")
}

// writeStrings writes parts; a bufio.Writer keeps its first error until Flush returns it.
func writeStrings(bw *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = bw.WriteString(part)
	}
}

// connectionOptions returns the headers that the caller's Connection header names.
func connectionOptions(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

const (
	highestPriority = 0
	lowestPriority  = 9
	// agingStep is the waiting time that raises a request by one priority at the engine.
	agingStep = 150 * time.Millisecond
	// routeStep is the difference of the priorities at the engine for each priority between routes of a service. A request that was delayed
	// gains at most one less, so that it stays behind more urgent ones that have just arrived.
	routeStep = 2
)

// enginePriority is the priority of the customer or else of the route, raised for requests that were delayed and lowered for late ones.
// Where the routes to the service differ in priority, it is lowered for less urgent routes.
func (x *exchange) enginePriority() int {
	priority := x.route.Priority
	if x.customer != nil && x.customer.HasPriority {
		priority = x.customer.Priority
	}
	aging := int(x.s.Now().Sub(x.arrivedAt) / agingStep)
	if lower := x.route.Priority - x.table.HighestPriority(x.service.Name); lower > 0 {
		if x.customer == nil || !x.customer.HasPriority {
			priority -= lower
		}
		priority += lower * routeStep
		aging = min(aging, routeStep-1)
	}
	if x.missesAim() {
		priority += latePenalty
	} else {
		priority += priorityHeadroom - aging
	}
	return min(lowestPriority, max(highestPriority, priority))
}

// missesAim reports whether the answer will miss the route's aim anyway; requests that can still meet it have priority.
func (x *exchange) missesAim() bool {
	return x.missesAimAt(x.s.Now())
}

// missesAimAt reports the same for an answer that continues at a given time.
func (x *exchange) missesAimAt(at time.Time) bool {
	if x.heldAtStart || x.r.Header.Get(x.s.Headers.EventID) != "" {
		return true
	}
	if x.eventCount == 0 {
		return at.Sub(x.arrivedAt)+x.priorElapsed > x.route.Aim
	}
	return x.route.GapAim > 0 && at.Sub(x.lastEventAt) > x.route.GapAim
}

// latePenalty lowers the priority of late requests.
const latePenalty = 5

// priorityHeadroom leaves priorities above the declared ones for requests that were delayed.
const priorityHeadroom = 3
