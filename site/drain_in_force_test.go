package site_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// drainInForceBound is how long after its confirmation a drain may take to be in force at an entry in touch, a tenth of the users' bound on
// requests.
const drainInForceBound = 500 * time.Millisecond

// A confirmed drain is in force within the bound at an entry whose connections have gone silent, whose leader is lost, or that has just
// started.
func TestConfirmedDrainIsInForce(t *testing.T) {
	const entry = "127.0.2.1"
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	faults := &connFaults{poweredOff: map[string]bool{}}
	for _, host := range hosts {
		d.dial = faults.dial(host)
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	entryFaults := &connFaults{poweredOff: map[string]bool{}}
	d.dial = entryFaults.dial(entry)
	d.startEntry(entry)
	d.waitUntil("the entry has the configuration", func() bool { return d.routed(entry, 1) })
	d.entriesCall(hosts, 1)
	drained := false
	order := func(when string, through []string) {
		t.Helper()
		drained = !drained
		err := site.OrderDrain(context.Background(), transport.TCP(), d.peers(through...), catalog.DrainOrder{Hall: "hall-1", Drain: drained})
		confirmedAt := time.Now()
		if err != nil {
			t.Fatalf("%s: %v", when, err)
		}
		d.waitUntil("the order is in force", func() bool { return slices.Contains(d.running[entry].entry.Drained(), ident.Hall("hall-1")) == drained })
		took := time.Since(confirmedAt)
		t.Logf("%s: in force %v after the confirmation", when, took)
		if took > drainInForceBound {
			t.Errorf("%s: in force %v after the confirmation, want %v", when, took, drainInForceBound)
		}
	}
	order("no fault", hosts)
	for range 4 {
		entryFaults.silenceOpenConns()
		order("silent connections", hosts)
	}
	d.kill(entry)
	d.startEntry(entry)
	order("an entry that starts", hosts)
	d.waitUntil("the entry has the configuration", func() bool { return d.routed(entry, 1) })
	state, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
	if err != nil {
		t.Fatal(err)
	}
	leader := slices.Index(d.peers(hosts...), state.Leader)
	faults.powerOff(hosts[leader])
	entryFaults.powerOff(hosts[leader])
	others := slices.Delete(slices.Clone(hosts), leader, leader+1)
	order("a lost leader", others)
	order("the next leader", others)
}
