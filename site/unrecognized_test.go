package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// The leader receives each unrecognized name once, another leader receives all of them.
func TestUnrecognizedNamesAreSentToLeader(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	type namesByUpstream = map[ident.Incarnation][]string
	note := func(id ident.Incarnation, name string) {
		e.NoteUnrecognized(id, name)
	}
	acknowledge := func(leadership site.LeadershipID) {
		e.ApplyReply(time.Now(), &site.SyncReply{Leads: true, Leadership: leadership})
	}
	note("u", "Queue-Hint")
	for _, step := range []struct {
		name string
		do   func()
		want namesByUpstream
	}{
		{"a name", func() {}, namesByUpstream{"u": {"Queue-Hint"}}},
		{"the call was lost", func() {}, namesByUpstream{"u": {"Queue-Hint"}}},
		{"the first leader received it, and is sent all names as a new leader", func() { acknowledge("one") }, namesByUpstream{"u": {"Queue-Hint"}}},
		{"the leader received that", func() { acknowledge("one") }, nil},
		{"another name", func() { note("u", "Other") }, namesByUpstream{"u": {"Other"}}},
		{"one more while the call is outstanding", func() { note("v", "Other") }, namesByUpstream{"u": {"Other"}, "v": {"Other"}}},
		{"the leader received both", func() { acknowledge("one") }, nil},
		{"a new leader", func() { acknowledge("two") }, namesByUpstream{"u": {"Other", "Queue-Hint"}, "v": {"Other"}}},
		{"the new leader received all", func() { acknowledge("two") }, nil},
	} {
		step.do()
		if diff := cmp.Diff(step.want, e.NextCall().Unread); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
	r := site.NewLeadership()
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true, Unread: namesByUpstream{"u": {"Queue-Hint"}}})
	if got := r.Unrecognized("u"); len(got) != 1 {
		t.Errorf("the leader has %v", got)
	}
	r.PruneUnrecognized(clock.Now().Add(time.Hour))
	if got := r.Unrecognized("u"); len(got) != 0 {
		t.Errorf("the leader still has %v of a removed upstream", got)
	}
}
