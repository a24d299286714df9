package site_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/inbound"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// bodyOf is a configuration that is long enough for a patch to be shorter.
func bodyOf(version httproute.Version) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d", version)
	for i := range 200 {
		fmt.Fprintf(&b, " route-%d", i*7919)
		if i == 100 {
			b.WriteString(strings.Repeat("x", int(version)))
		}
	}
	return []byte(b.String())
}

func documentOf(t *testing.T, version httproute.Version) catalog.Document {
	t.Helper()
	d, err := catalog.NewDocument(version, bodyOf(version))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// A leader makes patches from the last configurations to the newest, and no others.
func TestVersions(t *testing.T) {
	var v site.Versions
	if v.Patch(0, 0) != nil {
		t.Error("a patch without any configuration")
	}
	for version := httproute.Version(1); version <= 12; version++ {
		v.Add(documentOf(t, version))
	}
	for _, c := range []struct {
		name     string
		from, to httproute.Version
		want     bool
	}{
		{"from the one before", 11, 12, true},
		{"again", 11, 12, true},
		{"from the oldest kept", 5, 12, true},
		{"from one that is not kept", 4, 12, false},
		{"from nothing", 0, 12, false},
		{"to one that is not the newest", 9, 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			patch := v.Patch(c.from, c.to)
			if diff := cmp.Diff(c.want, patch != nil); diff != "" {
				t.Fatalf("there is a patch (-want +got):\n%s", diff)
			}
			if patch == nil {
				return
			}
			got, err := catalog.ApplyPatch(bodyOf(c.from), patch)
			if err != nil || string(got) != string(bodyOf(c.to)) {
				t.Errorf("the patch does not give the newest: %v", err)
			}
		})
	}
	// A snapshot may restore an older version.
	v.Add(documentOf(t, 7))
	if v.Patch(6, 7) == nil || v.Patch(11, 7) != nil {
		t.Error("after an older version was restored, patches are only from versions before it")
	}
}

// An entry applies patches to its configuration; a patch that does not fit changes and confirms nothing, and the entry
// requests the whole configuration.
func TestEntryAppliesPatches(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	e.DecodeConfig = func(body []byte) (*httproute.Config, error) {
		first, _, _ := strings.Cut(string(body), " ")
		return decodeConfig([]byte(first))
	}
	patch := func(from, to httproute.Version) []byte {
		p, err := catalog.NewPatch(bodyOf(from), bodyOf(to))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	type state struct {
		Applied, Whole bool
		Version        httproute.Version
		// LastConfirmed is the number of the last reply that confirmed anything, 0 for none.
		LastConfirmed int
	}
	// Replies are a minute apart.
	start := time.Now()
	for i, c := range []struct {
		name  string
		reply site.SyncReply
		want  state
	}{
		{"a patch before any configuration", site.SyncReply{Version: 2, Patch: patch(1, 2)}, state{false, true, 0, 0}},
		{"a whole configuration", site.SyncReply{Version: 2, Config: documentOf(t, 2).Compressed}, state{true, false, 2, 2}},
		{"a patch", site.SyncReply{Version: 5, Patch: patch(2, 5)}, state{true, false, 5, 3}},
		{"no change", site.SyncReply{}, state{true, false, 5, 4}},
		{"a patch of another version", site.SyncReply{Version: 6, Patch: patch(4, 6)}, state{false, true, 5, 4}},
		{"a damaged configuration", site.SyncReply{Version: 6, Config: []byte("x")}, state{false, true, 5, 4}},
		{"a whole configuration again", site.SyncReply{Version: 6, Config: documentOf(t, 6).Compressed}, state{true, false, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			applied := e.ApplyReply(start.Add(time.Duration(i+1-100)*time.Minute), &c.reply)
			version, age := e.InForce()
			lastConfirmed := 0
			if age > time.Hour {
				// Replies are dated an hour and more ago; an entry that has confirmed nothing reports exactly an hour.
				lastConfirmed = 100 - int(age.Round(time.Minute)/time.Minute)
			}
			if diff := cmp.Diff(c.want, state{applied, e.NextCall().Whole, version, lastConfirmed}); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

// A configuration's bounds on callers' headers and idle connections are put in force with it.
func TestCallerBoundsFollowConfiguration(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	limits := httproute.Limits{HeaderBytes: 100 << 10, HeaderTimeout: 9 * time.Second, IdleTimeout: 90 * time.Second}
	e.DecodeConfig = func([]byte) (*httproute.Config, error) {
		return &httproute.Config{Version: 2, Limits: limits}, nil
	}
	if diff := cmp.Diff(inbound.Bounds{}, e.CallerBounds()); diff != "" {
		t.Errorf("before any configuration (-want +got):\n%s", diff)
	}
	e.ApplyReply(time.Now(), &site.SyncReply{Version: 2, Config: documentOf(t, 2).Compressed})
	want := inbound.Bounds{MaxHeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
	if diff := cmp.Diff(want, e.CallerBounds()); diff != "" {
		t.Errorf("with a configuration (-want +got):\n%s", diff)
	}
}
