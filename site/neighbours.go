package site

// Entries tell each other directly of the prompts that they send, one datagram
// for each prompt and neighbour: an engine reads a prompt sooner than the
// leader could tell of it. A datagram that is lost is not sent again.

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// newsWaiting bounds the news that wait to be sent; what comes beyond is dropped, as a network may.
	newsWaiting = 64
	// maxNews bounds a datagram; one has about 30 bytes.
	maxNews = 256
	// maxNeighbours bounds the list that the leader sends.
	maxNeighbours = 96
	// promptNews is how many datagrams a second tell of prompts at most. Where there are more prompts and neighbours each
	// prompt is told to some of them, by turns.
	promptNews = 600.0
	// promptNewsSaved is how many datagrams may be saved up for a moment with many prompts, as a time.
	promptNewsSaved = 500 * time.Millisecond
)

// nameList returns the digest of a list.
func nameList(list []string) ListName {
	if len(list) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, address := range list {
		_, _ = h.Write([]byte(address)) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	return ListName(h.Sum64())
}

// neighbours sends news to the other entries and takes theirs. Fields are set before run.
type neighbours struct {
	// hear takes what another entry sent.
	hear func(n relay.News)
	log  logr.Logger

	waiting chan relay.News
	list    atomic.Pointer[[]netip.AddrPort]
	name    atomic.Uint64
	// allowed is how many datagrams may tell of prompts now, since when that was counted, next whose turn it is.
	allowed float64
	counted time.Time
	next    int
}

func newNeighbours(hear func(n relay.News)) *neighbours {
	return &neighbours{hear: hear, log: logr.Discard(), waiting: make(chan relay.News, newsWaiting)}
}

// tell sends n to the neighbours in the background.
func (b *neighbours) tell(n relay.News) {
	if b.list.Load() == nil {
		return
	}
	select {
	case b.waiting <- n:
	default:
	}
}

// set replaces the list of neighbours.
func (b *neighbours) set(addresses []string) {
	var list []netip.AddrPort
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			b.log.Info("neighbour passed over, its address is not an IP address and port", "address", address)
			continue
		}
		list = append(list, a)
	}
	b.list.Store(&list)
	b.name.Store(uint64(nameList(addresses)))
}

func (b *neighbours) known() ListName {
	return ListName(b.name.Load())
}

// listenDatagrams opens the socket of an address.
func listenDatagrams(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, result.Wrap(err, result.StartFailed, "address %s cannot be used for datagrams", address)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, result.Wrap(err, result.StartFailed, "address %s cannot be used for datagrams", address)
	}
	return conn, nil
}

// run sends and takes news until ctx ends, and closes conn.
func (b *neighbours) run(ctx context.Context, conn *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { b.read(ctx, conn) })
	b.send(ctx, conn)
	// Nothing is lost by a socket that does not close in order.
	_ = conn.Close()
	wg.Wait()
}

func (b *neighbours) send(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.waiting:
			b.sendToAll(conn, n)
		}
	}
}

func (b *neighbours) sendToAll(conn *net.UDPConn, n relay.News) {
	data, err := cbor.Marshal(n)
	if err != nil {
		b.log.Error(err, "news cannot be encoded", "head", n.Head)
		return
	}
	for _, to := range b.told(time.Now(), *b.list.Load()) {
		// A neighbour that can't be reached is one that needs no news; the leader's next list leaves it out.
		_, _ = conn.WriteToUDPAddrPort(data, to)
	}
}

// told returns the neighbours that are told of a prompt.
func (b *neighbours) told(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	saved := min(now.Sub(b.counted), promptNewsSaved)
	b.counted = now
	b.allowed = min(b.allowed+promptNews*saved.Seconds(), promptNews*promptNewsSaved.Seconds())
	count := min(len(all), int(b.allowed))
	b.allowed -= float64(count)
	var list []netip.AddrPort
	for range count {
		list = append(list, all[b.next%len(all)])
		b.next++
	}
	return list
}

func (b *neighbours) read(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxNews)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Info("datagrams of neighbours cannot be read", "error", err.Error())
			pause(ctx, askPause)
			continue
		}
		var news relay.News
		if err := cbor.Unmarshal(buf[:n], &news); err != nil {
			b.log.Info("a datagram is no news", "from", from.String(), "error", err.Error())
			continue
		}
		b.hear(news)
	}
}

// neighbours returns the list for an entry that has another one, and nothing otherwise.
func (r *reign) neighbours(call *SyncCall) []string {
	r.mu.Lock()
	list := r.neighboursOf(call.From)
	r.mu.Unlock()
	if nameList(list) == call.Neighbours {
		return nil
	}
	return list
}

// neighboursOf returns the entries that name tells of its prompts, in order; the mutex is held.
func (r *reign) neighboursOf(name string) []string {
	var list []string
	for entry := range r.entries {
		if entry != name {
			list = append(list, entry)
		}
	}
	slices.Sort(list)
	return ringAfter(list, name, maxNeighbours)
}

// ringAfter returns the first entries after name in the ring of a sorted list, most at most: where not all fit, each entry is on as
// many lists as any other.
func ringAfter(list []string, name string, most int) []string {
	start, _ := slices.BinarySearch(list, name)
	return slices.Concat(list[start:], list[:start])[:min(len(list), most)]
}
