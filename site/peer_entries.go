package site

// Entries notify each other directly of the prompts that they send, by one datagram for each prompt and each entry that
// uses the same group: an engine may have read the prompt before an update through the leader would arrive. Lost
// datagrams are not sent again. The leader sends the list of entries, one list for each hall.

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
	// updateQueueLength bounds the updates that wait to be sent; further ones are dropped, as in a network.
	updateQueueLength = 64
	// maxDatagramBytes bounds a datagram; a typical one has about 30 bytes.
	maxDatagramBytes = 256
	// promptDatagramsPerSecond bounds the datagrams on prompts. With more prompts and entries each prompt is sent to
	// some of the entries, in rotation; the others can mistake the iteration that reads the prompt for a stall. Callers
	// are spread unevenly over entries, so the bound has a reserve for a busy one.
	promptDatagramsPerSecond = 1800.0
	// promptDatagramBurst is how much of that rate may be saved up for a burst of prompts.
	promptDatagramBurst = 500 * time.Millisecond
)

// digestList returns the digest of a list of addresses.
func digestList(list []string) ListDigest {
	if len(list) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, address := range list {
		_, _ = h.Write([]byte(address)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return ListDigest(h.Sum64())
}

// queuedUpdate is an update and its receivers, all entries when to is nil.
type queuedUpdate struct {
	update relay.EntryUpdate
	to     []string
}

// addresses are the addresses of the other entries, in order and by name.
type addresses struct {
	list   []netip.AddrPort
	byName map[string]netip.AddrPort
}

// peerEntries sends updates to the other entries and receives theirs. Fields are set before run.
type peerEntries struct {
	// receive handles an update from another entry.
	receive func(update relay.EntryUpdate, from netip.AddrPort)
	log     logr.Logger

	queue     chan queuedUpdate
	addresses atomic.Pointer[addresses]
	// known are the entries, digests the digests of the leader's lists of entries, and entryCount the number of
	// entries; they belong to the goroutine that follows the leader.
	known      *knownEntries
	digests    map[ident.Hall]ListDigest
	entryCount int
	// promptBudget is how many datagrams on prompts may be sent at budgetAt, nextPeer the index of the next receiver in
	// rotation.
	promptBudget float64
	budgetAt     time.Time
	nextPeer     int
}

func newPeerEntries(receive func(update relay.EntryUpdate, from netip.AddrPort)) *peerEntries {
	return &peerEntries{receive: receive, log: logr.Discard(), queue: make(chan queuedUpdate, updateQueueLength), known: newKnownEntries(), digests: map[ident.Hall]ListDigest{}}
}

// enqueue queues an update to the named entries, or to all if to is nil; the update is dropped when the queue is full.
func (b *peerEntries) enqueue(update relay.EntryUpdate, to []string) {
	if b.addresses.Load() == nil {
		return
	}
	select {
	case b.queue <- queuedUpdate{update, to}:
	default:
	}
}

// setEntries applies the leader's lists and list changes, and returns the entries as seen by the one named self, nil if
// they are unchanged.
func (b *peerEntries) setEntries(now time.Time, self string, leadership LeadershipID, changed []EntryList, changes []ListChange) *sharing.Entries {
	for i := range changes {
		// A change of a list that this entry does not have is ignored; the next reply brings the list itself.
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
			b.log.Info("entry ignored, its address is not an IP address and port", "address", name)
			continue
		}
		all.list = append(all.list, address)
		all.byName[name] = address
	}
	b.addresses.Store(all)
	return entries
}

// listenDatagrams opens a UDP socket at an address.
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

// run sends and receives updates until ctx ends, and closes conn.
func (b *peerEntries) run(ctx context.Context, conn *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { b.readLoop(ctx, conn) })
	b.sendLoop(ctx, conn)
	// An error on close loses no data.
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
		b.log.Error(err, "update for other entries cannot be encoded", "head", queued.update.Head)
		return
	}
	targets := b.addresses.Load().named(queued.to)
	if queued.update.IsPrompt() {
		// Only updates on prompts are limited: the others are few, and each of them matters.
		targets = b.promptTargets(clock.Now(), targets)
	}
	for _, target := range targets {
		// An entry that can't be reached needs no update; the leader's next list omits it.
		_, _ = conn.WriteToUDPAddrPort(data, target)
	}
}

// named returns the addresses of the named entries, all if names is nil.
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

// promptTargets returns the entries that are notified of a prompt.
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
			b.log.Info("datagrams from entries cannot be read", "error", err.Error())
			sleep(ctx, followRetryPause)
			continue
		}
		var update relay.EntryUpdate
		if err := cbor.Unmarshal(buf[:n], &update); err != nil {
			b.log.Info("datagram ignored, it is not an update", "from", from.String(), "error", err.Error())
			continue
		}
		b.receive(update, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
