package site_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// connFaults makes connections from and to hosts go silent, as when a VM loses power: nothing is reset.
type connFaults struct {
	mu         sync.Mutex
	poweredOff map[string]bool
	// opened counts connections, of which the first silentConns are silent for good.
	opened, silentConns int
}

// silenceOpenConns makes all open connections go silent for good, while new ones work.
func (p *connFaults) silenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentConns = p.opened
}

// openConn counts a new connection and returns a function that reports whether it is silent.
func (p *connFaults) openConn(from, to string) func() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	n := p.opened
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return n <= p.silentConns || p.poweredOff[from] || p.poweredOff[to]
	}
}

func (p *connFaults) powerOff(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poweredOff[host] = true
}

func (p *connFaults) silent(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.poweredOff[a] || p.poweredOff[b]
}

// dial opens connections of a host.
func (p *connFaults) dial(from string) transport.Dial {
	tcp := transport.TCP()
	return func(ctx context.Context, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if p.silent(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := tcp(ctx, address)
		if err != nil {
			return nil, err
		}
		return &silenceableConn{Conn: conn, silent: p.openConn(from, to), closed: make(chan struct{})}, nil
	}
}

// silenceableConn is a connection that may go silent.
type silenceableConn struct {
	net.Conn
	silent func() bool
	once   sync.Once
	closed chan struct{}
}

func (c *silenceableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silenceableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// An order that reaches a follower while its leader has lost power is sent to the next leader, and does not wait for
// the timeout of the old connection.
func TestConfigurationOrderPassesLostLeader(t *testing.T) {
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
	lost, _, err := net.SplitHostPort(state.Leader)
	if err != nil {
		t.Fatal(err)
	}
	for i, host := range hosts {
		if host == lost {
			hosts = append(hosts[:i:i], hosts[i+1:]...)
		}
	}
	d.dial = faults.dial("127.0.2.1")
	d.startEntry("127.0.2.1")
	d.waitUntilReplaced(hosts[0], 2)
	d.waitUntil("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 2) })
	faults.powerOff(lost)
	startedAt := time.Now()
	for i, host := range hosts {
		if err := d.offer(host, httproute.Version(3+i)); err != nil {
			t.Errorf("%s: %v", host, err)
		}
	}
	t.Logf("two orders took %v", time.Since(startedAt))
	if took := time.Since(startedAt); took > 2*time.Second {
		t.Errorf("two orders took %v after the leader was lost", took)
	}
	startedAt = time.Now()
	d.waitUntil("the entry has the newest one", func() bool { return d.routed("127.0.2.1", 4) })
	t.Logf("in force %v after the confirmation", time.Since(startedAt))
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("in force %v after the confirmation", took)
	}
}

// A configuration is in force within the bound at an entry whose connections go silent for good, while new ones work.
func TestConfigurationReachesEntryWithSilentConnections(t *testing.T) {
	const bound = 2 * time.Second
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitForVoters(hosts[0], 3)
	faults := &connFaults{poweredOff: map[string]bool{}}
	d.dial = faults.dial("127.0.2.1")
	d.startEntry("127.0.2.1")
	d.waitUntil("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 1) })
	for version := httproute.Version(2); version < 6; version++ {
		faults.silenceOpenConns()
		d.waitUntilReplaced(hosts[version%3], version)
		startedAt := time.Now()
		d.waitUntil("the entry has the next one", func() bool { return d.routed("127.0.2.1", version) })
		took := time.Since(startedAt)
		t.Logf("version %d in force %v after its confirmation", version, took)
		if took > bound {
			t.Errorf("version %d in force %v after its confirmation", version, took)
		}
	}
}
