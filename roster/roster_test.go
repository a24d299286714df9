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

// older and newer are two incarnations of one upstream.
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

// upstreamStates lists the upstreams, with a mark for those that are silent or draining.
func upstreamStates(r *roster.Roster, now time.Time) []string {
	upstreams, _ := r.Upstreams(now)
	var list []string
	for i := range upstreams {
		u := &upstreams[i]
		text := string(u.ID)
		if u.Draining {
			text += " draining"
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
		{"first report", func(r *roster.Roster) { r.ApplyReport(start, newReport("a", "x", 1)) }, []string{"a"}},
		{"late report changes nothing", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport("a", "x", 5)))
			r.ApplyReport(start, newReport("a", "x", 4))
		}, []string{"a draining"}},
		{"draining is not revoked", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport("a", "x", 5)))
			r.ApplyReport(start, newReport("a", "x", 6))
		}, []string{"a draining"}},
		{"signed off", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
		}, []string{"a draining"}},
		{"late report after signing off", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
			r.ApplyReport(at(time.Second), newReport("a", "x", 2))
		}, []string{"a draining"}},
		{"signing off before any report", func(r *roster.Roster) {
			r.SignOff(start, "a")
			r.ApplyReport(start, newReport("a", "x", 1))
		}, nil},
		{"signed off and dropped", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.SignOff(start, "a")
			r.Expire(at(20 * time.Second))
		}, nil},
		{"silent", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(4 * time.Second))
		}, []string{"a silent"}},
		{"silent, then reports again", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(4 * time.Second))
			r.ApplyReport(at(4*time.Second), newReport("a", "x", 2))
		}, []string{"a"}},
		{"dropped", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(40 * time.Second))
		}, nil},
		{"dropped, then a late report", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.Expire(at(40 * time.Second))
			r.ApplyReport(at(40*time.Second), newReport("a", "x", 2))
		}, nil},
		{"another incarnation at the address", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 7))
			r.ApplyReport(start, newReport("b", "x", 1))
		}, []string{"b"}},
		{"another incarnation at the address, then a late report of the first", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 7))
			r.ApplyReport(start, newReport("b", "x", 1))
			r.ApplyReport(start, newReport("a", "x", 8))
		}, []string{"b"}},
		{"late first report of an earlier incarnation, the newer one keeps reporting", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("b", "x", 1))
			r.ApplyReport(start, newReport("a", "x", 9))
			r.ApplyReport(start, newReport("b", "x", 2))
			r.ApplyReport(start, newReport("b", "x", 3))
		}, []string{"b"}},
		{"restarted under its id with sequence 1", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"restarted at another address", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "y", 1))
		}, []string{string(newer)}},
		{"restarted after draining", func(r *roster.Roster) {
			r.ApplyReport(start, withDraining(newReport(older, "x", 70)))
			r.SignOff(start, "i-1")
			r.ApplyReport(start, newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"restarted after being dropped", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.Expire(at(40 * time.Second))
			r.ApplyReport(at(40*time.Second), newReport(newer, "x", 1))
		}, []string{string(newer)}},
		{"restarted, then late reports of the earlier incarnation", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
			for i := range uint64(5) {
				r.ApplyReport(start, withDraining(newReport(older, "x", 71+i)))
			}
		}, []string{string(newer)}},
		{"late reports of an unknown earlier incarnation", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(newer, "x", 1))
			for i := range uint64(5) {
				r.ApplyReport(start, newReport(older, "x", 71+i))
			}
		}, []string{string(newer)}},
		{"earlier incarnation signs off late", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(older, "x", 70))
			r.ApplyReport(start, newReport(newer, "x", 1))
			r.SignOff(start, older)
		}, []string{string(newer)}},
		{"sign-off without a start time applies to the newest incarnation", func(r *roster.Roster) {
			r.ApplyReport(start, newReport(newer, "x", 1))
			r.SignOff(start, "i-1")
		}, []string{string(newer) + " draining"}},
		{"another upstream at the former address of a restarted one", func(r *roster.Roster) {
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

// A copy that applies deltas matches one that starts from a full delta.
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
			t.Fatalf("after step %d the copy differs (-full +by deltas):\n%s", i, diff)
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
		t.Errorf("delta %+v without any change", d)
	}
	if !r.ApplyReport(start, withDraining(newReport("a", "x", 2))) {
		t.Error("a report that changes the state is not reported as a change")
	}
	if r.ApplyReport(start, withDraining(newReport("a", "x", 3))) {
		t.Error("a report that changes nothing is reported as a change")
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

// A copy that is behind the start of the journal gets a full delta.
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
		t.Error("delta for a revision before the journal is not full")
	}
	c.Apply(&d)
	if c.Groups["g"].Epoch != 39999 || len(c.Upstreams) != 1 {
		t.Errorf("copy %+v, want group epoch 39999 and one upstream", c)
	}
	if d = r.Since(c.Revision); !d.Empty() {
		t.Errorf("delta %+v without any change", d)
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

// An upstream keeps the model of its last group after the group has ended, so that a spare can rejoin quickly.
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

// An upstream is cold as its newest report states, whatever late reports state. After its hall is taken back into
// service it is cold until it reports.
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
		{"cold until the end of the phase", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.Expire(at(2900 * time.Millisecond))
		}, true},
		{"end of the cold phase", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.Expire(at(3 * time.Second))
		}, false},
		{"warm before the end of the phase", func(r *roster.Roster) {
			r.ApplyReport(start, cold(newReport("a", "x", 1), 3*time.Second))
			r.ApplyReport(at(time.Second), newReport("a", "x", 2))
		}, false},
		{"cold again", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.ApplyReport(at(time.Second), cold(newReport("a", "x", 2), time.Second))
		}, true},
		{"late report", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 2))
			r.ApplyReport(at(time.Second), cold(newReport("a", "x", 1), 9*time.Second))
		}, false},
		{"hall taken back into service", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "")
			r.Expire(at(2 * time.Second))
		}, true},
		{"other hall taken back into service", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "other")
		}, false},
		{"hall taken back into service, then a report", func(r *roster.Roster) {
			r.ApplyReport(start, newReport("a", "x", 1))
			r.MarkHallCold(at(time.Second), "")
			r.ApplyReport(at(2*time.Second), newReport("a", "x", 2))
		}, false},
		{"cold in the copy of a new leader", func(r *roster.Roster) {
			r.Seed(start, []roster.Upstream{{ID: "a", Cold: true}}, nil)
			r.Expire(at(time.Second))
		}, true},
		{"warm by a report to a new leader", func(r *roster.Roster) {
			r.Seed(start, []roster.Upstream{{ID: "a", Cold: true}}, nil)
			r.ApplyReport(at(time.Second), newReport("a", "x", 7))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			c.do(r)
			if u, _ := r.Upstream("a"); u.Cold != c.want {
				t.Errorf("cold is %v, want %v", u.Cold, c.want)
			}
		})
	}
}

// A departure that an earlier leader acknowledged holds against reports of the same incarnation, and only of that.
func TestAppliedDepartures(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name             string
		known, signedOff bool
		reports          ident.Incarnation
		// present and draining describe the upstream after its report.
		present, draining bool
	}{
		{"draining, in the copy", true, false, "i-1@a", true, true},
		{"draining, not in the copy", false, false, "i-1@a", true, true},
		{"signed off, in the copy", true, true, "i-1@a", true, true},
		{"signed off, not in the copy", false, true, "i-1@a", false, false},
		{"signed off, then started again", true, true, "i-1@b", true, false},
		{"draining and not in the copy, then started again", false, false, "i-1@b", true, false},
	} {
		r := roster.New()
		u := roster.Upstream{ID: "i-1@a", Service: "s", Address: "127.0.0.1:1"}
		if c.known {
			r.Seed(now, []roster.Upstream{u}, nil)
		}
		r.ApplyDeparture(now, "i-1@a", c.signedOff)
		u.ID = c.reports
		r.ApplyReport(now, &roster.Report{Upstream: u, Sequence: 1})
		got, present := r.Upstream(c.reports)
		if present != c.present || got.Draining != c.draining {
			t.Errorf("%s: present %v, draining %v", c.name, present, got.Draining)
		}
	}
}
