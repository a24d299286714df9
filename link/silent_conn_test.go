package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/transport"
)

// Echo is a service with one method.
type Echo struct{}

// Repeat replies with its argument.
func (Echo) Repeat(in string, out *string) error {
	*out = in
	return nil
}

// A connection without a reply since the given time is closed, and the next call opens another; one with a later reply
// stays open.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := link.NewServer(ln, "Echo", Echo{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { server.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	opened := 0
	tcp := transport.TCP()
	c := link.NewClient(server.Address(), "Echo")
	c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		opened++
		return tcp(ctx, address)
	}
	defer c.Close()
	callAndCount := func(want int) {
		t.Helper()
		var out string
		if err := c.Call(ctx, 10*time.Second, "Repeat", "x", &out); err != nil || opened != want {
			t.Errorf("error %v, %d connections opened, want %d", err, opened, want)
		}
	}
	c.CloseIfSilent(time.Now())
	callAndCount(1)
	longAgo := time.Now().Add(-time.Hour)
	c.CloseIfSilent(longAgo)
	callAndCount(1)
	c.CloseIfSilent(time.Now().Add(time.Hour))
	callAndCount(2)
	callAndCount(2)
}
