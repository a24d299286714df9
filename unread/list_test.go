package unread_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/unread"
)

func header(names ...string) http.Header {
	header := http.Header{}
	for _, name := range names {
		header.Set(name, "x")
	}
	return header
}

// A name is returned once for each upstream; recognized, standard and declared headers never are.
func TestNamesAreRecordedOnce(t *testing.T) {
	list := unread.New[string]("request-id", "Weight-Versions")
	for _, tt := range []struct {
		upstream string
		header   http.Header
		want     []string
	}{
		{"u", header("Content-Type", "Date", "Retry-After", "Request-Id", "weight-versions"), nil},
		{"u", header("Content-Type", "Queue-Hint"), []string{"Queue-Hint"}},
		{"u", header("Queue-Hint"), nil},
		{"v", header("Queue-Hint"), []string{"Queue-Hint"}},
		{"u", header("Other", "Queue-Hint"), []string{"Other"}},
	} {
		if diff := cmp.Diff(tt.want, list.AddHeaders(tt.upstream, tt.header)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.upstream, diff)
		}
	}
	if diff := cmp.Diff([]string{"Other", "Queue-Hint"}, list.Of("u")); diff != "" {
		t.Errorf("recorded for u (-want +got):\n%s", diff)
	}
	list.Retain(func(upstream string) bool { return upstream == "v" })
	if got := list.Of("u"); len(got) > 0 || !slices.Equal(list.Of("v"), []string{"Queue-Hint"}) {
		t.Errorf("u still has %v", got)
	}
}

// The number of recorded names is bounded, whatever names upstreams send.
func TestNamesAreBounded(t *testing.T) {
	list := unread.New[int]()
	recorded := 0
	for upstream := range 10_000 {
		for n := range 20 {
			recorded += len(list.AddHeaders(upstream, header(fmt.Sprintf("Name-%d", n))))
		}
	}
	if recorded > 8*4096 {
		t.Errorf("%d names recorded", recorded)
	}
}
