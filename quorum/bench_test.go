package quorum_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// benchCluster is three members on synced folders; messages are passed in memory, so that only the disk adds latency.
type benchCluster struct {
	nodes map[ident.Daemon]*quorum.Node
	stop  func()
	// silent is the name of a member whose messages are lost.
	silent atomic.Value
}

func newBenchCluster(b *testing.B, root string, snapshotEvery quorum.Index) *benchCluster {
	b.Helper()
	c := &benchCluster{nodes: map[ident.Daemon]*quorum.Node{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var members []quorum.Member
	var stores []*quorum.Store
	names := []ident.Daemon{"a", "b", "c"}
	for _, name := range names {
		folder, err := disk.NewFolder(filepath.Join(root, string(name)))
		if err != nil {
			b.Fatal(err)
		}
		store, err := quorum.OpenStore(folder, name)
		if err != nil {
			b.Fatal(err)
		}
		n := quorum.NewNode(store)
		n.Timing, n.SnapshotEvery, n.Seed = timing, snapshotEvery, uint64(name[0])
		n.Send = func(messages []quorum.Message) {
			for i := range messages {
				if silent, _ := c.silent.Load().(string); silent == string(name) {
					return
				}
				c.nodes[messages[i].To.Name].Deliver(messages[i : i+1])
			}
		}
		n.Fatal = func(err error) { b.Error(err) }
		count := 0
		n.Apply = func(quorum.Index, []byte) any { count++; return count }
		n.TakeSnapshot = func() ([]byte, error) { return []byte{1}, nil }
		n.Restore = func(quorum.Index, []byte) error { return nil }
		c.nodes[name] = n
		stores = append(stores, store)
		members = append(members, quorum.Member{ID: store.ID(), Voter: true})
	}
	for i, name := range names {
		wg.Go(func() { stores[i].Run(ctx) })
		wg.Go(func() { c.nodes[name].Run(ctx) })
	}
	for _, name := range names {
		c.nodes[name].Form(ctx, members)
	}
	c.stop = func() {
		cancel()
		wg.Wait()
	}
	return c
}

func (c *benchCluster) leader() *quorum.Node {
	for {
		for _, n := range c.nodes {
			if n.Status().Role == quorum.RoleLeader {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func BenchmarkChanges(b *testing.B) {
	for _, writers := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint(writers, "-at-once"), func(b *testing.B) {
			cluster := newBenchCluster(b, b.TempDir(), 1<<30)
			defer cluster.stop()
			leader := cluster.leader()
			data := make([]byte, 200)
			var wg sync.WaitGroup
			proposals := make(chan struct{})
			for range writers {
				wg.Go(func() {
					for range proposals {
						if _, _, err := leader.Propose(context.Background(), data); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for b.Loop() {
				proposals <- struct{}{}
			}
			close(proposals)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

func BenchmarkRestartAfter10000Changes(b *testing.B) {
	for _, c := range []struct {
		name          string
		snapshotEvery quorum.Index
	}{{"with-snapshot", 4096}, {"without-snapshot", 1 << 30}} {
		b.Run(c.name, func(b *testing.B) {
			root := b.TempDir()
			cluster := newBenchCluster(b, root, c.snapshotEvery)
			leader := cluster.leader()
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(func() {
					for range 100 {
						_, _, _ = leader.Propose(context.Background(), make([]byte, 200))
					}
				})
			}
			wg.Wait()
			cluster.stop()
			for b.Loop() {
				folder, err := disk.NewFolder(filepath.Join(root, "a"))
				if err != nil {
					b.Fatal(err)
				}
				store, err := quorum.OpenStore(folder, "a")
				if err != nil {
					b.Fatal(err)
				}
				if _, _, _, err := store.Load(0); err != nil {
					b.Fatal(err)
				}
				store.Close()
			}
		})
	}
}

// Covers the time from the silence of the leader to the next accepted change.
func BenchmarkLeaderLoss(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		cluster := newBenchCluster(b, b.TempDir(), 1<<30)
		leader := cluster.leader()
		_, _, _ = leader.Propose(context.Background(), []byte{1})
		b.StartTimer()
		cluster.silent.Store(string(leader.Status().ID.Name))
		cluster.proposeThroughSuccessor(leader)
		b.StopTimer()
		cluster.stop()
		b.StartTimer()
	}
}

func (c *benchCluster) proposeThroughSuccessor(old *quorum.Node) {
	for {
		for _, n := range c.nodes {
			if n == old || n.Status().Role != quorum.RoleLeader {
				continue
			}
			if _, _, err := n.Propose(context.Background(), []byte{2}); err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
