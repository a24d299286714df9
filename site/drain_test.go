package site_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// drain sends an order on a hall through a control daemon.
func (d *daemons) drain(host string, hall ident.Hall, drain bool) error {
	return d.running[host].control.Drain(context.Background(), catalog.DrainOrder{Hall: hall, Drain: drain})
}

// entriesCall waits until n entries call the leader: a confirmation waits only for these.
func (d *daemons) entriesCall(hosts []string, n int) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("%d entries call", n), func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && s.Entries == n
	})
}

// An order on a hall is accepted by any control daemon, is in force at an entry when it is confirmed, and survives the
// loss of all daemons at once; an entry that starts applies it before its first request.
func TestDrainedHalls(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	d.startEntry("127.0.2.1")
	d.waitUntil("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 1) })
	d.entriesCall(hosts, 1)
	expectDrained := func(halls ...ident.Hall) {
		t.Helper()
		if diff := cmp.Diff(halls, d.running["127.0.2.1"].entry.Drained()); diff != "" {
			t.Errorf("drained halls at the entry (-want +got):\n%s", diff)
		}
	}
	for i, host := range hosts {
		hall := ident.Hall(fmt.Sprintf("hall-%d", i))
		d.waitUntil("the order is accepted", func() bool { return d.drain(host, hall, true) == nil })
	}
	expectDrained("hall-0", "hall-1", "hall-2")
	if err := d.drain(hosts[1], "hall-1", true); err != nil {
		t.Errorf("the same order again: %v", err)
	}
	if err := d.drain(hosts[2], "hall-1", false); err != nil {
		t.Errorf("undrained: %v", err)
	}
	expectDrained("hall-0", "hall-2")
	if err := d.drain(hosts[0], "nowhere", true); result.CodeOf(err) != result.ChangeNotFound {
		t.Errorf("an unknown hall: %v", err)
	}

	t.Log("all daemons are lost at once")
	var wg sync.WaitGroup
	for _, r := range d.running {
		wg.Go(func() { r.stop(); <-r.done })
	}
	wg.Wait()
	for _, host := range hosts {
		d.startControl(host, false)
	}
	d.startEntry("127.0.2.1")
	d.waitUntil("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 1) })
	expectDrained("hall-0", "hall-2")
	d.entriesCall(hosts, 1)
	d.waitUntil("the leader reports the drained halls", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && slices.Equal(s.Drained, []ident.Hall{"hall-0", "hall-2"})
	})
	if err := site.OrderDrain(context.Background(), transport.TCP(), d.peers(hosts...), catalog.DrainOrder{Hall: "hall-0"}); err != nil {
		t.Errorf("an operator's order: %v", err)
	}
	expectDrained("hall-2")
}

// An order on a hall that reaches a follower while its leader has lost power is carried out by the next leader.
func TestDrainOrderPassesLostLeader(t *testing.T) {
	d := newDaemons(t)
	faults := &connFaults{poweredOff: map[string]bool{}}
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.dial = faults.dial(host)
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	var state *site.State
	d.waitUntil("the leader is known", func() bool {
		var err error
		state, err = site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && state.Leader != ""
	})
	for i, address := range d.peers(hosts...) {
		if address == state.Leader {
			faults.powerOff(hosts[i])
			hosts = slices.Delete(hosts, i, i+1)
			break
		}
	}
	startedAt := time.Now()
	if err := d.drain(hosts[0], "hall-1", true); err != nil {
		t.Error(err)
	}
	t.Logf("the order took %v", time.Since(startedAt))
	if took := time.Since(startedAt); took > 2*time.Second {
		t.Errorf("the order took %v after the leader was lost", took)
	}
}
