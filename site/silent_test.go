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

// power makes connections from and to hosts go silent, as when a VM loses power: nothing is reset.
type power struct {
	mu  sync.Mutex
	off map[string]bool
	// opened counts connections, dead is how many of the first ones are silent for good.
	opened, dead int
}

// forget makes all connections that are open go silent for good, while new ones work.
func (p *power) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = p.opened
}

// open counts a new connection and returns whether it is silent.
func (p *power) open(from, to string) func() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	n := p.opened
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return n <= p.dead || p.off[from] || p.off[to]
	}
}

func (p *power) lose(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off[host] = true
}

func (p *power) silent(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.off[a] || p.off[b]
}

// dial opens connections of a host.
func (p *power) dial(from string) transport.Dial {
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
		return &powered{Conn: conn, silent: p.open(from, to), closed: make(chan struct{})}, nil
	}
}

// powered is a connection that may go silent.
type powered struct {
	net.Conn
	silent func() bool
	once   sync.Once
	closed chan struct{}
}

func (c *powered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *powered) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *powered) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// An order that reaches a follower while its leader has lost power goes to the next leader, not into the old connection's time-out.
func TestOrderIsNotHeldByALostLeader(t *testing.T) {
	d := newDaemons(t)
	p := &power{off: map[string]bool{}}
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.dial = p.dial(host)
		d.control(host, true)
	}
	d.replace(hosts[0], 1)
	d.voters(hosts[0], 3)
	var s *site.State
	d.until("the leader is known", func() bool {
		var err error
		s, err = site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && s.Leader != ""
	})
	lost, _, err := net.SplitHostPort(s.Leader)
	if err != nil {
		t.Fatal(err)
	}
	for i, host := range hosts {
		if host == lost {
			hosts = append(hosts[:i:i], hosts[i+1:]...)
		}
	}
	d.dial = p.dial("127.0.2.1")
	d.entry("127.0.2.1")
	d.replace(hosts[0], 2)
	d.until("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 2) })
	p.lose(lost)
	began := time.Now()
	for i, host := range hosts {
		if err := d.offer(host, httproute.Version(3+i)); err != nil {
			t.Errorf("%s: %v", host, err)
		}
	}
	t.Logf("two orders took %v", time.Since(began))
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("two orders took %v after the leader was lost", took)
	}
	began = time.Now()
	d.until("the entry has the newest one", func() bool { return d.routed("127.0.2.1", 4) })
	t.Logf("in force %v after the confirmation", time.Since(began))
	if took := time.Since(began); took > time.Second {
		t.Errorf("in force %v after the confirmation", took)
	}
}

// A configuration is in force within the bound at an entry whose connections go silent for good, while new ones work.
func TestConfigurationReachesAnEntryWhoseConnectionsGoSilent(t *testing.T) {
	const bound = 2 * time.Second
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.control(host, true)
	}
	d.replace(hosts[0], 1)
	d.voters(hosts[0], 3)
	p := &power{off: map[string]bool{}}
	d.dial = p.dial("127.0.2.1")
	d.entry("127.0.2.1")
	d.until("the entry has the configuration", func() bool { return d.routed("127.0.2.1", 1) })
	for version := httproute.Version(2); version < 6; version++ {
		p.forget()
		d.replace(hosts[version%3], version)
		began := time.Now()
		d.until("the entry has the next one", func() bool { return d.routed("127.0.2.1", version) })
		took := time.Since(began)
		t.Logf("version %d in force %v after its confirmation", version, took)
		if took > bound {
			t.Errorf("version %d in force %v after its confirmation", version, took)
		}
	}
}
