package relay

// While requests of the same urgency compete for the groups of a model, those of
// customers that ask for more than their fair share rank after all others (see
// package fairshare). The shares follow from the work of customers at all
// entries: each entry reports what it counted since its last report, and adds its
// counts since then to the leader's sums. Without fresh sums it uses its own
// counts. A request counts as unmet work from its first arrival, and as sent work
// from when it is sent; the estimate is corrected when its answer has ended. A
// retry after a refusal is not counted as unmet again: customers whose requests
// are refused would otherwise seem to ask for more than they do.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// maxUnreportedAge is the age from which work that was not reported is dropped: the leader's sums have lost half of what arrived then.
const maxUnreportedAge = 2 * time.Second

// customerShares holds the work of customers by queue and urgency.
type customerShares struct {
	weights map[ident.Customer]float64
	levels  map[shareKey]*shareLevel
}

// shareKey identifies the requests whose customers share capacity.
type shareKey struct {
	queue   queueKey
	urgency siteload.Urgency
}

// shareLevel holds the work of customers with one key.
type shareLevel struct {
	// own has this entry's work. site has that of all entries, nil until a summary has arrived.
	own, site *fairshare.Counters
	// unreported is this entry's work since its last report, unreportedSince the time of that report.
	unreported      map[ident.Customer]fairshare.Usage
	unreportedSince time.Time
}

// requestWork is the estimated work of a request.
type requestWork struct {
	// expected is the work by the estimate.
	expected float64
	// counted is set once the request has been queued.
	counted bool
	// prompt are the tokens that are prefilled.
	prompt ident.Tokens
}

// SetCustomerShares makes requests of customers over their fair shares rank last; it must be called before the relay serves. Customers
// without a weight have 1.
func (s *Relay) SetCustomerShares(weights map[ident.Customer]float64) {
	s.shares = &customerShares{weights: weights, levels: map[shareKey]*shareLevel{}}
}

func (x *exchange) shareKey() shareKey {
	return shareKey{x.queueKey(), x.urgency()}
}

// customerName returns the customer's name; all requests without a customer share one account.
func (x *exchange) customerName() ident.Customer {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// noteOverShare sets the request's flags by which it ranks after others, from its customer's share; the mutex is held. Requests with
// progress keep their rank, since a refusal would waste the work so far.
func (x *exchange) noteOverShare(now time.Time) {
	x.overShare, x.leavesRoom = false, false
	if x.s.shares == nil || x.hasProgress() {
		return
	}
	key := x.shareKey()
	level := x.s.shares.levels[key]
	if level == nil {
		return
	}
	counters := level.own
	if level.site != nil && x.s.siteLoadOf(key.queue, now) != nil {
		counters = level.site
	}
	share := counters.Share(now, x.customerName())
	x.overShare = share.Over
	x.leavesRoom = share.Over && share.OthersActive
}

// noteArrivedWork counts the request as unmet work, also when it is queued again after an attempt; the mutex is held.
func (x *exchange) noteArrivedWork(now time.Time) {
	if x.s.shares == nil {
		return
	}
	x.work.prompt = x.prefillTokens()
	x.work.expected = x.upstreamSeconds(x.answerTokens)
	isFirst := !x.work.counted
	x.work.counted = true
	switch {
	case isFirst && x.priorElapsed >= returningElapsed:
	case isFirst:
		x.addWork(now, fairshare.Usage{Unmet: x.work.expected, Requests: 1})
	default:
		x.addWork(now, fairshare.Usage{Unmet: x.work.expected})
	}
}

// noteSentWork counts the request as sent work; the mutex is held.
func (x *exchange) noteSentWork(now time.Time) {
	if x.s.shares == nil {
		return
	}
	x.sentWork = x.work.expected
	x.addWork(now, fairshare.Usage{Sent: x.sentWork, Unmet: -x.sentWork})
}

// settleWork replaces the estimated work of the request that was sent by its actual work.
func (x *exchange) settleWork(actual float64) {
	if x.s.shares == nil || x.sentWork == 0 {
		return
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.addWork(x.s.Now(), fairshare.Usage{Sent: actual - x.sentWork})
	x.sentWork = 0
}

// actualWork returns the work of an attempt; f is nil if the request was not sent.
func (x *exchange) actualWork(f *forwarder, outcome attemptOutcome) float64 {
	switch {
	case f == nil || outcome == outcomeNotRun || x.service.Engine == nil:
		return 0
	case outcome == outcomeDone && f.eventCount == 0:
		return x.sentWork // an answer that is no stream does not tell its tokens
	}
	return x.upstreamSeconds(ident.Tokens(f.eventCount * max(1, x.service.Engine.StepsPerIteration)))
}

// upstreamSeconds returns the upstream time that the request needs with an answer of that size.
func (x *exchange) upstreamSeconds(answer ident.Tokens) float64 {
	m, ok := x.service.Engine.Model(x.model)
	if !ok {
		return 0
	}
	return x.service.Engine.UpstreamSeconds(m, x.work.prompt, answer)
}

// addWork adds work of the request's customer; the mutex is held.
func (x *exchange) addWork(now time.Time, u fairshare.Usage) {
	key := x.shareKey()
	shares := x.s.shares
	level := shares.levels[key]
	if level == nil {
		level = &shareLevel{own: &fairshare.Counters{Weights: shares.weights}, unreported: map[ident.Customer]fairshare.Usage{}, unreportedSince: now}
		shares.levels[key] = level
	}
	level.add(now, x.customerName(), u)
	x.s.countsOf(key.queue).level(key.urgency) // so that the next report has this urgency
}

func (l *shareLevel) add(now time.Time, customer ident.Customer, u fairshare.Usage) {
	l.own.Add(now, customer, u)
	if l.site != nil {
		l.site.Add(now, customer, u)
	}
	if now.Sub(l.unreportedSince) > maxUnreportedAge {
		clear(l.unreported)
		l.unreportedSince = now
	}
	if before, ok := l.unreported[customer]; ok || len(l.unreported) < fairshare.MaxCustomers {
		l.unreported[customer] = before.Plus(u)
	}
}

// takeReport returns the unreported work of the customers with the most; that of the others remains for the next report.
func (c *customerShares) takeReport(now time.Time, key shareKey) []siteload.CustomerWork {
	if c == nil || c.levels[key] == nil {
		return nil
	}
	l := c.levels[key]
	l.unreportedSince = now
	var report []siteload.CustomerWork
	for customer, u := range l.unreported {
		report = append(report, siteload.CustomerWork{Customer: customer, Usage: u})
	}
	slices.SortFunc(report, func(a, b siteload.CustomerWork) int {
		return cmp.Or(cmp.Compare(magnitude(b.Usage), magnitude(a.Usage)), cmp.Compare(a.Customer, b.Customer))
	})
	report = report[:min(len(report), siteload.MaxReportCustomers)]
	for i := range report {
		delete(l.unreported, report[i].Customer)
	}
	return report
}

func magnitude(u fairshare.Usage) float64 {
	return math.Abs(u.Sent) + math.Abs(u.Unmet)
}

// applySummary replaces the sums over all entries and adds this entry's work since its last report.
func (c *customerShares) applySummary(now time.Time, summary *siteload.Summary) {
	if c == nil {
		return
	}
	for key, l := range c.levels {
		l.site = nil
		if found := summary.Queue(key.queue.loadKey()).Level(key.urgency); found != nil {
			l.site = siteCounters(now, c.weights, found)
			for customer, u := range l.unreported {
				l.site.Add(now, customer, u)
			}
		}
	}
}

// siteCounters returns counters with the sums of a summary.
func siteCounters(now time.Time, weights map[ident.Customer]float64, summary *siteload.LevelSummary) *fairshare.Counters {
	counters := &fairshare.Counters{Weights: weights}
	for _, c := range summary.Customers {
		counters.Add(now, c.Customer, c.Usage)
	}
	counters.AddRest(now, summary.Others, summary.OthersWork)
	return counters
}
