package keys_test

import (
	"net/http"
	"testing"

	"github.com/dunlinquay/dunlinquay/keys"
)

func TestRing(t *testing.T) {
	r := &keys.Ring[string]{}
	one, two := keys.New(), keys.New()
	r.Add(keys.Hash(one), "one")
	r.Add(keys.Hash(two), "two")
	r.Add("not a hash", "nobody")
	for _, c := range []struct {
		key   string
		owner string
		ok    bool
	}{
		{one, "one", true}, {two, "two", true}, {"", "", false}, {one + "x", "", false}, {keys.Hash(one), "", false},
	} {
		if owner, ok := r.Find(c.key); owner != c.owner || ok != c.ok {
			t.Errorf("key %q: owner %q, %t; want %q, %t", c.key, owner, ok, c.owner, c.ok)
		}
	}
}

func TestBearer(t *testing.T) {
	for header, want := range map[string]string{"Bearer k": "k", "bearer k": "k", "Basic k": "", "k": "", "": "", "Bearer ": ""} {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		if got := keys.Bearer(r); got != want {
			t.Errorf("%q gives %q, want %q", header, got, want)
		}
	}
}
