package ident_test

import (
	"testing"

	"github.com/dunlinquay/dunlinquay/ident"
)

func TestIncarnationOf(t *testing.T) {
	const startTime = ident.StartTime(1796166813123)
	for _, c := range []struct {
		incarnation ident.Incarnation
		id          string
		startTime   ident.StartTime
	}{
		{ident.IncarnationOf("i-1", startTime), "i-1", startTime},
		{ident.IncarnationOf("i-1", 0), "i-1", 0},
		{"i-1@?", "i-1", 0},
	} {
		if id, got := c.incarnation.UpstreamID(), c.incarnation.StartTime(); id != c.id || got != c.startTime {
			t.Errorf("%q has id %q and start time %d, want %q and %d", c.incarnation, id, got, c.id, c.startTime)
		}
	}
	if ident.IncarnationOf("i-1", startTime) == ident.IncarnationOf("i-1", startTime+1) {
		t.Error("two start times give the same incarnation")
	}
	if ident.IsUpstreamID("i-1@x") || ident.IsUpstreamID("") || !ident.IsUpstreamID("i-1") {
		t.Error("only ids that are not empty and have no separator must be valid")
	}
}
