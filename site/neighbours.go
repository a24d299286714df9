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
	// updateQueueLength bounds the news that wait to be sent; what comes beyond is dropped, as a network may.
	updateQueueLength = 64
	// maxDatagramBytes bounds a datagram; one has about 30 bytes.
	maxDatagramBytes = 256
	// promptDatagramsPerSecond is how many datagrams a second tell of prompts at most. Where there are more prompts and neighbours each
	// prompt is told to some of them, by turns; those that are not told then take a pass that reads it for one that stands still.
	// Callers spread unevenly over entries, so it leaves room for a busy one.
	promptDatagramsPerSecond = 1800.0
	// promptDatagramBurst is how many datagrams may be saved up for a moment with many prompts, as a time.
	promptDatagramBurst = 500 * time.Millisecond
)

// digestList returns the digest of a list.
func digestList(list []string) ListDigest {
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

// queuedUpdate are news and those who are told, nobody for all.
type queuedUpdate struct {
	update relay.EntryUpdate
	to     []string
}

// addresses are where the other entries listen: all of them in order, and by name.
type addresses struct {
	list   []netip.AddrPort
	byName map[string]netip.AddrPort
}

// peerEntries sends news to the other entries and takes theirs. Fields are set before run.
type peerEntries struct {
	// receive takes what another entry sent.
	receive func(n relay.EntryUpdate, from netip.AddrPort)
	log     logr.Logger

	queue     chan queuedUpdate
	addresses atomic.Pointer[addresses]
	// knownEntries is the entries, names the names of the leader's lists of them, and known how many entries count; all belong to the goroutine
	// that follows the leader.
	known      *knownEntries
	digests    map[ident.Hall]ListDigest
	entryCount int
	// promptBudget is how many datagrams may tell of prompts now, since when that was counted, next whose turn it is.
	promptBudget float64
	budgetAt     time.Time
	nextPeer     int
}

func newPeerEntries(receive func(n relay.EntryUpdate, from netip.AddrPort)) *peerEntries {
	return &peerEntries{receive: receive, log: logr.Discard(), queue: make(chan queuedUpdate, updateQueueLength), known: newKnownEntries(), digests: map[ident.Hall]ListDigest{}}
}

// enqueue sends n to those in a list, or to all entries without one, in the background.
func (b *peerEntries) enqueue(update relay.EntryUpdate, to []string) {
	if b.addresses.Load() == nil {
		return
	}
	select {
	case b.queue <- queuedUpdate{update, to}:
	default:
	}
}

// setEntries takes what a leader says of the entries, and returns them as the one called self sees them, nil where they are the same as before.
func (b *peerEntries) setEntries(now time.Time, self string, leadership LeadershipID, changed []EntryList, changes []ListChange) *sharing.Entries {
	for i := range changes {
		// One that leads from another list than this entry has is left out; the next call gets the list itself.
		if change := &changes[i]; b.digests[change.Hall] == change.Base {
			changed = append(changed, EntryList{change.Hall, change.apply(b.known.lists[change.Hall])})
		}
	}
	for _, list := range changed {
		b.digests[list.Hall] = digestList(list.Entries)
		if len(list.Entries) == 0 {
			delete(b.digests, list.Hall)
		}
	}
	if !b.known.apply(now, leadership, changed) {
		return nil
	}
	entries := sharing.New(self, b.known.all())
	b.entryCount = entries.Total()
	all := &addresses{byName: map[string]netip.AddrPort{}}
	for _, name := range entries.Others() {
		address, err := netip.ParseAddrPort(name)
		if err != nil {
			b.log.Info("neighbour passed over, its address is not an IP address and port", "address", name)
			continue
		}
		all.list = append(all.list, address)
		all.byName[name] = address
	}
	b.addresses.Store(all)
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
func (b *peerEntries) run(ctx context.Context, conn *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { b.readLoop(ctx, conn) })
	b.sendLoop(ctx, conn)
	// Nothing is lost by a socket that does not close in order.
	_ = conn.Close()
	wg.Wait()
}

func (b *peerEntries) sendLoop(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-b.queue:
			b.sendUpdate(conn, queued)
		}
	}
}

func (b *peerEntries) sendUpdate(conn *net.UDPConn, queued queuedUpdate) {
	data, err := cbor.Marshal(queued.update)
	if err != nil {
		b.log.Error(err, "news cannot be encoded", "head", queued.update.Head)
		return
	}
	targets := b.addresses.Load().named(queued.to)
	if queued.update.IsPrompt() {
		// What is said of whether a group works is little, and all of it counts.
		targets = b.promptTargets(clock.Now(), targets)
	}
	for _, target := range targets {
		// A neighbour that can't be reached is one that needs no news; the leader's next list leaves it out.
		_, _ = conn.WriteToUDPAddrPort(data, target)
	}
}

// named returns the addresses of those in a list, all without one.
func (a *addresses) named(names []string) []netip.AddrPort {
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

// promptTargets returns the neighbours that are told of a prompt.
func (b *peerEntries) promptTargets(now time.Time, all []netip.AddrPort) []netip.AddrPort {
	elapsed := min(now.Sub(b.budgetAt), promptDatagramBurst)
	b.budgetAt = now
	b.promptBudget = min(b.promptBudget+promptDatagramsPerSecond*elapsed.Seconds(), promptDatagramsPerSecond*promptDatagramBurst.Seconds())
	count := min(len(all), int(b.promptBudget))
	b.promptBudget -= float64(count)
	var list []netip.AddrPort
	for range count {
		list = append(list, all[b.nextPeer%len(all)])
		b.nextPeer++
	}
	return list
}

func (b *peerEntries) readLoop(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Info("datagrams of neighbours cannot be read", "error", err.Error())
			sleep(ctx, followRetryPause)
			continue
		}
		var update relay.EntryUpdate
		if err := cbor.Unmarshal(buf[:n], &update); err != nil {
			b.log.Info("a datagram is no news", "from", from.String(), "error", err.Error())
			continue
		}
		b.receive(update, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
