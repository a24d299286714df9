package site_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/site"
)

// A new leader that sent every entry the whole roster would need longer than its lease for that and lose leadership,
// and so would the next one.

// siteSize is a site by its number of entries; it has one group for every four of them, and three upstreams for each.
type siteSize struct{ entryCount int }

func (c siteSize) groupCount() int { return c.entryCount / 4 }

// testEntry is an entry as a leader sees it.
type testEntry struct {
	call       site.SyncCall
	rosterCopy *roster.Copy
}

// entriesOf returns the entries of a site, with the state that a former leader sent them.
func (c siteSize) entriesOf(t testing.TB, former site.Leadership) []*testEntry {
	t.Helper()
	var all []*testEntry
	for i := range c.entryCount {
		call := site.SyncCall{
			From: fmt.Sprintf("10.1.%d.%d:7140", i/200, i%200), Hall: ident.Hall(fmt.Sprintf("hall-%d", i%5)), Entry: true,
			Entries: map[ident.Hall]site.ListDigest{},
		}
		former.ApplyCall(&call)
		all = append(all, &testEntry{call, roster.NewCopy()})
	}
	for _, e := range all {
		reply := former.Reply(&e.call)
		e.applyReply(t, &reply)
	}
	return all
}

func (e *testEntry) applyReply(t testing.TB, reply *site.SyncReply) {
	t.Helper()
	changes, err := reply.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	e.rosterCopy.Apply(changes)
	for _, l := range reply.Lists {
		e.call.Entries[l.Hall] = site.DigestList(l.Entries)
	}
	e.call.Leadership, e.call.Revision = reply.Leadership, changes.Revision
}

// wireSize counts the bytes of replies on a gob connection that has carried others.
type wireSize struct {
	buffer bytes.Buffer
	enc    *gob.Encoder
}

func newWireSize(t testing.TB) *wireSize {
	t.Helper()
	w := &wireSize{}
	w.enc = gob.NewEncoder(&w.buffer)
	w.bytesOf(t, &site.SyncReply{})
	return w
}

func (w *wireSize) bytesOf(t testing.TB, r *site.SyncReply) int {
	t.Helper()
	w.buffer.Reset()
	if err := w.enc.Encode(r); err != nil {
		t.Fatal(err)
	}
	return w.buffer.Len()
}

// leader returns a leader of the site.
func (c siteSize) leader(name site.LeadershipID) site.Leadership {
	r := site.NewLeadership()
	r.Succeed(name, c.entryCount)
	r.SeedGroups(time.Now(), c.groupCount(), 3*c.entryCount-c.groupCount())
	return r
}

const (
	// leaderBytesPerSecond is what a leader can send, leaseSeconds how long it may take to reply to all entries: then
	// it must have had contact with its voters again.
	leaderBytesPerSecond = 420e6 / 8
	leaseSeconds         = 0.2
)

// A new leader's replies to all entries at the same moment, each with the state of its predecessor, can be sent within
// a lease.
func TestNewLeaderRepliesFitItsLease(t *testing.T) {
	for _, entries := range []int{100, 300, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := siteSize{entries}
			callers := c.entriesOf(t, c.leader("former"))
			next := c.leader("next")
			wireSize := newWireSize(t)
			total, largest := 0, 0
			for _, e := range callers {
				e.call.Sums = e.rosterCopy.Digests()
				reply := next.Reply(&e.call)
				n := wireSize.bytesOf(t, &reply)
				total, largest = total+n, max(largest, n)
				e.applyReply(t, &reply)
			}
			t.Logf("%d bytes to %d entries, %d for one at most", total, entries, largest)
			if bound := leaderBytesPerSecond * leaseSeconds; float64(total) > bound {
				t.Errorf("%d bytes to %d entries, %.0f can be sent within a lease", total, entries, bound)
			}
			for _, e := range callers {
				if *callers[0].rosterCopy.Digests() != *e.rosterCopy.Digests() {
					t.Fatal("two entries have different rosters")
				}
			}
		})
	}
}

// Entries that start at the same moment without any state get whole rosters at a rate that leaves half of the leader's
// link to everything else.
func TestWholeRostersArePaced(t *testing.T) {
	for _, entries := range []int{1000, 2000} {
		c := siteSize{entries}
		next := c.leader("next")
		now := time.Unix(0, 0)
		w, sent := newWireSize(t), map[int]int{}
		deferred := 0
		for i := range entries / 3 {
			call := site.SyncCall{From: fmt.Sprint(i), Hall: "hall-0", Entry: true}
			reply := next.Reply(&call)
			wait, accepted := next.Reserve(now, w.bytesOf(t, &reply), leaderBytesPerSecond)
			if !accepted {
				deferred++
				continue
			}
			sent[int(wait/(100*time.Millisecond))] += w.bytesOf(t, &reply)
		}
		for tenth, n := range sent {
			if tenth > 0 && float64(n) > 0.55*leaderBytesPerSecond/10 {
				t.Errorf("%d bytes in a tenth of a second of %d entries", n, entries)
			}
		}
		t.Logf("%d entries: %v bytes by tenths of a second, %d have to call again", entries, sent, deferred)
	}
}

// When an entry starts, the other entries are sent only the change.
func TestNewEntryCostsFewBytes(t *testing.T) {
	c := siteSize{1000}
	r := c.leader("one")
	callers := c.entriesOf(t, r)
	added := site.SyncCall{From: "10.9.9.9:7140", Hall: "hall-0", Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	r.ApplyCall(&added)
	r.RebuildLists()
	w, total := newWireSize(t), 0
	for _, e := range callers {
		reply := r.Reply(&e.call)
		total += w.bytesOf(t, &reply)
		if len(reply.Lists) > 0 || len(reply.ListChanges) != 1 {
			t.Fatalf("%d lists and %d changes, want one change only", len(reply.Lists), len(reply.ListChanges))
		}
	}
	t.Logf("%d bytes to each of %d entries", total/c.entryCount, c.entryCount)
	if bound := 2500; total/c.entryCount > bound {
		t.Errorf("%d bytes to each entry, want %d at most", total/c.entryCount, bound)
	}
}

// Each entry is sent the requests of all entries at each upstream, and subtracts its own.
func TestTotalsOmitOwnRequests(t *testing.T) {
	r := siteSize{40}.leader("one")
	call := site.SyncCall{From: "a", Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	reply := r.Reply(&call)
	changes, err := reply.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	var known []ident.Incarnation
	for i := range changes.Upstreams {
		known = append(known, changes.Upstreams[i].ID)
	}
	own := map[ident.Incarnation]int{}
	want := r.Totals()
	for id, n := range want {
		own[id] = min(n, 3)
		want[id] -= own[id]
		if want[id] == 0 {
			delete(want, id)
		}
	}
	if diff := cmp.Diff(want, site.DecodeTotals(reply.Totals, known, own)); diff != "" {
		t.Errorf("requests of others (-want +got):\n%s", diff)
	}
	for n := range reply.Totals {
		site.DecodeTotals(reply.Totals[:n], known, own) // truncated totals must not panic
	}
}

// BenchmarkLeaderChange is a new leader's work for one entry that has its predecessor's state, and for one that has
// none.
func BenchmarkLeaderChange(b *testing.B) {
	for _, entries := range []int{100, 300, 1000, 2000} {
		c := siteSize{entries}
		former := c.leader("former")
		callers := c.entriesOf(b, former)
		next := c.leader("next")
		withCopy := callers[0].call
		withCopy.Sums = callers[0].rosterCopy.Digests()
		withoutCopy := callers[1].call
		withoutCopy.Leadership, withoutCopy.Entries = "", nil
		for name, call := range map[string]*site.SyncCall{"knows": &withCopy, "starts": &withoutCopy} {
			b.Run(fmt.Sprintf("%s-%d", name, entries), func(b *testing.B) {
				b.ReportAllocs()
				var out bytes.Buffer
				enc := gob.NewEncoder(&out)
				for b.Loop() {
					out.Reset()
					reply := next.Reply(call)
					if err := enc.Encode(&reply); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(out.Len()), "bytes/op")
			})
		}
	}
}

// While the roster changes often, it is not packed again for each entry that starts; an entry gets the changes since
// with its next call.
func TestChangeAfterPackingIsSent(t *testing.T) {
	c := siteSize{100}
	r := c.leader("one")
	call := site.SyncCall{From: "a", Entry: true}
	first := r.Reply(&call)
	r.SeedGroups(time.Now(), c.groupCount()+1, 0)
	e := &testEntry{call, roster.NewCopy()}
	e.call.Entries = map[ident.Hall]site.ListDigest{}
	e.applyReply(t, &first)
	second := r.Reply(&e.call)
	e.applyReply(t, &second)
	if n := len(e.rosterCopy.Groups); n != c.groupCount()+1 {
		t.Errorf("the entry has %d groups, want %d", n, c.groupCount()+1)
	}
}
