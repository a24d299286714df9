package demo

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/dunlinquay/dunlinquay/ident"
)

// network is the way between the demo's daemons, which can be cut for one of them.
type network struct {
	mu     sync.Mutex
	owners map[string]ident.Daemon // by peer address
	cut    map[ident.Daemon]bool
	conns  map[net.Conn][2]ident.Daemon
}

var errCut = errors.New("the demo has cut this way")

func newNetwork() *network {
	return &network{owners: map[string]ident.Daemon{}, cut: map[ident.Daemon]bool{}, conns: map[net.Conn][2]ident.Daemon{}}
}

// dialer returns the way out of one daemon.
func (n *network) dialer(from ident.Daemon) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := n.owner(address)
		// Upstreams have no owner: the way to them stays open.
		if to != "" && (n.isCut(from) || n.isCut(to)) {
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil || to == "" {
			return conn, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[conn] = [2]ident.Daemon{from, to}
		return conn, nil
	}
}

func (n *network) owner(address string) ident.Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[address]
}

func (n *network) isCut(name ident.Daemon) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[name]
}

// setCut cuts one daemon off from all others, or lets it back.
func (n *network) setCut(name ident.Daemon, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
	for conn, ends := range n.conns {
		if cut && (ends[0] == name || ends[1] == name) {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}
