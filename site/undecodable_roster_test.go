package site_test

import (
	"context"
	"net"
	"slices"
	"testing"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/site"
)

// brokenLeader is a leader whose roster cannot be decoded.
type brokenLeader struct{ address string }

// Sync replies with a drained hall and the roster.
func (l *brokenLeader) Sync(_ *site.SyncCall, reply *site.SyncReply) error {
	*reply = site.SyncReply{
		Leads: true, Leader: l.address, Leadership: "l", Usable: true, Packed: []byte("not a roster"),
		Drained: &catalog.Drained{Revision: 1, Halls: []ident.Hall{"hall-0"}},
	}
	return nil
}

// An entry that could not decode the leader's roster ignored the drained halls in the same reply.
func TestDrainIsInForceThoughRosterCannotBeDecoded(t *testing.T) {
	d := newDaemons(t)
	ln, err := net.Listen("tcp", d.peers("127.0.1.1")[0])
	if err != nil {
		t.Fatal(err)
	}
	server, err := link.NewServer(ln, "Site", &brokenLeader{ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { server.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	d.startEntry("127.0.2.1")
	d.waitUntil("the hall is drained at the entry", func() bool { return slices.Contains(d.running["127.0.2.1"].entry.Drained(), "hall-0") })
}
