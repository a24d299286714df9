package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
)

func applyDepartures(t *testing.T, m *catalog.Machine, c *catalog.DepartureChange) {
	t.Helper()
	data, err := catalog.EncodeDepartures(c)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(data)
}

func TestDepartures(t *testing.T) {
	m := catalog.NewMachine()
	m.Apply(encode(t, 7, "a"))
	for _, c := range []struct {
		name   string
		change catalog.DepartureChange
		want   []catalog.Departure
	}{
		{"two are added", catalog.DepartureChange{Added: []catalog.Departure{{ID: "b"}, {ID: "a", SignedOff: true}}}, []catalog.Departure{{ID: "a", SignedOff: true}, {ID: "b"}}},
		{"a late announcement keeps the sign-off", catalog.DepartureChange{Added: []catalog.Departure{{ID: "a"}}}, []catalog.Departure{{ID: "a", SignedOff: true}, {ID: "b"}}},
		{"a sign-off follows", catalog.DepartureChange{Added: []catalog.Departure{{ID: "b", SignedOff: true}}}, []catalog.Departure{{ID: "a", SignedOff: true}, {ID: "b", SignedOff: true}}},
		{"one is removed, one added", catalog.DepartureChange{Added: []catalog.Departure{{ID: "c"}}, Removed: []ident.Incarnation{"a", "unknown"}}, []catalog.Departure{{ID: "b", SignedOff: true}, {ID: "c"}}},
	} {
		applyDepartures(t, m, &c.change)
		if diff := cmp.Diff(c.want, m.Departures()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if got := m.Current().Version; got != 7 {
		t.Errorf("departures changed the configuration to version %d", got)
	}
	for _, c := range []struct {
		departure catalog.Departure
		want      bool
	}{
		{catalog.Departure{ID: "b"}, true},
		{catalog.Departure{ID: "b", SignedOff: true}, true},
		{catalog.Departure{ID: "c"}, true},
		{catalog.Departure{ID: "c", SignedOff: true}, false},
		{catalog.Departure{ID: "a"}, false},
	} {
		if got := m.HasDeparture(c.departure); got != c.want {
			t.Errorf("%+v is recorded: %v, want %v", c.departure, got, c.want)
		}
	}
}

// A member that is brought up to date by a snapshot has the same departures as one that applied every entry.
func TestDeparturesInSnapshots(t *testing.T) {
	m, restored := catalog.NewMachine(), catalog.NewMachine()
	m.Apply(encode(t, 7, "a"))
	applyDepartures(t, m, &catalog.DepartureChange{Added: []catalog.Departure{{ID: "a"}, {ID: "b@x", SignedOff: true}}})
	applyDepartures(t, restored, &catalog.DepartureChange{Added: []catalog.Departure{{ID: "replaced"}}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Departures(), restored.Departures()); diff != "" {
		t.Errorf("departures of the snapshot (-want +got):\n%s", diff)
	}
	if got := restored.Current().Version; got != 7 {
		t.Errorf("version %d, want 7", got)
	}
}
