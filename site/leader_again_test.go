package site_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
)

// A leader that loses its lease for a moment and leads again must not start from nothing: it would dissolve the groups that its own previous
// leadership had formed, and plan as if no request had come yet.
func TestLeaderAgainKnowsItsGroups(t *testing.T) {
	cfg := settings.DefaultSite()
	cfg.Name, cfg.DataFolder, cfg.FirstStart = "daemon", t.TempDir(), true
	c, err := site.NewControl(&cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseFolder()
	first := c.StartLeadership(1)
	if !first.IsInitialStart() {
		t.Error("the first leadership of a new site does not plan as before the first request")
	}
	members := []ident.Incarnation{"i-1", "i-2"}
	for _, id := range members {
		first.Roster().ApplyReport(clock.Now(), &roster.Report{Sequence: 1, Upstream: roster.Upstream{ID: id, Service: "model", Address: "10.0.0.1:80"}})
	}
	c.EndLeadership(first)
	if again := c.StartLeadership(2); !again.IsInitialStart() {
		t.Error("without a group that served, the next leadership does not plan as before the first request")
	}
	group := roster.Group{Name: "g1", Epoch: 1, Service: "model", Model: "large", Members: members, Phase: roster.PhaseOpen}
	first.Roster().PutGroup(&group)
	c.EndLeadership(first)
	again := c.StartLeadership(3)
	got := again.Roster().Groups()
	for i := range got {
		got[i].Since = group.Since
	}
	if diff := cmp.Diff([]roster.Group{group}, got); diff != "" {
		t.Errorf("groups of the next leadership (-want +got):\n%s", diff)
	}
	if again.IsInitialStart() {
		t.Error("the next leadership plans as before the first request although a group has served")
	}
}
