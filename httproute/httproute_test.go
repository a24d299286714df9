package httproute_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/result"
)

func route(name ident.Class, host, prefix string) httproute.Route {
	return httproute.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second,
		Split: []httproute.Share{{Service: "s", Weight: 1}},
	}
}

func config() *httproute.Config {
	return &httproute.Config{
		Version:   1,
		Routes:    []httproute.Route{route("a", "h", "/"), route("b", "h", "/x/"), route("c", "h", "/x/y/"), route("d", "i", "/x/")},
		Services:  []httproute.Service{{Name: "s"}, {Name: "t"}},
		Customers: []httproute.Customer{{Name: "one", KeyHashes: []string{keys.Hash("k1"), keys.Hash("k2")}}, {Name: "two", KeyHashes: []string{keys.Hash("k3")}}},
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(cfg *httproute.Config)
		want   result.Code
	}{
		{"valid", func(*httproute.Config) {}, result.OK},
		{"empty", func(cfg *httproute.Config) { *cfg = httproute.Config{} }, result.OK},
		{"unknown service", func(cfg *httproute.Config) { cfg.Routes[0].Split[0].Service = "u" }, result.ChangeInvalid},
		{"unknown service with weight 0", func(cfg *httproute.Config) {
			cfg.Routes[0].Split = append(cfg.Routes[0].Split, httproute.Share{Service: "u"})
		}, result.ChangeInvalid},
		{"no service", func(cfg *httproute.Config) { cfg.Routes[0].Split = nil }, result.ChangeInvalid},
		{"same host and prefix", func(cfg *httproute.Config) { cfg.Routes[0].Prefix = "/x/" }, result.ChangeInvalid},
		{"same prefix on another host", func(cfg *httproute.Config) { cfg.Routes[0].Prefix, cfg.Routes[0].Host = "/x/", "j" }, result.OK},
		{"weights of 0", func(cfg *httproute.Config) { cfg.Routes[0].Split[0].Weight = 0 }, result.ChangeInvalid},
		{"negative weight", func(cfg *httproute.Config) {
			cfg.Routes[0].Split = []httproute.Share{{Service: "s", Weight: 3}, {Service: "t", Weight: -1}}
		}, result.ChangeInvalid},
		{"no time-out", func(cfg *httproute.Config) { cfg.Routes[0].Timeout = 0 }, result.ChangeInvalid},
		{"a key of two customers", func(cfg *httproute.Config) { cfg.Customers[1].KeyHashes = []string{keys.Hash("k2")} }, result.ChangeInvalid},
		{"a duplicate key of one customer", func(cfg *httproute.Config) { cfg.Customers[1].KeyHashes = []string{keys.Hash("k3"), keys.Hash("k3")} }, result.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := config()
			c.change(cfg)
			if got := result.CodeOf(httproute.Check(cfg)); got != c.want {
				t.Errorf("code %d, want %d", got, c.want)
			}
		})
	}
}

func TestRoute(t *testing.T) {
	cfg := config()
	cfg.Routes = append(cfg.Routes, route("e", "BIG.Example.", "/"), route("f", "h", "/y%20z/"), route("g", "p:8080", "/"))
	table := httproute.NewTable(cfg)
	for _, c := range []struct {
		host, path string
		want       ident.Class
	}{
		{"h", "/x/y/z", "c"},
		{"h", "/x/y/", "c"},
		{"h", "/x/yy/", "b"},
		{"h", "/x/", "b"},
		{"h", "/x", "a"},
		{"h", "/", "a"},
		{"h:8080", "/x/1", "b"},
		{"i", "/x/1", "d"},
		{"H", "/x/1", "b"},
		{"h.", "/x/1", "b"},
		{"h:80", "/x/1", "b"},
		{"H.:8080", "/x/1", "b"},
		{"big.example", "/1", "e"},
		{"h", "/y z/1", "f"},
		{"p:8080", "/1", "g"},
		{"P:8080", "/1", "g"},
		{"p", "/1", ""},
		{"i", "/", ""},
		{"j", "/x/1", ""},
		{"", "/x/1", ""},
	} {
		var got ident.Class
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s has route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestOwner(t *testing.T) {
	table := httproute.NewTable(config())
	for key, want := range map[string]ident.Customer{"k1": "one", "k2": "one", "k3": "two", "k4": "", "": ""} {
		var got ident.Customer
		if c := table.Owner(key); c != nil {
			got = c.Name
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	table := httproute.NewTable(config())
	r := &httproute.Route{Split: []httproute.Share{{Service: "s", Weight: 0}, {Service: "t", Weight: 5}}}
	for range 100 {
		if got := table.Pick(r); got == nil || got.Name != "t" {
			t.Fatalf("picked %v, want t, which has the only positive weight", got)
		}
	}
	r.Split[0].Weight = 15
	counts := map[ident.Service]int{}
	for range 4000 {
		counts[table.Pick(r).Name]++
	}
	if counts["s"] < 2700 || counts["s"] > 3300 {
		t.Errorf("counts %v for weights 15 and 5", counts)
	}
}

// Weights may be fractions, and may exceed the range of integers.
func TestPickWithExtremeWeights(t *testing.T) {
	table := httproute.NewTable(config())
	for _, weight := range []float64{1e-9, 0.1, 1, 1 << 62, 1e300} {
		r := &httproute.Route{Split: []httproute.Share{{Service: "s", Weight: weight}, {Service: "none", Weight: 0}, {Service: "t", Weight: weight}}}
		counts := map[ident.Service]int{}
		for range 2000 {
			counts[table.Pick(r).Name]++
		}
		if counts["s"] < 850 || counts["t"] < 850 {
			t.Errorf("counts %v for two weights of %g", counts, weight)
		}
	}
	if got := table.Pick(&httproute.Route{Split: []httproute.Share{{Service: "s"}}}); got != nil {
		t.Errorf("picked %v without a positive weight, want nil", got)
	}
}

func TestRepeatable(t *testing.T) {
	got := map[string]bool{}
	for _, r := range []httproute.Route{
		{Name: "safe", Kind: httproute.KindSafe}, {Name: "unsafe", Kind: httproute.KindUnsafe},
		{Name: "stream", Kind: httproute.KindStream}, {Name: "resumable", Kind: httproute.KindStream, Resumable: true},
		{Name: "resumable unsafe", Kind: httproute.KindUnsafe, Resumable: true},
	} {
		got[string(r.Name)] = r.Repeatable()
	}
	want := map[string]bool{"safe": true, "unsafe": false, "stream": false, "resumable": true, "resumable unsafe": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("repeatable (-want +got):\n%s", diff)
	}
}
