package site_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// slowEntry calls the leader as an entry does, and puts each configuration in force after a delay.
type slowEntry struct {
	version atomic.Uint64
	calls   atomic.Int64
}

func (e *slowEntry) run(ctx context.Context, addresses []string, applyTime func(version httproute.Version) time.Duration) {
	address := addresses[0]
	for i := 0; ctx.Err() == nil; i++ {
		client := link.NewClient(address, "Site")
		call := &site.SyncCall{From: "127.0.2.9:1", Hall: "hall", Entry: true, Version: httproute.Version(e.version.Load())}
		var reply site.SyncReply
		err := client.Call(ctx, 2*time.Second, "Sync", call, &reply)
		client.Close()
		if err != nil || !reply.Leads {
			address = addresses[i%len(addresses)]
			continue
		}
		e.calls.Add(1)
		if reply.Version > call.Version {
			select {
			case <-time.After(applyTime(reply.Version)):
			case <-ctx.Done():
			}
			e.version.Store(uint64(reply.Version))
		}
	}
}

func (d *daemons) peers(hosts ...string) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, fmt.Sprintf("%s:%d", host, d.port))
	}
	return list
}

// startSite starts three control daemons and an entry that needs applyTime for each configuration but the first.
func startSite(t *testing.T, applyTime time.Duration) (d *daemons, hosts []string, e *slowEntry, stopEntry context.CancelFunc) {
	t.Helper()
	d = newDaemons(t)
	hosts = []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	e = &slowEntry{}
	ctx, stopEntry := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		e.run(ctx, d.peers(hosts...), func(version httproute.Version) time.Duration {
			if version == 1 {
				return 0
			}
			return applyTime
		})
	})
	t.Cleanup(func() { stopEntry(); wg.Wait() })
	d.waitUntil("the entry has the first configuration", func() bool { return e.version.Load() == 1 })
	return d, hosts, e, stopEntry
}

// A change is confirmed once the reachable entries have it in force.
func TestConfirmedChangeIsInForce(t *testing.T) {
	d, hosts, entry, _ := startSite(t, 150*time.Millisecond)
	for version := httproute.Version(2); version < 8; version++ {
		host := hosts[version%3]
		d.waitUntilReplaced(host, version)
		if got := entry.version.Load(); got < uint64(version) {
			t.Errorf("version %d is confirmed by %s, the entry has %d", version, host, got)
		}
	}
}

// An entry that does not put a change in force delays its confirmation by less than operators wait, and one that has
// stopped does not delay it.
func TestConfirmationDoesNotWaitForLostEntry(t *testing.T) {
	d, hosts, e, stopEntry := startSite(t, time.Hour)
	startedAt := time.Now()
	d.waitUntilReplaced(hosts[0], 2)
	if took := time.Since(startedAt); took >= time.Second {
		t.Errorf("confirmed after %v beside an entry that does not apply it", took)
	}
	stopEntry()
	d.waitUntil("the entry no longer counts", func() bool {
		startedAt = time.Now()
		d.waitUntilReplaced(hosts[0], httproute.Version(3+e.calls.Add(1)))
		return time.Since(startedAt) < 300*time.Millisecond
	})
}

// A configuration that is offered several times at once, to the same or different daemons, is proposed once.
func TestConcurrentOffersAreProposedOnce(t *testing.T) {
	d, hosts, _, stopEntry := startSite(t, time.Millisecond)
	stopEntry()
	for version := httproute.Version(2); version < 10; version++ {
		before := d.running[hosts[0]].control.ProposedConfigs() + d.running[hosts[1]].control.ProposedConfigs() + d.running[hosts[2]].control.ProposedConfigs()
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() { _ = d.offer(hosts[i%3], version) })
		}
		wg.Wait()
		d.waitUntilReplaced(hosts[0], version)
		after := d.running[hosts[0]].control.ProposedConfigs() + d.running[hosts[1]].control.ProposedConfigs() + d.running[hosts[2]].control.ProposedConfigs()
		if after != before+1 {
			t.Errorf("version %d: %d proposals of one configuration that was offered eight times", version, after-before)
		}
	}
}

// A reply with an older configuration, or the one that is in force, changes nothing.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		has, gets httproute.Version
		accepted  bool
	}{{0, 5, true}, {4, 5, true}, {5, 5, false}, {9, 5, false}} {
		config, patch := site.AcceptedConfig(c.has, &site.SyncReply{Version: c.gets, Config: []byte("c"), Patch: []byte("p")})
		if (config != nil) != c.accepted || (patch != nil) != c.accepted {
			t.Errorf("version %d at a daemon that has %d is accepted: %v, %v", c.gets, c.has, config != nil, patch != nil)
		}
	}
}

// An entry that can't reach the leader gets a confirmed configuration, and drained halls, from any control daemon that
// has them.
func TestFollowerSendsCommittedState(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	var leader string
	d.waitUntil("the leader is known", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		if err == nil {
			leader = s.Leader
		}
		return err == nil && leader != ""
	})
	host, _, err := net.SplitHostPort(leader)
	if err != nil {
		t.Fatal(err)
	}
	faults := &connFaults{poweredOff: map[string]bool{host: true}}
	d.dial = faults.dial("127.0.2.1")
	d.startEntry("127.0.2.1")
	d.waitUntil("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 1) })
	const bound = 2 * time.Second
	for version := httproute.Version(2); version < 5; version++ {
		d.waitUntilReplaced(hosts[version%3], version)
		startedAt := time.Now()
		d.waitUntil("the entry has the next one", func() bool { return d.routed("127.0.2.1", version) })
		if took := time.Since(startedAt); took > bound {
			t.Errorf("version %d in force %v after its confirmation", version, took)
		}
	}
	if err := d.drain(hosts[0], "hall-1", true); err != nil {
		t.Fatal(err)
	}
	d.waitUntil("the hall is drained", func() bool { return len(d.running["127.0.2.1"].entry.Drained()) == 1 })
}
