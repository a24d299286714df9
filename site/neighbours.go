package site

// Entries tell each other directly of the prompts that they send, one datagram
// for each prompt and entry that uses the same group: an engine reads a prompt
// sooner than the leader could tell of it. A datagram that is lost is not sent
// again. Who the entries are comes from the leader, one list for each hall.

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/sharing"
)

const (
	// newsWaiting bounds the news that wait to be sent; what comes beyond is dropped, as a network may.
	newsWaiting = 64
	// maxNews bounds a datagram; one has about 30 bytes.
	maxNews = 256
	// promptNews is how many datagrams a second tell of prompts at most. Where there are more prompts and neighbours each
	// prompt is told to some of them, by turns; those that are not told then take a pass that reads it for one that stands still.
	// Callers spread unevenly over entries, so it leaves room for a busy one.
	promptNews = 1800.0
	// promptNewsSaved is how many datagrams may be saved up for a moment with many prompts, as a time.
	promptNewsSaved = 500 * time.Millisecond
)

// nameList returns the digest of a list.
func nameList(list []string) ListDigest {
	if len(list) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, address := range list {
		_, _ = h.Write([]byte(address)) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	return ListDigest(h.Sum64())
}

// toldNews are news and those who are told, nobody for all.
type toldNews struct {
	news relay.EntryUpdate
	to   []string
}

// addresses are where the other entries listen: all of them in order, and by name.
type addresses struct {
	list   []netip.AddrPort
	byName map[string]netip.AddrPort
}

// neighbours sends news to the other entries and takes theirs. Fields are set before run.
type neighbours struct {
	// hear takes what another entry sent.
	hear func(n relay.EntryUpdate, from netip.AddrPort)
	log  logr.Logger

	waiting chan toldNews
	all     atomic.Pointer[addresses]
	// knownEntries is the entries, names the names of the leader's lists of them, and known how many entries count; all belong to the goroutine
	// that follows the leader.
	entries *knownEntries
	names   map[ident.Hall]ListDigest
	known   int
	// allowed is how many datagrams may tell of prompts now, since when that was counted, next whose turn it is.
	allowed float64
	counted time.Time
	next    int
}

func newNeighbours(hear func(n relay.EntryUpdate, from netip.AddrPort)) *neighbours {
	return &neighbours{hear: hear, log: logr.Discard(), waiting: make(chan toldNews, newsWaiting), entries: newKnownEntries(), names: map[ident.Hall]ListDigest{}}
}

// tell sends n to those in a list, or to all entries without one, in the background.
func (b *neighbours) tell(n relay.EntryUpdate, to []string) {
	if b.all.Load() == nil {
		return
	}
	select {
	case b.waiting <- toldNews{n, to}:
	default:
	}
}

// set takes what a leader says of the entries, and returns them as the one called self sees them, nil where they are the same as before.
func (b *neighbours) set(now time.Time, self string, leadership LeadershipID, changed []EntryList, changes []ListChange) *sharing.Entries {
	for i := range changes {
		// One that leads from another list than this entry has is left out; the next call gets the list itself.
		if c := &changes[i]; b.names[c.Hall] == c.Base {
			changed = append(changed, EntryList{c.Hall, c.apply(b.entries.lists[c.Hall])})
		}
	}
	for _, l := range changed {
		b.names[l.Hall] = nameList(l.Entries)
		if len(l.Entries) == 0 {
			delete(b.names, l.Hall)
		}
	}
	if !b.entries.take(now, leadership, changed) {
		return nil
	}
	entries := sharing.New(self, b.entries.all())
	b.known = entries.Total()
	all := &addresses{byName: map[string]netip.AddrPort{}}
	for _, name := range entries.Others() {
		a, err := netip.ParseAddrPort(name)
		if err != nil {
			b.log.Info("neighbour passed over, its address is not an IP address and port", "address", name)
			continue
		}
		all.list = append(all.list, a)
		all.byName[name] = a
	}
	b.all.Store(all)
	return entries
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

func (b *neighbours) sendToAll(conn *net.UDPConn, n toldNews) {
	data, err := cbor.Marshal(n.news)
	if err != nil {
		b.log.Error(err, "news cannot be encoded", "head", n.news.Head)
		return
	}
	to := b.all.Load().of(n.to)
	if n.news.IsPrompt() {
		// What is said of whether a group works is little, and all of it counts.
		to = b.told(clock.Now(), to)
	}
	for _, to := range to {
		// A neighbour that can't be reached is one that needs no news; the leader's next list leaves it out.
		_, _ = conn.WriteToUDPAddrPort(data, to)
	}
}

// of returns the addresses of those in a list, all without one.
func (a *addresses) of(names []string) []netip.AddrPort {
	if names == nil {
		return a.list
	}
	list := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		if address, ok := a.byName[name]; ok {
			list = append(list, address)
		}
	}
	return list
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
		var news relay.EntryUpdate
		if err := cbor.Unmarshal(buf[:n], &news); err != nil {
			b.log.Info("a datagram is no news", "from", from.String(), "error", err.Error())
			continue
		}
		b.hear(news, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
