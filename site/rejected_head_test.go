package site_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/site"
)

// Answers whose head was rejected are counted by rule, those of other entries included.
func TestRejectedHeadsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	site.CountRequest(scope, &relay.Record{Attempts: []relay.Attempt{
		{Upstream: "a", HeadRule: httphead.RuleStatus}, {Upstream: "b", HeadRule: httphead.RuleFieldName}, {Entry: "c", HeadRule: httphead.RuleStatus}, {Upstream: "d"},
	}})
	got := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "rejected_answer_heads" {
			got[counter.Tags()["rule"]] = counter.Value()
		}
	}
	if diff := cmp.Diff(map[string]int64{"status": 2, "field-name": 1}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
