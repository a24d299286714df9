package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// recordOfCrash returns the record of a request with these prompt parts under which its upstream crashes.
func recordOfCrash(t *testing.T, parts string) *relay.Record {
	t.Helper()
	var record *relay.Record
	var c *crashCluster
	playCluster(t, func() *crashCluster {
		c = newCrashCluster(crashScenario{entries: 1, groups: 2})
		c.entries[0].Observe = func(r *relay.Record) { record = r }
		return c
	}, func() { c.send(c.entries[0], "/once/x", "crash", crashBody, parts) })
	return record
}

func TestRecordNamesThePromptParts(t *testing.T) {
	long := strings.Repeat("f", 60_000)
	digest := func(id string) ident.PromptPart {
		return ident.PromptPart(fmt.Sprintf("xxh64-%x", xxhash.Sum64String(id)))
	}
	for name, test := range map[string]struct {
		header string
		want   []ident.PromptPart
	}{
		"none":         {"", nil},
		"three":        {"5C1e07a2:800, 91bd3f06:410,e4402b7d:250", []ident.PromptPart{"5c1e07a2", "91bd3f06", "e4402b7d"}},
		"without size": {"5c1e07a2,91bd3f06", []ident.PromptPart{"5c1e07a2", "91bd3f06"}},
		"empty parts":  {",:,1:2", []ident.PromptPart{digest(""), digest(""), "1"}},
		"no hex":       {"part one:1,1:2", []ident.PromptPart{digest("part one"), "1"}},
		"no text":      {"\xff\xfe:1,1:2", []ident.PromptPart{digest("\xff\xfe"), "1"}},
		"a long one":   {long + ":1,2:3", []ident.PromptPart{digest(long), "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := recordOfCrash(t, test.header)
			if diff := cmp.Diff(test.want, r.PromptParts); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
			if len(r.Attempts) != 1 || !r.Attempts[0].Crashed {
				t.Errorf("attempts %+v, want one at a crashed upstream", r.Attempts)
			}
		})
	}
	if got := len(recordOfCrash(t, strings.Repeat("1:2,", 10_000)).PromptParts); got != 64 {
		t.Errorf("%d parts of a long header are kept, want 64", got)
	}
}
