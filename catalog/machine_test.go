package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
)

func encode(t *testing.T, version httproute.Version, body string) []byte {
	t.Helper()
	d, err := catalog.NewDocument(version, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	data, err := catalog.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestHighestVersionWins(t *testing.T) {
	m := catalog.NewMachine()
	var changes []httproute.Version
	m.Changed = func(d catalog.Document) { changes = append(changes, d.Version) }
	for _, c := range []struct {
		name     string
		version  httproute.Version
		body     string
		want     catalog.Answer
		wantBody string
	}{
		{"first version", 7, "a", catalog.Answer{Version: 7, Changed: true}, "a"},
		{"same version again", 7, "a", catalog.Answer{Version: 7}, "a"},
		{"current version with other content", 7, "b", catalog.Answer{Version: 7}, "a"},
		{"older version", 5, "c", catalog.Answer{Version: 7}, "a"},
		{"newer version after a gap", 19, "d", catalog.Answer{Version: 19, Changed: true}, "d"},
		{"first version again", 7, "a", catalog.Answer{Version: 19}, "d"},
		{"version between two earlier ones", 12, "e", catalog.Answer{Version: 19}, "d"},
	} {
		if diff := cmp.Diff(c.want, m.Apply(encode(t, c.version, c.body))); diff != "" {
			t.Errorf("%s: answer (-want +got):\n%s", c.name, diff)
		}
		got, err := catalog.Decompress(m.Current().Compressed)
		if err != nil || string(got) != c.wantBody {
			t.Errorf("%s: document %q (error %v), want %q", c.name, got, err, c.wantBody)
		}
	}
	if diff := cmp.Diff([]httproute.Version{7, 19}, changes); diff != "" {
		t.Errorf("Changed calls (-want +got):\n%s", diff)
	}
}

func TestUndecodableEntryIsSkipped(t *testing.T) {
	m := catalog.NewMachine()
	m.Apply(encode(t, 3, "a"))
	if got := m.Apply([]byte{0xff, 0x00}); got.Changed || got.Version != 3 {
		t.Errorf("answer %+v, want version 3 unchanged", got)
	}
}

func TestSnapshotRestore(t *testing.T) {
	m := catalog.NewMachine()
	m.Apply(encode(t, 3, "a"))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := catalog.NewMachine()
	restored.Apply(encode(t, 9, "stale and never committed"))
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Current(), restored.Current()); diff != "" {
		t.Errorf("document after Restore (-want +got):\n%s", diff)
	}
	if err := restored.Restore(nil); err != nil {
		t.Errorf("Restore of empty data: %v", err)
	}
	if err := restored.Restore([]byte{0xff}); err == nil {
		t.Error("damaged snapshot restored without an error")
	}
}

func TestDamagedDocuments(t *testing.T) {
	d, err := catalog.NewDocument(1, []byte("a configuration with some length"))
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{
		"empty": nil, "not compressed": []byte("text"), "truncated": d.Compressed[:len(d.Compressed)-4],
		"altered": append(append([]byte(nil), d.Compressed[:len(d.Compressed)-1]...), d.Compressed[len(d.Compressed)-1]^1),
	} {
		if _, err := catalog.Decompress(packed); err == nil {
			t.Errorf("%s: decompressed without an error", name)
		}
	}
}
