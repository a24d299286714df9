package quorum_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

// testCluster runs nodes in one synctest bubble, on real folders and with messages passed in memory.
type testCluster struct {
	t     *testing.T
	nodes map[ident.Daemon]*testMember
	names []ident.Daemon

	mu      sync.Mutex
	running map[ident.Daemon]*quorum.Node
	// onSend is called for each message as it is sent, if not nil.
	onSend func(m *quorum.Message)
}

type testMember struct {
	node     *quorum.Node
	folder   *disk.Folder
	cancel   context.CancelFunc
	done     chan struct{}
	fatal    error
	diskFull atomic.Bool

	mu      sync.Mutex
	applied []string
}

func newTestCluster(t *testing.T, n int) *testCluster {
	c := &testCluster{t: t, nodes: map[ident.Daemon]*testMember{}, running: map[ident.Daemon]*quorum.Node{}}
	root := t.TempDir()
	for i := range n {
		name := ident.Daemon(fmt.Sprintf("m%d", i))
		c.names = append(c.names, name)
		folder, err := disk.NewFolder(filepath.Join(root, string(name)))
		if err != nil {
			t.Fatal(err)
		}
		m := &testMember{folder: folder}
		write := folder.WriteAt
		folder.WriteAt = func(f *os.File, b []byte, offset int64) (int, error) {
			if m.diskFull.Load() {
				return 0, syscall.ENOSPC
			}
			return write(f, b, offset)
		}
		c.nodes[name] = m
		c.start(name)
	}
	var members []quorum.Member
	for _, name := range c.names {
		members = append(members, quorum.Member{ID: c.nodes[name].node.Status().ID, Voter: true})
	}
	for _, name := range c.names {
		c.nodes[name].node.Form(t.Context(), members)
	}
	return c
}

func (c *testCluster) start(name ident.Daemon) {
	m := c.nodes[name]
	store, err := quorum.OpenStore(m.folder, name)
	if err != nil {
		c.t.Fatal(err)
	}
	m.applied, m.fatal = nil, nil
	n := quorum.NewNode(store)
	n.Timing, n.SnapshotEvery = timing, 50
	n.Seed = uint64(len(name)) * uint64(name[1])
	n.Send = c.send
	n.Fatal = func(err error) { m.fatal = err }
	n.Apply = func(index quorum.Index, data []byte) any {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applied = append(m.applied, string(data))
		return fmt.Sprint(index, ":", string(data))
	}
	n.TakeSnapshot = func() ([]byte, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return []byte(fmt.Sprintf("%q", m.applied)), nil
	}
	n.Restore = func(_ quorum.Index, data []byte) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applied = parseQuotedList(string(data))
		return nil
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	m.node, m.cancel, m.done = n, cancel, make(chan struct{})
	go func() {
		defer close(m.done)
		var wg sync.WaitGroup
		wg.Go(func() { store.Run(ctx) })
		wg.Go(func() { n.Run(ctx) })
		wg.Wait()
	}()
	<-n.Ready()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[name] = n
}

// parseQuotedList parses a list of quoted strings.
func parseQuotedList(s string) []string {
	var list []string
	for len(s) > 1 {
		s = s[1:]
		var one string
		if _, err := fmt.Sscanf(s, "%q", &one); err != nil {
			break
		}
		list = append(list, one)
		s = s[len(fmt.Sprintf("%q", one)):]
	}
	return list
}

func (c *testCluster) stop(name ident.Daemon) {
	m := c.nodes[name]
	m.cancel()
	<-m.done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, name)
}

func (c *testCluster) send(messages []quorum.Message) {
	for i := range messages {
		c.mu.Lock()
		n, onSend := c.running[messages[i].To.Name], c.onSend
		c.mu.Unlock()
		if onSend != nil {
			onSend(&messages[i])
		}
		if n != nil {
			n.Deliver(messages[i : i+1])
		}
	}
}

func (c *testCluster) leader() *testMember {
	for range 200 {
		for _, m := range c.nodes {
			if m.node.Status().Role == quorum.RoleLeader {
				return m
			}
		}
		time.Sleep(timing.Heartbeat)
	}
	c.t.Fatal("no leader")
	return nil
}

func (m *testMember) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.applied)
}

func (c *testCluster) stopAll() {
	for _, name := range c.names {
		c.stop(name)
	}
}

func (c *testCluster) proposeMany(m *testMember, from, n int) {
	for i := from; i < from+n; i++ {
		if _, _, err := m.node.Propose(c.t.Context(), []byte(fmt.Sprint("c", i))); err != nil {
			c.t.Fatal(err)
		}
	}
}

func commands(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("c", i))
	}
	return list
}

// After hundreds of changes and a restart of every member, all changes are still there.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.proposeMany(cluster.leader(), 0, 300)
		cluster.stopAll()
		for _, name := range cluster.names {
			cluster.start(name)
		}
		cluster.proposeMany(cluster.leader(), 300, 1)
		time.Sleep(time.Second)
		for _, name := range cluster.names {
			if diff := cmp.Diff(commands(301), cluster.nodes[name].commands()); diff != "" {
				t.Errorf("%s (-want +got):\n%s", name, diff)
			}
		}
		cluster.stopAll()
	})
}

// A member that was stopped while the others compacted their logs gets a snapshot.
func TestMemberBehindCompactionCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		leader := cluster.leader()
		var stopped ident.Daemon
		for _, name := range cluster.names {
			if cluster.nodes[name] != leader {
				stopped = name
			}
		}
		cluster.stop(stopped)
		cluster.proposeMany(leader, 0, 300)
		cluster.start(stopped)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(commands(300), cluster.nodes[stopped].commands()); diff != "" {
			t.Errorf("commands after the return of the member (-want +got):\n%s", diff)
		}
		cluster.stopAll()
	})
}

func TestStartDetectsFolderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(t *testing.T, path string)
		as     ident.Daemon
		code   result.Code
	}{
		{"intact", func(*testing.T, string) {}, "m0", result.OK},
		{"another member's folder", func(*testing.T, string) {}, "m9", result.WrongFolder},
		{"snapshot with one wrong byte", func(t *testing.T, path string) { flipByte(t, filepath.Join(path, "snapshot-0"), 3) }, "m0", result.StorageDamaged},
		{"identity with one wrong byte", func(t *testing.T, path string) { flipByte(t, filepath.Join(path, "identity"), 3) }, "m0", result.StorageDamaged},
		{"log damaged before its tail", func(t *testing.T, path string) { flipByte(t, filepath.Join(path, "log"), 30) }, "m0", result.StorageDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			var path string
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, 1)
				cluster.proposeMany(cluster.leader(), 0, 60)
				cluster.stopAll()
				path = cluster.nodes["m0"].folder.Path
				c.damage(t, path)
				store, err := quorum.OpenStore(cluster.nodes["m0"].folder, c.as)
				if err == nil {
					_, _, _, err = store.Load(0)
					store.Close()
				}
				if code := result.CodeOf(err); code != c.code {
					t.Errorf("code %d, want %d: %v", code, c.code, err)
				}
			})
		})
	}
}

func flipByte(t *testing.T, path string, at int) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[at] ^= 0xff
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A member whose disk fails to sync stops; the others continue.
func TestFailedSyncStopsMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		leader := cluster.leader()
		leader.folder.Sync = func(*os.File) error { return os.ErrPermission }
		_, _, err := leader.node.Propose(t.Context(), []byte("lost"))
		if code := result.CodeOf(err); code != result.SyncFailed {
			t.Errorf("proposal failed with code %d, want %d", code, result.SyncFailed)
		}
		if code := result.CodeOf(leader.fatal); code != result.SyncFailed {
			t.Errorf("member stopped with code %d, want %d", code, result.SyncFailed)
		}
		time.Sleep(3 * time.Second)
		for _, m := range cluster.nodes {
			if m != leader && m.node.Status().Role == quorum.RoleLeader {
				cluster.proposeMany(m, 0, 1)
				cluster.stopAll()
				return
			}
		}
		t.Error("no other member took over")
		cluster.stopAll()
	})
}

// A full disk refuses changes with an error that excludes their acceptance. The member keeps running and accepts
// changes again once there is space.
func TestFullDiskRefusesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1)
		m := cluster.leader()
		cluster.proposeMany(m, 0, 5)
		m.diskFull.Store(true)
		// The first change is in the log already when the disk turns out to be full, so its outcome is unknown.
		_, _, err := m.node.Propose(t.Context(), []byte("c5"))
		if code := result.CodeOf(err); code != result.NoLeader {
			t.Errorf("change that found the disk full: code %d", code)
		}
		_, _, err = m.node.Propose(t.Context(), []byte("refused"))
		if code := result.CodeOf(err); code != result.StorageFull {
			t.Errorf("later change: code %d, want %d", code, result.StorageFull)
		}
		if m.fatal != nil {
			t.Errorf("the member stopped: %v", m.fatal)
		}
		m.diskFull.Store(false)
		time.Sleep(2 * time.Second)
		cluster.proposeMany(cluster.leader(), 6, 1)
		cluster.stopAll()
		cluster.start("m0")
		cluster.proposeMany(cluster.leader(), 7, 1)
		if diff := cmp.Diff(commands(8), m.commands()); diff != "" {
			t.Errorf("commands after a restart (-want +got):\n%s", diff)
		}
		cluster.stopAll()
	})
}
