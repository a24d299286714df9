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
	h := http.Header{}
	for _, name := range names {
		h.Set(name, "x")
	}
	return h
}

// A word is told once for each upstream; what is known, standard or declared is none.
func TestWordsAreNotedOnce(t *testing.T) {
	l := unread.New[string]("request-id", "Weight-Versions")
	for _, c := range []struct {
		from string
		h    http.Header
		want []string
	}{
		{"u", header("Content-Type", "Date", "Retry-After", "Request-Id", "weight-versions"), nil},
		{"u", header("Content-Type", "Queue-Hint"), []string{"Queue-Hint"}},
		{"u", header("Queue-Hint"), nil},
		{"v", header("Queue-Hint"), []string{"Queue-Hint"}},
		{"u", header("Other", "Queue-Hint"), []string{"Other"}},
	} {
		if diff := cmp.Diff(c.want, l.AddHeaders(c.from, c.h)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.from, diff)
		}
	}
	if diff := cmp.Diff([]string{"Other", "Queue-Hint"}, l.Of("u")); diff != "" {
		t.Errorf("noted of u (-want +got):\n%s", diff)
	}
	l.Retain(func(k string) bool { return k == "v" })
	if got := l.Of("u"); len(got) > 0 || !slices.Equal(l.Of("v"), []string{"Queue-Hint"}) {
		t.Errorf("u still has %v", got)
	}
}

// An upstream that makes up ever new names fills nothing.
func TestNamesAreBounded(t *testing.T) {
	l := unread.New[int]()
	told := 0
	for life := range 10_000 {
		for n := range 20 {
			told += len(l.AddHeaders(life, header(fmt.Sprintf("Name-%d", n))))
		}
	}
	if told > 8*4096 {
		t.Errorf("%d names told", told)
	}
}
