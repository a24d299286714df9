package soak_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/soak"
)

// The soak's configurations are valid, and each defect makes one that is not.
func TestConfigurationsOfTheSoak(t *testing.T) {
	for _, n := range []uint64{10, 11, 40} {
		if _, err := platform.DecodeConfig(soak.ConfigOf(n, 30)); err != nil {
			t.Errorf("version %d: %v", n, err)
		}
	}
	if cfg, err := platform.DecodeConfig(soak.WithVersion(soak.ConfigOf(40, 3), 12)); err != nil || cfg.Version != 12 || len(cfg.Routes) != 9 {
		t.Errorf("under another version: %+v, %v", cfg, err)
	}
	for i := range platform.Defects {
		d := &platform.Defects[i]
		body, err := d.Apply(soak.ConfigOf(30, 5))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := platform.DecodeConfig(body); result.CodeOf(err) != result.ChangeInvalid {
			t.Errorf("%s is accepted", d.Name)
		}
	}
}

// Guards against runs in which urgencies and the parts of scheduling are off, so that no fault of the soak meets them.
func TestSchedulingOfTheSoak(t *testing.T) {
	for _, n := range []uint64{10, 11, 40} {
		cfg, err := platform.DecodeConfig(soak.ConfigOf(n, 3))
		if err != nil {
			t.Fatal(err)
		}
		if !httproute.NewTable(cfg).HasUrgencies(soak.ModelService) {
			t.Errorf("version %d: the routes to the models have one priority", n)
		}
	}
	cfg := soak.Settings()
	cfg.Name, cfg.Listen.Host, cfg.Listen.Callers, cfg.PeerPort, cfg.Seeds = "entry", "127.0.0.1", "127.0.0.1:1", 1, []string{"127.0.0.1:2"}
	content, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	read, err := settings.ParseSite("entry.json", content)
	if err != nil {
		t.Fatalf("%s: %v", content, err)
	}
	if diff := cmp.Diff(cfg.Scheduling, read.Scheduling); diff != "" {
		t.Errorf("scheduling that a daemon reads (-want +got):\n%s", diff)
	}
	if s := read.Scheduling; !s.ArrivalCheck || !s.Forecast || !s.Spares || !s.CustomerShares || len(s.CustomerWeights) == 0 || s.UrgencyFloor == 0 {
		t.Errorf("scheduling %+v, want all of it", s)
	}
}
