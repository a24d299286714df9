package site_test

import (
	"testing"

	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
)

// Spares are sized by losses only where the settings of the site request it.
func TestSparesFollowSettings(t *testing.T) {
	cfg := settings.DefaultSite()
	for _, on := range []bool{cfg.Scheduling.Spares, true} {
		cfg.Scheduling.Spares = on
		if got := site.NewLeadership().PlansSpares(&cfg, "model"); got != on {
			t.Errorf("spares planned: %v, want %v", got, on)
		}
	}
}
