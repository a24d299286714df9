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

// The leader hears once of each word that nothing reads, another leader of all of them.
func TestUnreadWordsAreToldToTheLeader(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	type words = map[ident.Incarnation][]string
	note := func(id ident.Incarnation, word string) {
		e.NoteUnread(id, word)
	}
	take := func(leadership site.LeadershipID) {
		e.Take(time.Now(), &site.SyncReply{Leads: true, Leadership: leadership})
	}
	note("u", "Queue-Hint")
	for _, c := range []struct {
		what string
		do   func()
		want words
	}{
		{"a word", func() {}, words{"u": {"Queue-Hint"}}},
		{"the call was lost", func() {}, words{"u": {"Queue-Hint"}}},
		{"the first leader took it, and is told all since it is new", func() { take("one") }, words{"u": {"Queue-Hint"}}},
		{"it took that", func() { take("one") }, nil},
		{"another word", func() { note("u", "Other") }, words{"u": {"Other"}}},
		{"one more while the call is out", func() { note("v", "Other") }, words{"u": {"Other"}, "v": {"Other"}}},
		{"it took both", func() { take("one") }, nil},
		{"a new leader", func() { take("two") }, words{"u": {"Other", "Queue-Hint"}, "v": {"Other"}}},
		{"it took all", func() { take("two") }, nil},
	} {
		c.do()
		if diff := cmp.Diff(c.want, e.Call().Unread); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.what, diff)
		}
	}
	r := site.NewLeading()
	r.Note(&site.SyncCall{From: "a", Entry: true, Unread: words{"u": {"Queue-Hint"}}})
	if got := r.Unread("u"); len(got) != 1 {
		t.Errorf("the leader knows %v", got)
	}
	r.ForgetUnread(clock.Now().Add(time.Hour))
	if got := r.Unread("u"); len(got) != 0 {
		t.Errorf("it still knows %v of one that has ended", got)
	}
}
