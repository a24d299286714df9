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

// A new leader that tells every entry all that there is loses its lease meanwhile, and so does the next one.

// changeCase is a site by its entries; it has a group for four of them, and three upstreams for each.
type changeCase struct{ entries int }

func (c changeCase) groups() int { return c.entries / 4 }

// caller is an entry as a leader sees it.
type caller struct {
	call   site.SyncCall
	copied *roster.Copy
}

// callers returns the entries of a site that have what a former leader told them.
func (c changeCase) callers(t testing.TB, former site.Leading) []*caller {
	t.Helper()
	var list []*caller
	for i := range c.entries {
		call := site.SyncCall{
			From: fmt.Sprintf("10.1.%d.%d:7140", i/200, i%200), Hall: ident.Hall(fmt.Sprintf("hall-%d", i%5)), Entry: true,
			Entries: map[ident.Hall]site.ListDigest{},
		}
		former.Note(&call)
		list = append(list, &caller{call, roster.NewCopy()})
	}
	for _, e := range list {
		reply := former.Reply(&e.call)
		e.take(t, &reply)
	}
	return list
}

func (e *caller) take(t testing.TB, r *site.SyncReply) {
	t.Helper()
	d, err := r.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	e.copied.Apply(d)
	for _, l := range r.Lists {
		e.call.Entries[l.Hall] = site.NameList(l.Entries)
	}
	e.call.Leadership, e.call.Revision = r.Leadership, d.Revision
}

// wire counts the bytes of replies on a connection that has carried others.
type wire struct {
	out bytes.Buffer
	enc *gob.Encoder
}

func newWire(t testing.TB) *wire {
	t.Helper()
	w := &wire{}
	w.enc = gob.NewEncoder(&w.out)
	w.sizeOf(t, &site.SyncReply{})
	return w
}

func (w *wire) sizeOf(t testing.TB, r *site.SyncReply) int {
	t.Helper()
	w.out.Reset()
	if err := w.enc.Encode(r); err != nil {
		t.Fatal(err)
	}
	return w.out.Len()
}

// leader returns a leader of the site.
func (c changeCase) leader(name site.LeadershipID) site.Leading {
	r := site.NewLeading()
	r.Succeeds(name, c.entries)
	r.SeedGroups(time.Now(), c.groups(), 3*c.entries-c.groups())
	return r
}

const (
	// leaderLink is what a leader can send in a second, in bytes, leaderLease how long it may take for all entries: then it must have heard
	// its voters again.
	leaderLink  = 420e6 / 8
	leaderLease = 0.2
)

// What a new leader sends all entries that ask it at the same moment, as they had it of its predecessor, is sent within a lease.
func TestANewLeaderTellsAllWithinItsLease(t *testing.T) {
	for _, entries := range []int{100, 300, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := changeCase{entries}
			callers := c.callers(t, c.leader("former"))
			next := c.leader("next")
			w := newWire(t)
			total, most := 0, 0
			for _, e := range callers {
				e.call.Sums = e.copied.Digests()
				reply := next.Reply(&e.call)
				n := w.sizeOf(t, &reply)
				total, most = total+n, max(most, n)
				e.take(t, &reply)
			}
			t.Logf("%d bytes to %d entries, %d at most", total, entries, most)
			if bound := leaderLink * leaderLease; float64(total) > bound {
				t.Errorf("%d bytes to %d entries, %.0f can be sent within a lease", total, entries, bound)
			}
			for _, e := range callers {
				if *callers[0].copied.Digests() != *e.copied.Digests() {
					t.Fatal("two entries have other upstreams")
				}
			}
		})
	}
}

// Entries that have started with nothing, at the same moment, get what they need in turns that leave half of the leader's link to all else.
func TestWhatManyGetWholeIsPaced(t *testing.T) {
	for _, entries := range []int{1000, 2000} {
		c := changeCase{entries}
		next := c.leader("next")
		now := time.Unix(0, 0)
		w, sent := newWire(t), map[int]int{}
		waiting := 0
		for i := range entries / 3 {
			call := site.SyncCall{From: fmt.Sprint(i), Hall: "hall-0", Entry: true}
			reply := next.Reply(&call)
			wait, ok := next.Turn(now, w.sizeOf(t, &reply), leaderLink)
			if !ok {
				waiting++
				continue
			}
			sent[int(wait/(100*time.Millisecond))] += w.sizeOf(t, &reply)
		}
		for tenth, n := range sent {
			if tenth > 0 && float64(n) > 0.55*leaderLink/10 {
				t.Errorf("%d bytes in a tenth of a second of %d entries", n, entries)
			}
		}
		t.Logf("%d entries: %v bytes by tenths of a second, %d ask again", entries, sent, waiting)
	}
}

// An entry that comes or goes costs the others what changed.
func TestAnEntryThatComesCostsLittle(t *testing.T) {
	c := changeCase{1000}
	r := c.leader("one")
	callers := c.callers(t, r)
	came := site.SyncCall{From: "10.9.9.9:7140", Hall: "hall-0", Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	r.Note(&came)
	r.ListsStale()
	w, total := newWire(t), 0
	for _, e := range callers {
		reply := r.Reply(&e.call)
		total += w.sizeOf(t, &reply)
		if len(reply.Lists) > 0 || len(reply.ListChanges) != 1 {
			t.Fatalf("%d lists and %d changes", len(reply.Lists), len(reply.ListChanges))
		}
	}
	t.Logf("%d bytes to each of %d entries", total/c.entries, c.entries)
	if most := 2500; total/c.entries > most {
		t.Errorf("%d bytes to each entry, want %d at most", total/c.entries, most)
	}
}

// Each entry knows what all others have at each upstream, without what it told of itself.
func TestTotalsAreToldOnceForAll(t *testing.T) {
	r := changeCase{40}.leader("one")
	call := site.SyncCall{From: "a", Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	reply := r.Reply(&call)
	d, err := reply.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	var known []ident.Incarnation
	for i := range d.Upstreams {
		known = append(known, d.Upstreams[i].ID)
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
		t.Errorf("others (-want +got):\n%s", diff)
	}
	for n := range reply.Totals {
		site.DecodeTotals(reply.Totals[:n], known, own) // a part of it is no reason to end
	}
}

// BenchmarkLeaderChange is what a new leader does for one entry that has what its predecessor told, and for one that has nothing.
func BenchmarkLeaderChange(b *testing.B) {
	for _, entries := range []int{100, 300, 1000, 2000} {
		c := changeCase{entries}
		former := c.leader("former")
		callers := c.callers(b, former)
		next := c.leader("next")
		known := callers[0].call
		known.Sums = callers[0].copied.Digests()
		fresh := callers[1].call
		fresh.Leadership, fresh.Entries = "", nil
		for name, call := range map[string]*site.SyncCall{"knows": &known, "starts": &fresh} {
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

// While much changes a roster is not packed for each entry that starts; what has changed since comes with the entry's next call.
func TestAChangeAfterPackingIsTold(t *testing.T) {
	c := changeCase{100}
	r := c.leader("one")
	call := site.SyncCall{From: "a", Entry: true}
	first := r.Reply(&call)
	r.SeedGroups(time.Now(), c.groups()+1, 0)
	e := &caller{call, roster.NewCopy()}
	e.call.Entries = map[ident.Hall]site.ListDigest{}
	e.take(t, &first)
	second := r.Reply(&e.call)
	e.take(t, &second)
	if n := len(e.copied.Groups); n != c.groups()+1 {
		t.Errorf("%d groups are known, want %d", n, c.groups()+1)
	}
}
