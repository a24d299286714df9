package fairshare_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/ident"
)

// TestMain fixes the seed of the property tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// usage returns work of so many requests that their number does not matter.
func usage(sent, unmet float64) fairshare.Usage {
	return fairshare.Usage{Sent: sent, Unmet: unmet, Requests: 1000}
}

// Guards against equal parts that are lost when a customer does not ask for its own, against weights that are not used, and against an excess
// that is found while capacity suffices.
func TestShares(t *testing.T) {
	for _, tt := range []struct {
		name    string
		weights map[ident.Customer]float64
		work    map[ident.Customer]fairshare.Usage
		want    map[ident.Customer]fairshare.Share
	}{
		{
			"capacity suffices", nil, map[ident.Customer]fairshare.Usage{"a": usage(1, 0), "b": usage(9, 0)},
			map[ident.Customer]fairshare.Share{"a": {Ratio: 1. / 9, OthersActive: true}, "b": {Ratio: 1, OthersActive: true}},
		},
		{
			"one in excess gets what the others leave", nil, map[ident.Customer]fairshare.Usage{"a": usage(1, 0), "b": usage(3, 0), "c": usage(6, 14)},
			map[ident.Customer]fairshare.Share{
				"a": {Ratio: 1. / 6, OthersActive: true}, "b": {Ratio: 0.5, OthersActive: true}, "c": {Ratio: 20. / 6, Over: true, OthersActive: true},
			},
		},
		{
			"one that got less than its share is not over it", nil, map[ident.Customer]fairshare.Usage{"a": usage(2, 8), "b": usage(8, 12)},
			map[ident.Customer]fairshare.Share{"a": {Ratio: 2, OthersActive: true}, "b": {Ratio: 4, Over: true, OthersActive: true}},
		},
		{
			"weights", map[ident.Customer]float64{"a": 3}, map[ident.Customer]fairshare.Usage{"a": usage(7.5, 12.5), "b": usage(2.5, 17.5)},
			map[ident.Customer]fairshare.Share{"a": {Ratio: 20 / 7.5, Over: true}, "b": {Ratio: 8, Over: true}},
		},
		{
			"alone", nil, map[ident.Customer]fairshare.Usage{"a": usage(10, 30)},
			map[ident.Customer]fairshare.Share{"a": {Ratio: 4, Over: true}},
		},
		{"nobody", nil, nil, map[ident.Customer]fairshare.Share{"a": {}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &fairshare.Counters{Weights: tt.weights}
			for customer, work := range tt.work {
				c.Add(startTime, customer, work)
			}
			for customer, want := range tt.want {
				if diff := cmp.Diff(want, c.Share(startTime, customer), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
					t.Errorf("share of %s (-want +got):\n%s", customer, diff)
				}
			}
		})
	}
}

// Guards against customers that are over their shares by chance: an entry that sees two requests of a customer, one of them refused, knows
// nothing of an excess.
func TestFewRequestsAreNoExcess(t *testing.T) {
	for _, tt := range []struct {
		requests float64
		want     bool
	}{{2, false}, {5, false}, {40, true}} {
		c := &fairshare.Counters{}
		c.Add(startTime, "a", fairshare.Usage{Sent: 1, Requests: 1})
		c.Add(startTime, "b", fairshare.Usage{Sent: tt.requests / 2, Unmet: tt.requests / 2, Requests: tt.requests})
		if got := c.Share(startTime, "b"); got.Over != tt.want {
			t.Errorf("%v requests: %+v, want over %t", tt.requests, got, tt.want)
		}
	}
}

// Guards against a customer that keeps its share, or its excess, long after its last request.
func TestIdleCustomersAreForgotten(t *testing.T) {
	c := &fairshare.Counters{}
	c.Add(startTime, "a", usage(10, 10))
	c.Add(startTime, "b", usage(10, 0))
	now := startTime
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		c.Add(now, "b", usage(2, 2))
	}
	if got := c.Share(now, "a"); got.Over || got.Ratio > 0.01 {
		t.Errorf("share of a customer that has been idle: %+v", got)
	}
	if got := c.Share(now, "b"); got.OthersActive {
		t.Errorf("share of the only active customer: %+v", got)
	}
}

// Guards against memory that grows with the number of customers, and against customers beyond the bound that are not counted.
func TestCustomersAreBounded(t *testing.T) {
	c := &fairshare.Counters{}
	for i := range 3 * fairshare.MaxCustomers {
		c.Add(startTime, ident.Customer(fmt.Sprint(i)), usage(1, 2))
	}
	largest, others, rest := c.Largest(startTime, 2*fairshare.MaxCustomers)
	if len(largest) != fairshare.MaxCustomers || others != 1 || rest.Sent != 2*fairshare.MaxCustomers || rest.Unmet != 4*fairshare.MaxCustomers {
		t.Errorf("%d customers have accounts, %d others have the work %+v", len(largest), others, rest)
	}
	if got := c.Share(startTime, "unknown"); !got.Over {
		t.Errorf("share of the customers that share an account: %+v, want over", got)
	}
}

// Guards against values of a peer that make all further decisions wrong, and against negative sums after corrections.
func TestInvalidWorkIsIgnored(t *testing.T) {
	c := &fairshare.Counters{}
	c.Add(startTime, "a", usage(1, 0))
	for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		c.Add(startTime, "a", usage(invalid, 0))
		c.Add(startTime, "b", usage(0, invalid))
		c.AddRest(startTime, 1, usage(invalid, invalid))
	}
	c.AddRest(startTime, -1, usage(1, 1))
	c.Add(startTime, "c", fairshare.Usage{Sent: -5, Unmet: -5, Requests: -5})
	largest, others, rest := c.Largest(startTime, 10)
	want := []fairshare.Entry{{Customer: "a", Usage: usage(1, 0)}, {Customer: "c"}}
	if diff := cmp.Diff(want, largest); diff != "" || others != 0 || rest != (fairshare.Usage{}) {
		t.Errorf("others %d, rest %+v, customers (-want +got):\n%s", others, rest, diff)
	}
}

// simulation serves customers by their shares: those over their shares get what the others leave.
type simulation struct {
	counters fairshare.Counters
	capacity float64
	demand   map[ident.Customer]float64
	served   map[ident.Customer]float64
	everOver bool
}

const (
	simulationStep = 50 * time.Millisecond
	// simulationSteps are run until the sums are steady and then again with their results counted.
	simulationSteps = 400
)

func (s *simulation) run() {
	now := startTime
	for step := range 2 * simulationSteps {
		if step == simulationSteps {
			s.served = map[ident.Customer]float64{}
		}
		now = now.Add(simulationStep)
		s.step(now)
	}
}

func (s *simulation) step(now time.Time) {
	var within, over []ident.Customer
	for customer := range s.demand {
		if s.counters.Share(now, customer).Over {
			over = append(over, customer)
		} else {
			within = append(within, customer)
		}
	}
	s.everOver = s.everOver || len(over) > 0
	left := s.serve(now, within, s.capacity)
	s.serve(now, over, left)
}

// serve divides a capacity in proportion to the demands, as requests that wait in a queue are served, and returns what is left.
func (s *simulation) serve(now time.Time, customers []ident.Customer, capacity float64) float64 {
	total := 0.0
	for _, customer := range customers {
		total += s.demand[customer]
	}
	if total == 0 {
		return capacity
	}
	fraction := min(1, capacity/total)
	for _, customer := range customers {
		demand := s.demand[customer]
		s.counters.Add(now, customer, usage(fraction*demand, (1-fraction)*demand))
		s.served[customer] += fraction * demand / simulationSteps
	}
	return capacity - fraction*total
}

// fairLevel returns the max-min fair share of weight 1, found by bisection.
func fairLevel(demand, weights map[ident.Customer]float64, capacity float64) float64 {
	low, high := 0.0, 1e9
	for range 200 {
		mid := (low + high) / 2
		sum := 0.0
		for customer, d := range demand {
			sum += min(d, mid*weights[customer])
		}
		if sum < capacity {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// For any demands and weights: while capacity suffices nobody is over its share, a customer that asks for less than its fair share gets
// nearly all of it, and a customer over its share gets nearly its fair share. Guards against starvation, and against capacity that is
// withheld while nobody else asks for it.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{demand: map[ident.Customer]float64{}, served: map[ident.Customer]float64{}}
		weights := map[ident.Customer]float64{}
		total := 0.0
		for i := range rapid.IntRange(1, 12).Draw(t, "customers") {
			customer := ident.Customer(fmt.Sprint(i))
			s.demand[customer] = math.Exp(rapid.Float64Range(-2, 3).Draw(t, "demand"))
			weights[customer] = rapid.SampledFrom([]float64{0.5, 1, 1, 1, 3}).Draw(t, "weight")
			total += s.demand[customer]
		}
		s.counters.Weights = weights
		s.capacity = total * rapid.Float64Range(0.2, 1.5).Draw(t, "capacity")
		s.run()
		if s.capacity >= total && s.everOver {
			t.Fatal("a customer is over its share while capacity suffices")
		}
		level := fairLevel(s.demand, weights, s.capacity)
		for customer, demand := range s.demand {
			fair := min(demand, level*weights[customer])
			if s.served[customer] < minOfFair*fair {
				t.Fatalf("customer %s asks for %.3f and gets %.3f of its fair share %.3f", customer, demand, s.served[customer], fair)
			}
		}
	})
}

// minOfFair is the fraction of its fair share that each customer gets at least. A customer counts as over its share only from 1.25 times
// the share on, and until it has got nine tenths of it.
const minOfFair = 0.8

// BenchmarkShare is one decision: the work of an arriving request is added, and its customer's share is found.
func BenchmarkShare(b *testing.B) {
	for _, customers := range []int{8, 24, 1000} {
		b.Run(fmt.Sprintf("%d-customers", customers), func(b *testing.B) {
			var names []ident.Customer
			for i := range customers {
				names = append(names, ident.Customer(fmt.Sprintf("customer-%04d", i)))
			}
			c := &fairshare.Counters{}
			now := startTime
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				c.Add(now, names[i%customers], usage(1, float64(i%3)))
				c.Share(now, names[i%customers])
			}
		})
	}
}
