package ident_test

import (
	"testing"

	"github.com/dunlinquay/dunlinquay/ident"
)

func TestLife(t *testing.T) {
	const born = ident.StartTime(1796166813123)
	for _, c := range []struct {
		life ident.Incarnation
		id   string
		born ident.StartTime
	}{
		{ident.IncarnationOf("i-1", born), "i-1", born},
		{ident.IncarnationOf("i-1", 0), "i-1", 0},
		{"i-1@?", "i-1", 0},
	} {
		if id, got := c.life.UpstreamID(), c.life.StartTime(); id != c.id || got != c.born {
			t.Errorf("%q is %q born at %d, want %q and %d", c.life, id, got, c.id, c.born)
		}
	}
	if ident.IncarnationOf("i-1", born) == ident.IncarnationOf("i-1", born+1) {
		t.Error("two starts are one incarnation")
	}
	if ident.IsUpstreamID("i-1@x") || ident.IsUpstreamID("") || !ident.IsUpstreamID("i-1") {
		t.Error("an id that holds the mark of a birth must not pass")
	}
}
