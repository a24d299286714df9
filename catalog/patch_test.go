package catalog_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/dunlinquay/dunlinquay/catalog"
)

// routesConfig builds a configuration of n routes; the route at changedIndex, if there is one, has another weight.
func routesConfig(version, n, changedIndex int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		weight := 90
		if i == changedIndex {
			weight = 37
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","prefix":"/p%d/","timeout-ms":8000,"weight":%d},`, i*7919, i%97, i*31, weight)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func TestPatches(t *testing.T) {
	large := routesConfig(7, 1000, -1)
	for _, c := range []struct {
		name       string
		base, next []byte
		maxBytes   int
	}{
		{"one weight among 1,000 routes", large, routesConfig(13, 1000, 500), 200},
		{"same content", large, large, 100},
		{"routes added", routesConfig(7, 100, -1), large, 15_000},
		{"routes removed", large, routesConfig(8, 100, -1), 200},
		{"empty base", nil, routesConfig(1, 10, -1), 400},
		{"empty result", large, []byte{}, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			patch, err := catalog.NewPatch(c.base, c.next)
			if err != nil {
				t.Fatal(err)
			}
			got, err := catalog.ApplyPatch(c.base, patch)
			if err != nil || !bytes.Equal(got, c.next) {
				t.Errorf("patch does not produce the new configuration (error %v)", err)
			}
			if len(patch) > c.maxBytes {
				t.Errorf("patch has %d bytes, want at most %d", len(patch), c.maxBytes)
			}
		})
	}
}

// Applying a damaged patch, or a patch to a wrong base, must fail rather than give a wrong configuration.
func TestPatchDetectsWrongBaseOrDamage(t *testing.T) {
	base, next := routesConfig(7, 200, -1), routesConfig(8, 200, 9)
	patch, err := catalog.NewPatch(base, next)
	if err != nil {
		t.Fatal(err)
	}
	damaged := bytes.Clone(patch)
	damaged[len(damaged)/2] ^= 1
	for name, c := range map[string]struct{ base, patch []byte }{
		"another base": {routesConfig(6, 200, 3), patch}, "no base": {nil, patch}, "damaged": {base, damaged},
		"truncated": {base, patch[:len(patch)-3]}, "empty": {base, nil},
	} {
		if got, err := catalog.ApplyPatch(c.base, c.patch); err == nil && !bytes.Equal(got, next) {
			t.Errorf("%s: patch gives %d bytes that differ from the new configuration, and no error", name, len(got))
		}
	}
}

// BenchmarkPatch makes a patch for one change among 1,000 routes (80 kB), a cost that arises once for all daemons with the same base.
func BenchmarkPatch(b *testing.B) {
	base, next := routesConfig(7, 1000, -1), routesConfig(8, 1000, 500)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := catalog.NewPatch(base, next); err != nil {
			b.Fatal(err)
		}
	}
}
