package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

func encodeDrain(t interface{ Fatal(args ...any) }, hall ident.Hall, drain bool) []byte {
	data, err := catalog.EncodeDrain(catalog.DrainOrder{Hall: hall, Drain: drain})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestNewestDrainOrderWins(t *testing.T) {
	m := catalog.NewMachine()
	var revisions []catalog.DrainRevision
	m.DrainChanged = func(d catalog.Drained) { revisions = append(revisions, d.Revision) }
	m.Apply(encode(t, 7, "a"))
	for _, c := range []struct {
		name  string
		hall  ident.Hall
		drain bool
		want  catalog.Drained
	}{
		{"first drain", "b", true, catalog.Drained{Revision: 1, Halls: []ident.Hall{"b"}}},
		{"same drain again", "b", true, catalog.Drained{Revision: 1, Halls: []ident.Hall{"b"}}},
		{"drain of another hall", "a", true, catalog.Drained{Revision: 2, Halls: []ident.Hall{"a", "b"}}},
		{"undrain of a hall that is not drained", "c", false, catalog.Drained{Revision: 2, Halls: []ident.Hall{"a", "b"}}},
		{"undrain", "b", false, catalog.Drained{Revision: 3, Halls: []ident.Hall{"a"}}},
		{"same undrain again", "b", false, catalog.Drained{Revision: 3, Halls: []ident.Hall{"a"}}},
		{"drain after undrain", "b", true, catalog.Drained{Revision: 4, Halls: []ident.Hall{"a", "b"}}},
	} {
		got := m.Apply(encodeDrain(t, c.hall, c.drain))
		if diff := cmp.Diff(catalog.Answer{Version: 7, Drained: c.want}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if diff := cmp.Diff([]catalog.DrainRevision{1, 2, 3, 4}, revisions); diff != "" {
		t.Errorf("DrainChanged calls (-want +got):\n%s", diff)
	}
}

// A late copy of an order has no effect once another order on the hall was carried out, even if that one changed nothing.
func TestLateDrainOrderIsSuperseded(t *testing.T) {
	m := catalog.NewMachine()
	for _, c := range []struct {
		name       string
		order      catalog.DrainOrder
		drained    bool
		superseded bool
		number     catalog.OrderNumber
	}{
		{"drain", catalog.DrainOrder{Hall: "a", Drain: true, Conditional: true}, true, false, 1},
		{"undrain after it", catalog.DrainOrder{Hall: "a", Conditional: true, After: 1}, false, false, 2},
		{"copy of the drain", catalog.DrainOrder{Hall: "a", Drain: true, Conditional: true}, false, true, 2},
		{"copy of the undrain", catalog.DrainOrder{Hall: "a", Conditional: true, After: 1}, false, false, 2},
		{"drain again", catalog.DrainOrder{Hall: "a", Drain: true, Conditional: true, After: 2}, true, false, 3},
		{"late copy of the undrain", catalog.DrainOrder{Hall: "a", Conditional: true, After: 1}, true, true, 3},
		{"order on another hall", catalog.DrainOrder{Hall: "b", Drain: true, Conditional: true}, true, false, 4},
		{"the same drain from another operator", catalog.DrainOrder{Hall: "a", Drain: true, Conditional: true, After: 3}, true, false, 5},
		{"undrain that knew only the first of the two", catalog.DrainOrder{Hall: "a", Conditional: true, After: 3}, true, true, 5},
		{"undrain that knew both", catalog.DrainOrder{Hall: "a", Conditional: true, After: 5}, false, false, 6},
	} {
		supersedes := m.Supersedes(&c.order)
		data, err := catalog.EncodeDrain(c.order)
		if err != nil {
			t.Fatal(err)
		}
		answer := m.Apply(data)
		if answer.Superseded != c.superseded || supersedes != c.superseded || answer.Drained.Has(c.order.Hall) != c.drained {
			t.Errorf("%s: superseded %v, told %v, drained halls %v; want superseded %v, drained %v",
				c.name, answer.Superseded, supersedes, answer.Drained.Halls, c.superseded, c.drained)
		}
		if number, _ := m.HallOrder(c.order.Hall); number != c.number {
			t.Errorf("%s: number %d, want %d", c.name, number, c.number)
		}
	}
}

// Builds before drain orders wrote snapshots that hold only a document.
func TestSnapshotsWithoutDrainedHalls(t *testing.T) {
	d, err := catalog.NewDocument(5, []byte("a"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := catalog.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	m := catalog.NewMachine()
	if err := m.Restore(data); err != nil {
		t.Fatal(err)
	}
	if m.Current().Version != 5 || len(m.Drained().Halls) != 0 {
		t.Errorf("version %d, drained halls %v; want version 5 and no halls", m.Current().Version, m.Drained().Halls)
	}
}

// Members that apply the same log, from the start or from a snapshot at any entry, have the same state: the last order for each hall that
// is not superseded wins, and no configuration cancels a drain.
func TestMembersAgreeOnDrainedHalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := catalog.NewMachine()
		member := catalog.NewMachine()
		want := map[ident.Hall]bool{}
		halls := []ident.Hall{"a", "b", "c"}
		for n := range rapid.IntRange(1, 40).Draw(t, "entries") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				d, err := catalog.NewDocument(httproute.Version(rapid.IntRange(1, 9).Draw(t, "version")), []byte{byte(n)})
				if err != nil {
					t.Fatal(err)
				}
				data, err := catalog.Encode(d)
				if err != nil {
					t.Fatal(err)
				}
				reference.Apply(data)
				member.Apply(data)
			case 1:
				data, err := reference.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				member = catalog.NewMachine()
				if err := member.Restore(data); err != nil {
					t.Fatal(err)
				}
			case 2:
				hall, drain := rapid.SampledFrom(halls).Draw(t, "hall"), rapid.Bool().Draw(t, "drain")
				want[hall] = drain
				data := encodeDrain(t, hall, drain)
				reference.Apply(data)
				member.Apply(data)
			default:
				order := catalog.DrainOrder{
					Hall: rapid.SampledFrom(halls).Draw(t, "hall"), Drain: rapid.Bool().Draw(t, "drain"), Conditional: true,
					After: catalog.OrderNumber(rapid.IntRange(0, n).Draw(t, "after")),
				}
				if number, _ := reference.HallOrder(order.Hall); number <= order.After {
					want[order.Hall] = order.Drain
				}
				data, err := catalog.EncodeDrain(order)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(reference.Apply(data), member.Apply(data)); diff != "" {
					t.Fatalf("answers after log and after snapshot differ (-log +snapshot):\n%s", diff)
				}
			}
			if diff := cmp.Diff(reference.Drained(), member.Drained()); diff != "" {
				t.Fatalf("drained halls after log and after snapshot differ (-log +snapshot):\n%s", diff)
			}
			if reference.Current().Version != member.Current().Version {
				t.Fatalf("version %d after log, %d after snapshot", reference.Current().Version, member.Current().Version)
			}
			drained := reference.Drained()
			for _, hall := range halls {
				if drained.Has(hall) != want[hall] {
					t.Fatalf("hall %s is drained: %v, want %v", hall, drained.Has(hall), want[hall])
				}
			}
		}
	})
}
