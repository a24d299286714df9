package site_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/site"
)

func startNeighbours(t *testing.T) (site.Neighbours, chan relay.News) {
	t.Helper()
	heard := make(chan relay.News, 8)
	n, err := site.NewNeighbours(func(s relay.News) { heard <- s })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return n, heard
}

// News reach every neighbour that can be reached, and what is no news is passed over.
func TestNeighbours(t *testing.T) {
	a, heardByA := startNeighbours(t)
	b, heardByB := startNeighbours(t)
	c, heardByC := startNeighbours(t)
	conn, err := net.Dial("udp4", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("no news")); err != nil {
		t.Fatal(err)
	}
	a.Tell(relay.News{Head: "lost", Prompt: 1}) // there are no neighbours yet
	a.Set(b.Address(), "no address", "127.0.0.1:1", c.Address())
	c.Set(a.Address())
	a.Tell(relay.News{Head: "h", Prompt: 700})
	c.Tell(relay.News{Head: "g", Prompt: 20})
	got := []relay.News{<-heardByA, <-heardByB, <-heardByC}
	want := []relay.News{{Head: "g", Prompt: 20}, {Head: "h", Prompt: 700}, {Head: "h", Prompt: 700}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("heard (-want +got):\n%s", diff)
	}
}

func TestNamesOfLists(t *testing.T) {
	if got := site.NameList(nil); got != 0 {
		t.Errorf("no list has the name %v", got)
	}
	if site.NameList([]string{"ab", "c"}) == site.NameList([]string{"a", "bc"}) {
		t.Error("different lists have the same name")
	}
}
