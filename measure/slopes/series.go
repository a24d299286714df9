package main

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"os"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/control"
	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/transport"
)

var (
	vmCounts       = []float64{100, 1000, 10_000}
	followerCounts = []float64{3, 9, 30, 90}
)

func measureAll() []*Series {
	return []*Series{
		newSeries("beat bytes", "observations in a beat", "bytes", []float64{0, 10, 30, 100, 300}, beatBytes),
		newSeries("beat processor time", "observations in a beat", "µs, both ends", []float64{0, 10, 30, 100, 300}, beatTime),
		newSeries("observing", "observations", "µs", vmCounts, observeTime),
		newSeries("probe processor time", "probes", "µs, both ends", []float64{100, 300, 1000, 3000}, probeTime),
		newSeries("probe bytes", "probes", "bytes, both ways", []float64{100, 300, 1000}, probeBytes),
		newSeries("change bytes to followers", "followers", "bytes sent for a change", followerCounts, func(n float64) float64 { b, _ := follow(int(n), 100); return b }),
		newSeries("change processor time", "followers", "µs for a change, all ends", followerCounts, func(n float64) float64 { _, t := follow(int(n), 100); return t }),
		newSeries("changes a second", "changes a second", "µs of processor time in a second, 9 followers", []float64{1, 10, 100}, changeRate),
		newSeries("state bytes", "VMs", "bytes encoded", vmCounts, stateBytes),
		newSeries("state memory", "VMs", "bytes of heap", vmCounts, stateMemory),
		newSeries("state copy", "VMs", "µs", vmCounts, cloneTime),
		newSeries("planning view", "VMs", "µs", vmCounts, worldTime),
		newSeries("planning without work", "VMs", "µs", vmCounts, planTime),
		newSeries("judging", "VMs", "µs", vmCounts, judgeTime),
		newSeries("leader's look", "VMs", "µs, nothing has changed", vmCounts, func(n float64) float64 { return lookTime(n, false) }),
		newSeries("leader's look after a change", "VMs", "µs", vmCounts, func(n float64) float64 { return lookTime(n, true) }),
		newSeries("choosing watchers", "daemons", "µs for one VM", []float64{9, 71, 710}, watchersTime),
		newSeries("log bytes", "changes", "bytes on disk", []float64{100, 1000, 5000}, logBytes),
		newSeries("ledger memory", "keys", "bytes of heap, answers of 1 KB", []float64{1000, 10_000, 50_000}, ledgerMemory),
		newSeries("ledger command bytes", "size of the answer", "bytes for claim and outcome", []float64{100, 1000, 10_000}, ledgerBytes),
		newSeries("share grant", "daemons", "µs for one grant", []float64{9, 90, 710}, func(n float64) float64 { return shareTime(n, time.Hour) }),
		newSeries("share division", "daemons", "µs for one grant that divides anew", []float64{9, 90, 710}, func(n float64) float64 { return shareTime(n, 0) }),
	}
}

// cpu returns this process's processor time in microseconds.
func cpu() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
}

// timed returns the processor time of one fn in microseconds, over as many as fill a moment.
func timed(fn func()) float64 {
	fn()
	const span = 200 * time.Millisecond
	n := 0
	before := cpu()
	for began := time.Now(); time.Since(began) < span; n++ {
		fn()
	}
	return (cpu() - before) / float64(n)
}

func heap(build func() any) float64 {
	var before, after runtime.MemStats
	// Twice: what the first run finds dead may be freed only by the second one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

type counter struct{ n int64 }

func (c *counter) Write(b []byte) (int, error) {
	c.n += int64(len(b))
	return len(b), nil
}

func beat(observations int) *peer.Beat {
	b := &peer.Beat{From: "entry-17", Hall: "halle-kempten", Incarnation: ident.NewIncarnation(), Revision: 123456, InFlight: map[ident.Group]int{}}
	for i := range observations {
		b.Observations = append(b.Observations, presence.Observation{
			VM: ident.VM(fmt.Sprint("worker-", i)), Sight: presence.ProbeAnswered, Age: int64(i % 250), Incarnation: ident.NewIncarnation(),
			Group: ident.Group(fmt.Sprint("group-", i/8)), Epoch: ident.Epoch(100_000 + i), Slots: 64, Running: i % 64,
		})
	}
	return b
}

// beatBytes is what one beat adds to a connection whose types are known already.
func beatBytes(n float64) float64 {
	c := &counter{}
	e := gob.NewEncoder(c)
	_ = e.Encode(beat(1))
	first := c.n
	_ = e.Encode(beat(int(n)))
	return float64(c.n - first)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// server listens on loopback with the given handlers.
func server(h *peer.Handlers) (address string, stop func()) {
	s := must(peer.NewServer(must(net.Listen("tcp", "127.0.0.1:0")), nil, h))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	return s.Address(), func() {
		cancel()
		<-done
	}
}

func client(address string) (*peer.Client, func()) {
	c := peer.NewClient(address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	return c, func() {
		cancel()
		<-done
	}
}

func beatTime(n float64) float64 {
	table := presence.NewTable()
	address, stop := server(&peer.Handlers{Beat: func(b *peer.Beat) peer.BeatReply {
		table.Observe(time.Now(), b.Observations)
		return peer.BeatReply{Revision: b.Revision}
	}})
	defer stop()
	c, end := client(address)
	defer end()
	b := beat(int(n))
	return timed(func() { _, _ = c.Beat(context.Background(), time.Second, b) })
}

func observeTime(n float64) float64 {
	table := presence.NewTable()
	b := beat(int(n))
	return timed(func() { table.Observe(time.Now(), b.Observations) })
}

func probeTime(n float64) float64 {
	e := engine.NewStandIn()
	if err := e.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	defer e.Kill()
	c := engine.NewClient(transport.TCP())
	before := cpu()
	for range int(n) {
		_, _ = c.State(context.Background(), e.Address())
	}
	return cpu() - before
}

type countedConn struct {
	net.Conn
	n *counter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.n += int64(n)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.n += int64(n)
	return n, err
}

func probeBytes(n float64) float64 {
	e := engine.NewStandIn()
	if err := e.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	defer e.Kill()
	count := &counter{}
	c := engine.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := transport.TCP()(ctx, address)
		return countedConn{conn, count}, err
	})
	for range int(n) {
		_, _ = c.State(context.Background(), e.Address())
	}
	c.HTTP.CloseIdleConnections()
	return float64(count.n)
}

func labelChange(i int) []byte {
	return must(fleet.Encode(&fleet.Command{
		Kind: fleet.KindLabelVM, Change: ident.NewChange(), By: "duty", At: time.Now().UnixMilli(),
		Label: &fleet.LabelChange{VM: "worker-1", Set: map[string]string{"gpu": fmt.Sprint("new-", i)}},
	}))
}

// follow lets n followers over loopback keep up with changes; it returns bytes and processor time of one change.
func follow(n, changes int) (bytes, micros float64) {
	source := fleet.NewMachine()
	source.Apply(1, must(fleet.Encode(&fleet.Command{Kind: fleet.KindRegisterVMs, VMs: []fleet.VM{{Name: "worker-1", Accelerators: 8}}})))
	address, stop := server(&peer.Handlers{Follow: func(c *peer.FollowCall) (peer.FollowReply, error) {
		for {
			changed := source.Changed()
			entries, _ := source.CommandsSince(c.After, 1024)
			if len(entries) > 0 {
				return peer.FollowReply{Entries: entries, Revision: source.Revision()}, nil
			}
			<-changed
		}
	}})
	defer stop()
	var wg sync.WaitGroup
	var clients []*peer.Client
	machines := make([]*fleet.Machine, n)
	last := ident.Revision(1 + changes)
	caught := make(chan struct{}, n)
	for i := range n {
		c, end := client(address)
		defer end()
		clients = append(clients, c)
		machines[i] = fleet.NewMachine()
		wg.Go(func() {
			for machines[i].Revision() < last {
				reply, err := c.Follow(context.Background(), time.Minute, &peer.FollowCall{After: machines[i].Revision()})
				if err != nil {
					return
				}
				for _, e := range reply.Entries {
					machines[i].Apply(e.Revision, e.Data)
				}
				if machines[i].Revision() == 1 {
					caught <- struct{}{}
				}
			}
		})
	}
	for range n {
		<-caught
	}
	var before int64
	for _, c := range clients {
		_, got := c.Bytes()
		before += got
	}
	began := cpu()
	for i := range changes {
		revision := ident.Revision(i + 2)
		source.Apply(revision, labelChange(i))
		source.Notify()
		// One change at a time, as operators make them.
		for _, m := range machines {
			for m.Revision() < revision {
				// Waiting must not count as work.
				time.Sleep(time.Millisecond)
			}
		}
	}
	micros = (cpu() - began) / float64(changes)
	wg.Wait()
	var after int64
	for _, c := range clients {
		_, got := c.Bytes()
		after += got
	}
	return float64(after-before) / float64(changes), micros
}

// changeRate applies changes at a rate for one second, with nine machines as followers in memory.
func changeRate(rate float64) float64 {
	machines := make([]*fleet.Machine, 10)
	for i := range machines {
		machines[i] = fleet.NewMachine()
	}
	before := cpu()
	for i := range int(rate) {
		data := labelChange(i)
		for _, m := range machines {
			m.Apply(ident.Revision(i+1), data)
			m.Notify()
		}
	}
	return cpu() - before
}

// state returns a fleet of n VMs in serving groups of eight.
func state(n int) *fleet.State {
	s := fleet.NewState()
	for i := range n {
		group := ident.Group(fmt.Sprintf("group-%04d", i/8))
		name := ident.VM(fmt.Sprintf("worker-%05d", i))
		s.VMs[name] = &fleet.VM{
			Name: name, Address: fmt.Sprintf("10.1.%d.%d:9100", i/250, i%250), Hall: ident.Hall(fmt.Sprint("hall-", i*21/n)),
			Domain: ident.Domain(fmt.Sprint("domain-", i/16)), Accelerators: 8, Speed: 1, ChecksOrders: true,
			Labels: map[string]string{"gpu": "new", "pool": "main"}, Group: group, Epoch: 1, Phase: fleet.VMJoined, Incarnation: ident.NewIncarnation(),
		}
		g := s.Groups[group]
		if g == nil {
			g = &fleet.Group{Spec: fleet.GroupSpec{
				Name: group, Model: "model", Size: 8, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"new"}}},
			}, Epoch: 1, Phase: fleet.GroupServing}
			s.Groups[group] = g
		}
		g.Members = append(g.Members, name)
	}
	for _, g := range s.Groups {
		g.Spec.Size = len(g.Members)
	}
	return s
}

func stateBytes(n float64) float64 { return float64(len(must(state(int(n)).Marshal()))) }

func stateMemory(n float64) float64 { return heap(func() any { return state(int(n)) }) }

func cloneTime(n float64) float64 {
	s := state(int(n))
	return timed(func() { s.Clone() })
}

func worldTime(n float64) float64 {
	s := state(int(n))
	return timed(func() { planner.NewSnapshot(s) })
}

func planTime(n float64) float64 {
	w := planner.NewSnapshot(state(int(n)))
	return timed(func() { planner.Plan(w, planner.DefaultPolicy()) })
}

func judgeTime(n float64) float64 {
	w := planner.NewSnapshot(state(int(n)))
	j := control.NewFailureDetector(presence.NewTable(), time.Second, 2*time.Second)
	return timed(func() { j.Assess(time.Now(), w) })
}

// lookTime is what the leader spends in each tick before it orders anything.
func lookTime(n float64, changes bool) float64 {
	l := control.NewLeader()
	l.Machine = fleet.NewMachine()
	if err := l.Machine.Restore(1, must(state(int(n)).Marshal())); err != nil {
		panic(err)
	}
	l.Members = presence.NewMembers(time.Second)
	l.Detector = control.NewFailureDetector(presence.NewTable(), time.Second, 2*time.Second)
	revision := ident.Revision(1)
	return timed(func() {
		if changes {
			revision++
			l.Machine.Apply(revision, labelChange(int(revision)))
		}
		l.Actions()
	})
}

// watchersTime is what one daemon spends on asking who watches one VM, among daemons of 21 halls.
func watchersTime(n float64) float64 {
	var live []presence.Watcher
	for i := range int(n) {
		live = append(live, presence.Watcher{Name: ident.Daemon(fmt.Sprint("entry-", i)), Hall: ident.Hall(fmt.Sprint("hall-", i%21))})
	}
	return timed(func() { presence.Watchers("worker-1", "hall-3", live) })
}

// logBytes is what changes one by one add to the shared log of a single member.
func logBytes(n float64) float64 {
	root := must(os.MkdirTemp("", "dunlinquay-slopes-"))
	defer os.RemoveAll(root)
	store := must(quorum.OpenStore(must(disk.NewFolder(filepath.Join(root, "a"))), "a"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		store.Run(ctx)
		close(done)
	}()
	for i := range int(n) {
		entry := quorum.Entry{Index: quorum.Index(i + 1), Term: 1, Data: labelChange(i)}
		if err := store.Save(ctx, 0, nil, []quorum.Entry{entry}); err != nil {
			panic(err)
		}
	}
	cancel()
	<-done
	info := must(os.Stat(filepath.Join(root, "a", "log")))
	return float64(info.Size())
}

func claimAndOutcome(i, answer int) (claim, outcome []byte) {
	key := ledger.Key{Customer: "customer", ID: fmt.Sprint("key-", i, "-0123456789abcdef")}
	attempt := string(ident.NewChange())
	claim = must(ledger.Encode(&ledger.Command{
		Kind: ledger.KindClaim, Key: key, At: time.Now().UnixMilli(), Deadline: time.Now().UnixMilli() + 60_000, Retention: 86_400_000,
		Daemon: "entry-1", Incarnation: ident.NewIncarnation(), Attempt: attempt,
	}))
	outcome = must(ledger.Encode(&ledger.Command{Kind: ledger.KindOutcome, Key: key, Attempt: attempt, Answer: make([]byte, answer)}))
	return claim, outcome
}

func ledgerMemory(n float64) float64 {
	return heap(func() any {
		m := ledger.NewMachine()
		for i := range int(n) {
			claim, outcome := claimAndOutcome(i, 1000)
			m.Apply(claim)
			m.Apply(outcome)
		}
		return m
	})
}

func ledgerBytes(answer float64) float64 {
	claim, outcome := claimAndOutcome(1, int(answer))
	return float64(len(claim) + len(outcome))
}

func shareTime(n float64, period time.Duration) float64 {
	a := admission.NewShareAllocator(time.Second)
	a.DivisionPeriod = period
	var live []ident.Daemon
	for i := range int(n) {
		name := ident.Daemon(fmt.Sprint("entry-", i))
		live = append(live, name)
		a.SetDemands(name, []admission.Demand{{Customer: "c", Concurrent: i % 20, Requests: i % 50}})
	}
	limit := admission.Limit{Concurrent: 2000, RequestsPerSecond: 1000}
	next := 0
	return timed(func() {
		next = (next + 1) % len(live)
		a.Grant(time.Now(), live[next], live, "c", limit)
	})
}
