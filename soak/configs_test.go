package soak_test

import (
	"testing"

	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/result"
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
