package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

const siteText = `// one daemon
{
  "name": "entry-1", "hall": "north", "region": "south",
  "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81", "host": "10.0.0.1"},
  "peer-port": 7000,
  "seeds": ["10.0.0.4:90", "10.0.0.5:90"],
  "first-start": true,
  "bounds": {"keys-revoked": "5000ms"},
}`

func TestParseSite(t *testing.T) {
	got, err := settings.ParseSite("f", []byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.DefaultSite()
	want.Name, want.Hall, want.Region = "entry-1", "north", "south"
	want.Listen = settings.SiteListen{Callers: "10.0.0.1:80", Ready: "10.0.0.1:81", Host: "10.0.0.1"}
	want.PeerPort = 7000
	want.Seeds = []string{"10.0.0.4:90", "10.0.0.5:90"}
	want.FirstStart = true
	want.Bounds.KeysRevoked = settings.Duration(5 * time.Second)
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"10.0.0.4:7000", "10.0.0.5:7000"}, got.SeedPeers()); diff != "" {
		t.Errorf("peers' addresses of the seeds (-want +got):\n%s", diff)
	}
	if got.PeerAddress() != "10.0.0.1:7000" {
		t.Errorf("peers' address %s", got.PeerAddress())
	}
}

func TestSiteFaults(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		want           result.Code
	}{
		{"no name", `"name": "entry-1",`, ``, result.SettingsMissing},
		{"unknown key", `"name"`, `"nam"`, result.SettingsUnknownKey},
		{"no host", `, "host": "10.0.0.1"`, ``, result.SettingsMissing},
		{"port out of range", `7000`, `70000`, result.SettingsValue},
		{"no seeds", `["10.0.0.4:90", "10.0.0.5:90"]`, `[]`, result.SettingsMissing},
		{"seed without a port", `10.0.0.4:90`, `10.0.0.4`, result.SettingsValue},
		{"data folder without control", `"peer-port"`, `"data-folder": "/d", "peer-port"`, result.SettingsConflict},
		{"urgency floor above 1", `"first-start"`, `"scheduling": {"urgency-floor": 1.5}, "first-start"`, result.SettingsValue},
		{"weight of a customer is 0", `"first-start"`, `"scheduling": {"customer-weights": {"a": 0}}, "first-start"`, result.SettingsValue},
		{"nothing to serve", `"callers": "10.0.0.1:80", `, ``, result.SettingsMissing},
		{"lease as long as an election", `"first-start"`, `"times": {"lease": "600ms", "election": "600ms"}, "first-start"`, result.SettingsConflict},
		{"no end holds work", `"first-start"`, `"quarantine": {"ends": 0}, "first-start"`, result.SettingsValue},
		{"more ends than are remembered", `"first-start"`, `"quarantine": {"ends": 10}, "first-start"`, result.SettingsValue},
		{"held for no time", `"first-start"`, `"quarantine": {"hold": "10ms"}, "first-start"`, result.SettingsValue},
		{"no records", `"first-start"`, `"quarantine": {"records": 0}, "first-start"`, result.SettingsValue},
		{"upstreams may ask for nothing", `"first-start"`, `"backoff": {"most": "0s"}, "first-start"`, result.SettingsValue},
		{"upstreams may ask for a day", `"first-start"`, `"backoff": {"most": "24h"}, "first-start"`, result.SettingsValue},
		{"leaving ones are forgotten at once", `"first-start"`, `"backoff": {"leaving": "1s"}, "first-start"`, result.SettingsValue},
		{"not an object", siteText, `[]`, result.SettingsType},
		{"not JSON", siteText, `{`, result.SettingsSyntax},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.ParseSite("f", []byte(strings.Replace(siteText, c.old, c.new, 1)))
			var faults settings.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error %v", err)
			}
			found := false
			for _, f := range faults {
				found = found || f.Code == c.want
			}
			if !found {
				t.Errorf("faults %v, want code %d", faults, c.want)
			}
		})
	}
}

// Keys that may be left out are known under their names.
func TestSiteHallsAndApplicationHeaders(t *testing.T) {
	cfg, err := settings.ParseSite("f", []byte(`{
		"name": "a", "hall": "x", "halls": {"x": "east", "y": "west"}, "listen": {"callers": "10.0.0.1:1", "host": "10.0.0.1"}, "peer-port": 7000,
		"seeds": ["10.0.0.2:3"], "application-headers": ["Trace"],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Halls["y"] != "west" || len(cfg.ApplicationHeaders) != 1 {
		t.Errorf("halls %v, headers %v", cfg.Halls, cfg.ApplicationHeaders)
	}
}
