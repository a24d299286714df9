package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	shareEntries = 4
	// shareCallInterval is how often each entry reports to the leader.
	shareCallInterval = 300 * time.Millisecond
	// shareRate is the usual load of all customers in requests per second, about two thirds of what the groups can answer in time.
	shareRate = 60
	// shareWarmup is how long customers send their usual load, shareDuration how long the load that is tested lasts.
	shareWarmup   = 4 * time.Second
	shareDuration = 15 * time.Second
	// shareRuns is the number of runs that are summed where a loss of a twentieth is measured.
	shareRuns = 3
)

// sharePattern is a load of several customers.
type sharePattern struct {
	// usual are the parts of the usual load by customer; factors are the multiples of the usual load after the warm-up, 1 if absent.
	usual   map[ident.Customer]float64
	factors map[ident.Customer]float64
	weights map[ident.Customer]float64
	// off switches the shares off.
	off bool
	// reportLoss is one in how many reports is lost, 0 for none. loseSummaries drops all summaries.
	reportLoss    int
	loseSummaries bool
	// seed varies the arrivals and sizes.
	seed uint64
}

// shareCounts counts the requests of a customer after the warm-up: all, and those whose callers were answered in time.
type shareCounts struct {
	Total, InTime int
}

func (c shareCounts) fraction() float64 { return float64(c.InTime) / float64(max(1, c.Total)) }

func shareConfig(p *sharePattern) *httproute.Config {
	cfg := timedConfig()
	cfg.Services[1].Engine.Slots = excessSlots
	cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 1400, Answer: floodEvents * 5}
	cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 1)}
	cfg.Routes[0].Aim = excessAim
	cfg.Routes[0].Timeout = excessCallerTimeout
	cfg.Customers = nil
	for customer := range p.usual {
		cfg.Customers = append(cfg.Customers, httproute.Customer{Name: customer, KeyHashes: []string{keys.Hash("key-" + string(customer))}})
	}
	return cfg
}

// sumShares sums the counts of several runs, so that a customer with few requests does not decide by one of them.
func sumShares(t *testing.T, p *sharePattern) map[ident.Customer]shareCounts {
	t.Helper()
	sums := map[ident.Customer]shareCounts{}
	for p.seed = range shareRuns {
		for customer, counts := range runShares(t, p) {
			sums[customer] = shareCounts{sums[customer].Total + counts.Total, sums[customer].InTime + counts.InTime}
		}
	}
	return sums
}

// runShares runs a load against several entries that share simulated engines, and returns the counts by customer.
func runShares(t *testing.T, p *sharePattern) map[ident.Customer]shareCounts {
	t.Helper()
	got := map[ident.Customer]shareCounts{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		engines := map[string]*iterationEngine{}
		for i := range excessGroups {
			e := &iterationEngine{slots: excessSlots}
			engines["h"+strconv.Itoa(i)] = e
			running.Go(func() { e.run(ctx) })
		}
		entries := newShareEntries(p, engines)
		running.Go(func() { exchangeShareReports(ctx, p, entries) })
		var records sync.Map
		for _, s := range entries {
			s.Observe = func(r *relay.Record) { records.Store(r.ID, r) }
		}
		sendShares(p, entries, &records, got)
		for _, e := range engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
	return got
}

// newShareEntries returns entries that notify each other of the prompts that they send.
func newShareEntries(p *sharePattern, engines map[string]*iterationEngine) []*relay.Relay {
	var entries []*relay.Relay
	for i := range shareEntries {
		s := relayForEngines(engines)
		s.RandomInt = rand.New(rand.NewPCG(1, uint64(i))).IntN
		if !p.off {
			s.SetCustomerShares(p.weights)
		}
		s.SetConfig(shareConfig(p))
		s.SetConfirmed(time.Now())
		setGroups(s, 1, excessGroups)
		from := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		s.SendUpdate = func(update relay.EntryUpdate, _ []string) {
			go func() {
				for j, other := range entries {
					if j != i {
						other.Receive(update, from)
					}
				}
			}()
		}
		entries = append(entries, s)
	}
	return entries
}

// exchangeShareReports sums the reports of all entries as the leader does.
func exchangeShareReports(ctx context.Context, p *sharePattern, entries []*relay.Relay) {
	table := &siteload.Table{}
	for n := 0; ctx.Err() == nil; {
		for i, s := range entries {
			report := s.CollectLoad()
			n++
			if p.reportLoss == 0 || n%p.reportLoss != 0 {
				table.Apply(time.Now(), strconv.Itoa(i), report)
			}
			if !p.loseSummaries {
				s.SetSiteLoad(table.Summary(time.Now()))
			}
			time.Sleep(shareCallInterval / shareEntries)
		}
	}
}

// sendShares starts the callers of each customer at random times, with prompts of 200 to 4000 tokens, and waits until all have ended.
func sendShares(p *sharePattern, entries []*relay.Relay, records *sync.Map, got map[ident.Customer]shareCounts) {
	prompts := []int{200, 400, 800, 1600, 4000}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for customer, part := range p.usual {
		random := rand.New(rand.NewPCG(p.seed, uint64(customer[len(customer)-1])))
		wg.Go(func() {
			for n := 0; time.Since(began) < shareWarmup+shareDuration; n++ {
				rate := shareRate * part
				factor, isChanged := p.factors[customer]
				if tested := time.Since(began) >= shareWarmup; tested && isChanged {
					rate *= factor
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				tested := time.Since(began) >= shareWarmup
				caller := &excessCaller{
					entry: entries[random.IntN(len(entries))], id: fmt.Sprint(customer, ".", n),
					tokens: strconv.Itoa(prompts[random.IntN(len(prompts))]) + ",40", key: "key-" + string(customer),
				}
				wg.Go(func() {
					firstEvent, maxGap, _ := caller.call(records)
					if !tested {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					counts := got[customer]
					counts.Total++
					if firstEvent > 0 && firstEvent <= excessAim && maxGap <= excessGapAim {
						counts.InTime++
					}
					got[customer] = counts
				})
			}
		})
	}
	wg.Wait()
}

// usualParts are the parts of the customers in the usual load; each has enough requests to measure a loss of a twentieth.
func usualParts() map[ident.Customer]float64 {
	return map[ident.Customer]float64{"c1": 0.31, "c2": 0.23, "c3": 0.14, "c4": 0.18, "c5": 0.14}
}

// One customer sends ten times its usual load, far more than the groups can answer. Guards against requests that are ordered without regard
// to customers: the one with the excess then takes the capacity of all others.
func TestCustomerInExcess(t *testing.T) {
	t.Parallel()
	usual := sumShares(t, &sharePattern{usual: usualParts()})
	for _, tt := range []struct {
		name       string
		reportLoss int
	}{
		{"all reports arrive", 0},
		{"every third report is lost", 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := sumShares(t, &sharePattern{usual: usualParts(), factors: map[ident.Customer]float64{"c3": 10}, reportLoss: tt.reportLoss})
			for customer := range usual {
				t.Logf("%s: %.3f of %d in time, %.3f of %d with the usual load", customer, got[customer].fraction(), got[customer].Total,
					usual[customer].fraction(), usual[customer].Total)
				if cost := usual[customer].fraction() - got[customer].fraction(); customer != "c3" && cost > 0.05 {
					t.Errorf("%s: the excess of c3 costs %.3f of the requests in time, want at most 0.05", customer, cost)
				}
			}
			if got["c3"].InTime < usual["c3"].InTime {
				t.Errorf("c3: %d in time with ten times the load, %d with the usual load: its fair share is not served", got["c3"].InTime, usual["c3"].InTime)
			}
		})
	}
}

// Entries without fresh sums decide by their own counts. Guards against shares that have no effect, or a harmful one, while the leader is
// unreachable.
func TestCustomerInExcessWithoutSums(t *testing.T) {
	t.Parallel()
	p := sharePattern{usual: usualParts(), factors: map[ident.Customer]float64{"c3": 10}}
	off, lost := p, p
	off.off, lost.loseSummaries = true, true
	without, got := runShares(t, &off), runShares(t, &lost)
	for customer := range p.usual {
		t.Logf("%s: %.3f in time, %.3f without shares", customer, got[customer].fraction(), without[customer].fraction())
		if customer != "c3" && 1-got[customer].fraction() > (1-without[customer].fraction())/2 {
			t.Errorf("%s: %.3f of the requests are in time, %.3f without shares; want at most half of the losses", customer, got[customer].fraction(), without[customer].fraction())
		}
	}
}

// Two customers ask for the same, far more than the groups can answer, and one has three times the weight of the other. Guards against
// weights that are not used.
func TestWeightsOfCustomers(t *testing.T) {
	t.Parallel()
	got := runShares(t, &sharePattern{
		usual:   map[ident.Customer]float64{"c1": 0.2, "c2": 0.4, "c3": 0.4},
		factors: map[ident.Customer]float64{"c2": 5, "c3": 5}, weights: map[ident.Customer]float64{"c2": 3},
	})
	// Which requests are over the share is known with a delay, so the ratio is smaller than that of the weights.
	if ratio := float64(got["c2"].InTime) / float64(got["c3"].InTime); ratio < 2 {
		t.Errorf("%d and %d requests in time with the weights 3 and 1", got["c2"].InTime, got["c3"].InTime)
	}
}

// Guards against work that is counted twice when its caller retries, against estimates that are not corrected, and against reports while the
// shares are off.
func TestReportedWork(t *testing.T) {
	cfg := timedConfig()
	m := &cfg.Services[1].Engine.Models[0]
	// Two events of five tokens, while the caller expected forty tokens.
	actual := cfg.Services[1].Engine.UpstreamSeconds(m, 1000, 10)
	expected := cfg.Services[1].Engine.UpstreamSeconds(m, 1000, 40)
	first := slices.Repeat([]string{"2000"}, 10)
	for _, tt := range []struct {
		name   string
		off    bool
		served bool
		// timeouts are the times that the callers announce, in ms; a caller that announces less than the others retries.
		timeouts []string
		want     []siteload.CustomerWork
	}{
		{"answered", false, true, first[:1], []siteload.CustomerWork{{Customer: "office", Usage: fairshare.Usage{Sent: actual, Requests: 1}}}},
		{"off", true, true, first[:1], nil},
		{"refused", false, false, first, []siteload.CustomerWork{{Customer: "office", Usage: fairshare.Usage{Unmet: 10 * expected, Requests: 10}}}},
		{
			"refused twice", false, false, append(first, "1500"),
			[]siteload.CustomerWork{{Customer: "office", Usage: fairshare.Usage{Unmet: 10 * expected, Requests: 10}}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			head := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
				if !tt.served {
					return respondNotRun(c, r)
				}
				return respondStream(c, r, 1, 2, true)
			}))
			s := newTestEntry(t, nil, []*upstream{head})
			if !tt.off {
				s.relay.SetCustomerShares(nil)
			}
			s.relay.SetConfig(cfg)
			for i, timeout := range tt.timeouts {
				r := s.request(http.MethodPost, "/stream/x", fmt.Sprint(i), "")
				r.Header.Set("Tokens", "1000,40")
				r.Header.Set("Estimate", "40")
				r.Header.Set("Deadline", timeout)
				s.do(r)
			}
			s.relay.Wait()
			var got []siteload.CustomerWork
			for _, q := range s.relay.CollectLoad().Queues {
				for _, level := range q.Levels {
					got = append(got, level.Customers...)
				}
			}
			if diff := cmp.Diff(tt.want, got, cmpopts.EquateApprox(1e-9, 1e-12)); diff != "" {
				t.Errorf("work (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against shares that have an effect while capacity suffices.
func TestSharesWithoutContention(t *testing.T) {
	t.Parallel()
	parts := map[ident.Customer]float64{"c1": 0.3, "c2": 0.15, "c3": 0.05}
	on, off := runShares(t, &sharePattern{usual: parts}), runShares(t, &sharePattern{usual: parts, off: true})
	if diff := cmp.Diff(off, on); diff != "" {
		t.Errorf("requests in time (-off +on):\n%s", diff)
	}
}
