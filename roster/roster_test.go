package roster_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

var start = time.Unix(1000, 0)

// older and second are two lives of one upstream.
var older, newer = ident.IncarnationOf("i-1", 1_000), ident.IncarnationOf("i-1", 2_000)

func newRoster() *roster.Roster {
	r := roster.New()
	r.SilentAfter = 3 * time.Second
	r.ForgetAfter = 30 * time.Second
	return r
}

func newReport(id ident.Incarnation, address string, sequence uint64) *roster.Report {
	return &roster.Report{Upstream: roster.Upstream{ID: id, Service: "s", Address: address}, Sequence: sequence}
}

func withDraining(r *roster.Report) *roster.Report {
	r.Draining = true
	return r
}

// upstreamStates tells of each upstream whether it is silent or leaving.
func upstreamStates(r *roster.Roster, now time.Time) []string {
	upstreams, _ := r.Upstreams(now)
	var list []string
	for i := range upstreams {
		u := &upstreams[i]
		text := string(u.ID)
		if u.Draining {
			text += " leaving"
		}
		if u.Silent {
			text += " silent"
		}
		list = append(list, text)
	}
	return list
}

func TestReports(t *testing.T) {
	at := start.Add
	for _, c := range []struct {
		name string
		do   func(r *roster.Roster)
		want []string
	}{
		{"a first report", func(r *roster.Roster) { r.ApplyReport(start, newReport("a", "x", 1)) }, []string{"a"}},
		{"a late report changes nothing", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport("a", "x", 5)))
			r.ApplyReport(start, newReport("a", "x", 4))
		}, []string{"a leaving"}},
		{"leaving is not taken back", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport("a", "x", 5)))
			r.ApplyReport(start, newReport("a", "x", 6))
		}, []string{"a leaving"}},
		{"one that signed off stays as leaving", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
		}, []string{"a leaving"}},
		{"a late report after signing off", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
			r.ApplyReport(at(time.Second), newReport("a", "x", 2))
		}, []string{"a leaving"}},
		{"signing off before any report", func(r *roster.Roster) {
			r.SignOff(start, "a")
			r.ApplyReport(start, newReport("a", "x", 1))
		}, nil},
		{"one that signed off is forgotten", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
			r.Expire(at(20 * time.Second))
		}, nil},
		{"silent", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(4 * time.Second))
		}, []string{"a silent"}},
		{"silent and back", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(4 * time.Second))
			r.ApplyReport(at(4*time.Second), newReport("a", "x", 2))
		}, []string{"a"}},
		{"forgotten", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(40 * time.Second))
		}, nil},
		{"forgotten, and a report from before", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(40 * time.Second))
			r.ApplyReport(at(40*time.Second), newReport("a", "x", 2))
		}, nil},
		{"another life at the address", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 7))
			r.ApplyReport(start, newReport("b", "x", 1))
		}, []string{"b"}},
		{"another life, and a late report of the first", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 7))
			r.ApplyReport(start, newReport("b", "x", 1))
			r.ApplyReport(start, newReport("a", "x", 8))
		}, []string{"b"}},
		{"a late first report of an earlier life, and the newer one goes on", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("b", "x", 1))
			r.ApplyReport(start, newReport("a", "x", 9))
			r.ApplyReport(start, newReport("b", "x", 2))
			r.ApplyReport(start, newReport("b", "x", 3))
		}, []string{"b"}},
		{"started again under its id, counts from one", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"started again elsewhere", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "y", 1))
		}, []string{string(newer)}},
		{"started again after it was leaving", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport(older, "x", 70)))
			r.SignOff(start, "i-1")
			r.ApplyReport(start, newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"started again after its end was known", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.Expire(at(40 * time.Second))
			r.ApplyReport(at(40*time.Second), newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"started again, and late reports of the life before", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
			for i := range uint64(5) {
				r.ApplyReport(start, withDraining(newReport(older, "x", 71+i)))
			}
		}, []string{string(newer)}},
		{"a late report of a life before that was never heard", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(newer, "x", 1))
			for i := range uint64(5) {
				r.ApplyReport(start, newReport(older, "x", 71+i))
			}
		}, []string{string(newer)}},
		{"the life before signs off late", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
			r.SignOff(start, older)
		}, []string{string(newer)}},
		{"signing off without a birth is of the newest life", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(newer, "x", 1))
			r.SignOff(start, "i-1")
		}, []string{string(newer) + " leaving"}},
		{"another upstream comes to the address of one that started again", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "y", 1))
			r.ApplyReport(start, newReport("b", "x", 1))
		}, []string{"b", string(newer)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			c.do(r)
			if diff := cmp.Diff(c.want, upstreamStates(r, at(40*time.Second))); diff != "" {
				t.Errorf("upstreams (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOnlyReportsToThisRosterAreFresh(t *testing.T) {
	r := newRoster()
	r.Seed(start, []roster.Upstream{{ID: "a", Address: "x"}, {ID: "b", Address: "y"}}, nil)
	r.ApplyReport(start, newReport("a", "x", 1))
	_, ages := r.Upstreams(start)
	if ages["a"] != 0 || ages["b"] < time.Second {
		t.Errorf("ages %v: a has reported to this roster, b has not", ages)
	}
}

// A copy that follows by deltas is the same as one that starts anew, whatever happened in between.
func TestCopyFollowsByDeltas(t *testing.T) {
	r := newRoster()
	c := roster.NewCopy()
	follow := func() {
		d := r.Since(c.Revision)
		c.Apply(&d)
	}
	steps := []func(){
		func() { r.ApplyReport(start, newReport("a", "x", 1)) },
		func() { r.ApplyReport(start, newReport("b", "y", 1)) },
		func() {
			r.PutGroup(&roster.Group{Name: "g", Phase: roster.PhaseForming, Members: []ident.Incarnation{"a", "b"}})
		},
		func() { r.SignOff(start, "a") },
		func() { r.ApplyReport(start, newReport("c", "y", 1)) },
		func() { r.DropGroup("g") },
		func() { r.Expire(start.Add(4 * time.Second)) },
		func() { r.Expire(start.Add(20 * time.Second)) },
		func() { r.Expire(start.Add(200 * time.Second)) },
	}
	for i, step := range steps {
		step()
		if i%2 == 0 {
			follow()
		}
		fresh := roster.NewCopy()
		d := r.Since(0)
		fresh.Apply(&d)
		if i%2 != 0 {
			continue
		}
		if diff := cmp.Diff(fresh, c); diff != "" {
			t.Fatalf("after step %d the copy differs (-fresh +following):\n%s", i, diff)
		}
	}
}

func TestDeltaWithoutChangesIsEmpty(t *testing.T) {
	r := newRoster()
	r.ApplyReport(start, newReport("a", "x", 1))
	c := roster.NewCopy()
	d := r.Since(0)
	c.Apply(&d)
	if d = r.Since(c.Revision); !d.Empty() {
		t.Errorf("delta %+v after nothing happened", d)
	}
	if !r.ApplyReport(start, withDraining(newReport("a", "x", 2))) {
		t.Error("a report that changes the state is not told as a change")
	}
	if r.ApplyReport(start, withDraining(newReport("a", "x", 3))) {
		t.Error("a report that changes nothing is told as a change")
	}
	d = r.Since(c.Revision)
	var ids []string
	for i := range d.Upstreams {
		ids = append(ids, string(d.Upstreams[i].ID))
	}
	sort.Strings(ids)
	if diff := cmp.Diff([]string{"a"}, ids); diff != "" {
		t.Errorf("changed upstreams (-want +got):\n%s", diff)
	}
}

// A copy that is further behind than the journal reaches gets everything.
func TestCopyBehindTheJournalGetsEverything(t *testing.T) {
	r := newRoster()
	r.ApplyReport(start, newReport("a", "x", 1))
	c := roster.NewCopy()
	d := r.Since(0)
	c.Apply(&d)
	for i := range 40000 {
		r.PutGroup(&roster.Group{Name: "g", Epoch: ident.Epoch(i)})
	}
	d = r.Since(c.Revision)
	if !d.Full {
		t.Error("a delta over a journal that was cut")
	}
	c.Apply(&d)
	if c.Groups["g"].Epoch != 39999 || len(c.Upstreams) != 1 {
		t.Errorf("copy %+v", c)
	}
	if d = r.Since(c.Revision); !d.Empty() {
		t.Errorf("delta %+v after nothing happened", d)
	}
}

func BenchmarkSinceOneChange(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRoster()
			for i := range n {
				r.ApplyReport(start, newReport(ident.Incarnation(fmt.Sprint(i)), fmt.Sprint(i), 1))
			}
			before, _ := r.Changed()
			r.PutGroup(&roster.Group{Name: "g"})
			for b.Loop() {
				r.Since(before)
			}
		})
	}
}

// The model of an upstream's last group outlives the group: a spare joins at once what it was in before.
func TestLastModelIsKept(t *testing.T) {
	r := newRoster()
	withModel := newReport("a", "x", 1)
	withModel.Loaded = []ident.Model{"large"}
	r.ApplyReport(start, withModel)
	r.ApplyReport(start, newReport("a", "x", 2))
	r.ApplyReport(start, newReport("b", "x2", 1))
	upstreams, _ := r.Upstreams(start)
	got := map[ident.Incarnation]ident.Model{}
	for i := range upstreams {
		got[upstreams[i].ID] = upstreams[i].Last
	}
	if diff := cmp.Diff(map[ident.Incarnation]ident.Model{"a": "large", "b": ""}, got); diff != "" {
		t.Errorf("last models (-want +got):\n%s", diff)
	}
}

// An upstream is cold for as long as its newest report says, whatever late reports say, and after its hall was taken back until it reports.
func TestColdUpstreams(t *testing.T) {
	at := start.Add
	cold := func(r *roster.Report, d time.Duration) *roster.Report {
		r.ColdFor = d
		return r
	}
	for _, c := range []struct {
		name string
		do   func(r *roster.Roster)
		want bool
	}{
		{"warm", func(r *roster.Roster) { r.ApplyReport(start, newReport("a", "x", 1)) }, false},
		{"cold", func(r *roster.Roster) { r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second)) }, true},
		{"cold until it is over", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.Expire(at(2900 * time.Millisecond))
		}, true},
		{"over", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.Expire(at(3 * time.Second))
		}, false},
		{"warm sooner", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.ApplyReport(at(time.Second), newReport("a", "x", 2))
		}, false},
		{"cold again", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.ApplyReport(at(time.Second), cold(newReport("a", "x", 2), time.Second))
		}, true},
		{"a late report", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 2))
			r.ApplyReport(at(time.Second), cold(newReport("a", "x", 1), 9*time.Second))
		}, false},
		{"its hall was taken back", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "")
			r.Expire(at(2 * time.Second))
		}, true},
		{"another hall was taken back", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "other")
		}, false},
		{"its hall was taken back and it reports", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "")
			r.ApplyReport(at(2*time.Second), newReport("a", "x", 2))
		}, false},
		{"a new leader's copy says cold", func(r *roster.Roster) {
			r.Seed(start, []roster.Upstream{{ID: "a", Cold: true}}, nil)
			r.Expire(at(time.Second))
		}, true},
		{"a new leader has heard that it is warm", func(r *roster.Roster) {
			r.Seed(start, []roster.Upstream{{ID: "a", Cold: true}}, nil)
			r.ApplyReport(at(time.Second), newReport("a", "x", 7))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			c.do(r)
			if u, _ := r.Upstream("a"); u.Cold != c.want {
				t.Errorf("cold %v, want %v", u.Cold, c.want)
			}
		})
	}
}
