package disk_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/result"
)

func record(s string) disk.Record {
	return disk.Record{Instance: 1, Data: []byte(s)}
}

func frames(t *testing.T, texts ...string) (all []byte, ends []int) {
	t.Helper()
	for _, s := range texts {
		b, err := disk.Encode([]disk.Record{record(s)})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
		ends = append(ends, len(all))
	}
	return all, ends
}

func texts(records []disk.Record) []string {
	var list []string
	for _, r := range records {
		list = append(list, string(r.Data))
	}
	return list
}

// A process may be killed at any byte of the frame that it writes.
func TestDecodeCutsATornTailAtEveryByte(t *testing.T) {
	content, ends := frames(t, "one", "two", "three")
	for cut := ends[1]; cut < ends[2]; cut++ {
		records, good, err := disk.Decode(content[:cut])
		if err != nil || int(good) != ends[1] {
			t.Fatalf("cut at %d: good until %d, error %v", cut, good, err)
		}
		if diff := cmp.Diff([]string{"one", "two"}, texts(records)); diff != "" {
			t.Fatalf("cut at %d (-want +got):\n%s", cut, diff)
		}
	}
}

// Pages of the last frame may reach the disk in any order, so any of its bytes may be zero.
func TestDecodeCutsALastFrameWithHoles(t *testing.T) {
	content, ends := frames(t, "one", "two", "three")
	for i := ends[1]; i < ends[2]; i++ {
		torn := append([]byte(nil), content...)
		torn[i] ^= 0xff
		records, good, err := disk.Decode(torn)
		if err != nil || int(good) != ends[1] || len(records) != 2 {
			t.Fatalf("byte %d: good until %d, %d records, error %v", i, good, len(records), err)
		}
	}
}

func TestDecodeRefusesDamageBeforeTheTail(t *testing.T) {
	content, ends := frames(t, "one", "two", "three")
	for i := range ends[1] {
		damaged := append([]byte(nil), content...)
		damaged[i] ^= 0xff
		_, _, err := disk.Decode(damaged)
		if result.CodeOf(err) != result.StorageDamaged {
			t.Fatalf("byte %d: %v", i, err)
		}
	}
}

func openLog(t *testing.T, folder *disk.Folder) (*disk.Log, []disk.Record, func()) {
	t.Helper()
	l, records, err := disk.OpenLog(folder)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(done)
	}()
	return l, records, func() {
		cancel()
		<-done
	}
}

func newFolder(t *testing.T) *disk.Folder {
	t.Helper()
	folder, err := disk.NewFolder(filepath.Join(t.TempDir(), "data"))
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

func TestLogKeepsWhatItAcknowledged(t *testing.T) {
	folder := newFolder(t)
	l, _, stop := openLog(t, folder)
	for _, s := range []string{"one", "two"} {
		if err := l.Append(t.Context(), []disk.Record{record(s)}); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	// Half a frame, as a kill leaves it.
	half, _ := frames(t, "lost")
	f, err := os.OpenFile(filepath.Join(folder.Path, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(half[:len(half)-3]); err != nil {
		t.Fatal(err)
	}
	f.Close()

	l, records, stop := openLog(t, folder)
	if diff := cmp.Diff([]string{"one", "two"}, texts(records)); diff != "" {
		t.Errorf("after the kill (-want +got):\n%s", diff)
	}
	if err := l.Append(t.Context(), []disk.Record{record("three")}); err != nil {
		t.Fatal(err)
	}
	stop()
	_, records, stop = openLog(t, folder)
	defer stop()
	if diff := cmp.Diff([]string{"one", "two", "three"}, texts(records)); diff != "" {
		t.Errorf("after the next start (-want +got):\n%s", diff)
	}
}

func TestLogFailures(t *testing.T) {
	broken := errors.New("disk error")
	for _, c := range []struct {
		name  string
		fault error
		first result.Code
		// second is the outcome after the fault has gone.
		second result.Code
	}{
		{"a failed sync is final", broken, result.SyncFailed, result.SyncFailed},
		{"no fault", nil, result.OK, result.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := newFolder(t)
			l, _, stop := openLog(t, folder)
			defer stop()
			sync := folder.Sync
			folder.Sync = func(f *os.File) error {
				if c.fault != nil {
					return c.fault
				}
				return sync(f)
			}
			if code := result.CodeOf(l.Append(t.Context(), []disk.Record{record("one")})); code != c.first {
				t.Errorf("first append: code %d, want %d", code, c.first)
			}
			folder.Sync = sync
			if code := result.CodeOf(l.Append(t.Context(), []disk.Record{record("two")})); code != c.second {
				t.Errorf("second append: code %d, want %d", code, c.second)
			}
		})
	}
}

// A disk that is full for a while loses nothing that was acknowledged, and the log goes on when there is space.
func TestAFullDiskIsNotFinal(t *testing.T) {
	folder := newFolder(t)
	l, _, stop := openLog(t, folder)
	write := folder.WriteAt
	if err := l.Append(t.Context(), []disk.Record{record("one")}); err != nil {
		t.Fatal(err)
	}
	folder.WriteAt = func(f *os.File, b []byte, offset int64) (int, error) {
		// Half a frame gets through before the space ends.
		n, _ := write(f, b[:len(b)/2], offset)
		return n, syscall.ENOSPC
	}
	if code := result.CodeOf(l.Append(t.Context(), []disk.Record{record("lost")})); code != result.StorageFull {
		t.Errorf("while the disk is full: code %d", code)
	}
	if code := result.CodeOf(l.Rewrite([]disk.Record{record("lost")})); code != result.StorageFull {
		t.Errorf("rewriting while the disk is full: code %d", code)
	}
	folder.WriteAt = write
	if err := l.Append(t.Context(), []disk.Record{record("two")}); err != nil {
		t.Errorf("with space again: %v", err)
	}
	stop()
	_, records, stop := openLog(t, folder)
	defer stop()
	if diff := cmp.Diff([]string{"one", "two"}, texts(records)); diff != "" {
		t.Errorf("after a restart (-want +got):\n%s", diff)
	}
}

func TestWriteFileLeavesOldOrNewContent(t *testing.T) {
	folder := newFolder(t)
	if err := folder.WriteFile("x", []byte("old")); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		fault error
		code  result.Code
		want  string
	}{
		{"failed sync", syscall.EIO, result.SyncFailed, "old"},
		{"no fault", nil, result.OK, "new"},
	} {
		sync := folder.Sync
		if c.fault != nil {
			folder.Sync = func(*os.File) error { return c.fault }
		}
		if code := result.CodeOf(folder.WriteFile("x", []byte("new"))); code != c.code {
			t.Errorf("%s: code %d, want %d", c.name, code, c.code)
		}
		folder.Sync = sync
		got, err := folder.ReadFile("x")
		if err != nil || string(got) != c.want {
			t.Errorf("%s: content %q, error %v; want %q", c.name, got, err, c.want)
		}
	}
}

func TestAppendsAtTheSameTimeShareASync(t *testing.T) {
	folder := newFolder(t)
	l, _, stop := openLog(t, folder)
	defer stop()
	// The first sync waits until all other appends are queued.
	const appends = 200
	hold := make(chan struct{})
	sync1 := folder.Sync
	var once sync.Once
	folder.Sync = func(f *os.File) error {
		once.Do(func() { <-hold })
		return sync1(f)
	}
	var wg sync.WaitGroup
	started := make(chan struct{}, appends)
	for range appends {
		wg.Go(func() {
			started <- struct{}{}
			if err := l.Append(t.Context(), []disk.Record{record("x")}); err != nil {
				t.Error(err)
			}
		})
	}
	for range appends {
		<-started
	}
	close(hold)
	wg.Wait()
	if n := l.Syncs(); n > appends/2 {
		t.Errorf("%d appends took %d syncs", appends, n)
	}
}

func FuzzDecode(f *testing.F) {
	one, _ := disk.Encode([]disk.Record{record("one")})
	two, _ := disk.Encode([]disk.Record{record("two"), record("three")})
	f.Add([]byte{})
	f.Add(one)
	f.Add(append(append([]byte(nil), one...), two...))
	f.Add(append(append([]byte(nil), one...), two[:len(two)-1]...))
	f.Fuzz(func(t *testing.T, content []byte) {
		records, good, err := disk.Decode(content)
		if err != nil {
			return
		}
		if good < 0 || good > int64(len(content)) {
			t.Fatalf("good until %d of %d", good, len(content))
		}
		again, same, err := disk.Decode(content[:good])
		if err != nil || same != good || len(again) != len(records) {
			t.Fatalf("the cut log reads differently: %d records until %d, error %v", len(again), same, err)
		}
	})
}

func TestAFolderHasOneUser(t *testing.T) {
	folder := newFolder(t)
	_, _, stop := openLog(t, folder)
	if _, _, err := disk.OpenLog(folder); result.CodeOf(err) != result.StartFailed {
		t.Errorf("a second user of the folder: %v", err)
	}
	stop()
	_, _, stop = openLog(t, folder)
	stop()
}
