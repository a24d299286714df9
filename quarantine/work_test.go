package quarantine_test

import (
	"testing"

	"github.com/dunlinquay/dunlinquay/quarantine"
)

func TestContentDistinguishesRequests(t *testing.T) {
	one := quarantine.ContentOf("/a", []byte("b"))
	if one != quarantine.ContentOf("/a", []byte("b")) {
		t.Error("the same path and body have different contents")
	}
	for _, other := range [][2]string{{"/ab", ""}, {"/a", "bb"}, {"/", "ab"}, {"", "/ab"}} {
		if one == quarantine.ContentOf(other[0], []byte(other[1])) {
			t.Errorf("%q has the content of another request", other)
		}
	}
}

// BenchmarkContent is the digest of a body of typical size and of one of 4 MiB.
func BenchmarkContent(b *testing.B) {
	for name, size := range map[string]int{"2 KiB": 2 << 10, "4 MiB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				quarantine.ContentOf("/stream/x", body)
			}
		})
	}
}
