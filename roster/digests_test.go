package roster_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// seededRoster returns a roster of n upstreams, every eighth of which is the head of a group.
func seededRoster(n int) *roster.Roster {
	var upstreams []roster.Upstream
	var groups []roster.Group
	for i := range n {
		id := ident.Incarnation(fmt.Sprintf("i-%04d", i))
		upstreams = append(upstreams, roster.Upstream{ID: id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Hall: "h", Slots: 4})
		if i%8 == 0 {
			groups = append(groups, roster.Group{
				Name: ident.Group(fmt.Sprintf("g-%04d", i)), Service: "s", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
			})
		}
	}
	r := newRoster()
	r.Seed(start, upstreams, groups)
	return r
}

func copyOf(r *roster.Roster) *roster.Copy {
	c := roster.NewCopy()
	d := r.Since(0)
	c.Apply(&d)
	return c
}

// A new leader sends nothing if the copy matches its roster, and else only the partitions with changes.
func TestNewLeaderSendsDifferingPartitions(t *testing.T) {
	c := copyOf(seededRoster(800))
	next := seededRoster(800)
	if d := next.Diff(c.Digests()); !d.Empty() {
		t.Errorf("%d upstreams and %d groups sent although nothing differs", len(d.Upstreams), len(d.Groups))
	}
	next.ApplyReport(start, newReport("i-0007", "10.0.0.7:80", 1))
	next.DropGroup("g-0016")
	d := next.Diff(c.Digests())
	if len(d.Upstreams) == 0 || len(d.Upstreams) > 2*800/64*3 {
		t.Errorf("%d upstreams sent for two changes", len(d.Upstreams))
	}
	c.Apply(&d)
	if diff := cmp.Diff(copyOf(next), c); diff != "" {
		t.Errorf("copy after the diff (-want +got):\n%s", diff)
	}
}

// Any copy matches the roster after it has applied its diff.
func TestDiffBringsAnyCopyUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawRoster := func(label string) *roster.Roster {
			r := newRoster()
			for i := range rapid.IntRange(0, 40).Draw(t, label) {
				id := ident.Incarnation(fmt.Sprintf("i-%d", rapid.IntRange(0, 60).Draw(t, "id")))
				r.ApplyReport(start, newReport(id, string(id), uint64(i+1)))
				if rapid.Bool().Draw(t, "group") {
					r.PutGroup(&roster.Group{
						Name: ident.Group("g" + id), Epoch: ident.Epoch(rapid.IntRange(0, 2).Draw(t, "epoch")), Members: []ident.Incarnation{id},
					})
				}
			}
			return r
		}
		c, next := copyOf(drawRoster("former")), drawRoster("next")
		d := next.Diff(c.Digests())
		c.Apply(&d)
		if diff := cmp.Diff(copyOf(next), c); diff != "" {
			t.Fatalf("copy after the diff (-want +got):\n%s", diff)
		}
	})
}

// Each field of an upstream and a group is part of the digest, except for the leader's own time.
func TestDigestsCoverEachField(t *testing.T) {
	digestsOf := func(u *roster.Upstream, g *roster.Group) roster.Digests {
		c := roster.NewCopy()
		c.Upstreams[u.ID], c.Groups[g.Name] = *u, *g
		return *c.Digests()
	}
	base := digestsOf(&roster.Upstream{}, &roster.Group{})
	check := func(name string, v reflect.Value, digestsNow func() roster.Digests) {
		for i := range v.NumField() {
			f, field := v.Field(i), v.Type().Field(i)
			if field.Type == reflect.TypeFor[time.Time]() {
				continue
			}
			if field.Type == reflect.TypeFor[roster.Membership]() {
				for j := range f.NumField() {
					setNonZero(f.Field(j))
					if digestsNow() == base {
						t.Errorf("%s.%s.%s is not part of the digest", name, field.Name, field.Type.Field(j).Name)
					}
					f.Field(j).SetZero()
				}
				continue
			}
			setNonZero(f)
			if digestsNow() == base {
				t.Errorf("%s.%s is not part of the digest", name, field.Name)
			}
			f.SetZero()
		}
	}
	var u roster.Upstream
	var g roster.Group
	check("Upstream", reflect.ValueOf(&u).Elem(), func() roster.Digests { return digestsOf(&u, &g) })
	check("Group", reflect.ValueOf(&g).Elem(), func() roster.Digests { return digestsOf(&u, &g) })
}

// setNonZero sets a field to a value other than zero.
func setNonZero(f reflect.Value) {
	switch f.Kind() {
	case reflect.String:
		f.SetString("x")
	case reflect.Bool:
		f.SetBool(true)
	case reflect.Int:
		f.SetInt(1)
	case reflect.Uint64:
		f.SetUint(1)
	case reflect.Slice:
		f.Set(reflect.MakeSlice(f.Type(), 1, 1))
	}
}
