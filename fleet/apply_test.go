package fleet_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// replicatedLog applies commands to a state, each encoded and decoded as in the replicated log.
type replicatedLog struct {
	t        *testing.T
	state    *fleet.State
	revision ident.Revision
}

func newReplicatedLog(t *testing.T, vms int) *replicatedLog {
	l := &replicatedLog{t: t, state: fleet.NewState()}
	var list []fleet.VM
	for i := range vms {
		gpu := []string{"new", "old"}[i%2]
		list = append(list, fleet.VM{
			Name: ident.VM(fmt.Sprint("w", i)), Address: "127.0.0.1:1", Hall: "h", Domain: "d", Accelerators: 8, Speed: 1,
			Labels: map[string]string{"gpu": gpu},
		})
	}
	l.mustApply(&fleet.Command{Kind: fleet.KindRegisterVMs, VMs: list})
	return l
}

func (l *replicatedLog) apply(c *fleet.Command) fleet.Answer {
	l.t.Helper()
	data, err := fleet.Encode(c)
	if err != nil {
		l.t.Fatal(err)
	}
	decoded, err := fleet.Decode(data)
	if err != nil {
		l.t.Fatal(err)
	}
	l.revision++
	return l.state.Apply(l.revision, decoded)
}

func (l *replicatedLog) mustApply(c *fleet.Command) fleet.Answer {
	l.t.Helper()
	a := l.apply(c)
	if a.Code != result.OK {
		l.t.Fatalf("%s", a.Text)
	}
	return a
}

func create(name ident.Group, size int) *fleet.Command {
	return &fleet.Command{Kind: fleet.KindCreateGroup, Spec: &fleet.GroupSpec{Name: name, Model: "m", Size: size}}
}

func assign(name ident.Group, base ident.Epoch, members ...ident.VM) *fleet.Command {
	return &fleet.Command{Kind: fleet.KindAssign, Assign: &fleet.Assignment{Group: name, BaseEpoch: base, Members: members}}
}

func (l *replicatedLog) epoch(name ident.Group) ident.Epoch {
	return l.state.Groups[name].Epoch
}

// formServing creates a group, assigns the members and confirms that each has joined.
func (l *replicatedLog) formServing(name ident.Group, members ...ident.VM) {
	l.t.Helper()
	l.mustApply(create(name, len(members)))
	l.mustApply(assign(name, 0, members...))
	l.confirm(name, members...)
}

func (l *replicatedLog) confirm(name ident.Group, members ...ident.VM) {
	l.t.Helper()
	for _, m := range members {
		l.mustApply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: m, Epoch: l.epoch(name), Incarnation: "i-" + ident.Incarnation(m)}}})
	}
}

func TestAssignKeepsEachVMInOneGroup(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(l *replicatedLog)
		command func(l *replicatedLog) *fleet.Command
		code    result.Code
	}{
		{"free VMs", func(*replicatedLog) {}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.OK},
		{"VM of another group", func(l *replicatedLog) { l.formServing("other", "w0") }, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.ChangeRefused},
		{"same VM twice", func(*replicatedLog) {}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w0") }, result.ChangeRefused},
		{"too few VMs", func(*replicatedLog) {}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0") }, result.ChangeRefused},
		{"unknown VM", func(*replicatedLog) {}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "x") }, result.ChangeNotFound},
		{"decision on an older epoch", func(l *replicatedLog) { l.mustApply(assign("g", 0, "w0", "w1")) }, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w2", "w3") }, result.ChangeConflict},
		{"leaving VM of another group, not confirmed", func(l *replicatedLog) {
			l.formServing("other", "w0")
			l.mustApply(assign("other", l.epoch("other"), "w2"))
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.ChangeRefused},
		{"leaving VM of the same group, not confirmed", func(l *replicatedLog) {
			l.mustApply(assign("g", 0, "w0", "w1"))
			l.mustApply(assign("g", l.epoch("g"), "w2", "w3"))
		}, func(l *replicatedLog) *fleet.Command { return assign("g", l.epoch("g"), "w0", "w3") }, result.ChangeRefused},
		{"VM that confirmed leaving", func(l *replicatedLog) {
			l.formServing("other", "w0")
			left := l.epoch("other")
			l.mustApply(assign("other", left, "w2"))
			l.mustApply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: "w0", Epoch: left, Left: true}}})
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.OK},
		{"late confirmation of leaving an older epoch", func(l *replicatedLog) {
			l.formServing("other", "w0")
			l.mustApply(assign("other", l.epoch("other"), "w2"))
			l.mustApply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: "w0", Epoch: 1, Left: true}}})
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.ChangeRefused},
		{"leaving VM that the platform listed as gone", func(l *replicatedLog) {
			l.formServing("other", "w0")
			l.mustApply(assign("other", l.epoch("other"), "w2"))
			l.mustApply(&fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: "w0", Listing: fleet.ListingGone}}})
			l.mustApply(&fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: "w0", Listing: fleet.ListingLive}}})
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.OK},
		{"VM listed as leaving the platform", func(l *replicatedLog) {
			l.mustApply(&fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: "w0", Listing: fleet.ListingLeaving}}})
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.ChangeRefused},
		{"VM that the selector excludes", func(l *replicatedLog) {
			l.mustApply(&fleet.Command{Kind: fleet.KindChangeGroup, Spec: &fleet.GroupSpec{
				Name: "g", Model: "m", Size: 2, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"new"}}},
			}})
		}, func(*replicatedLog) *fleet.Command { return assign("g", 0, "w0", "w1") }, result.ChangeRefused},
		{"deleted group that still has members", func(l *replicatedLog) {
			l.mustApply(assign("g", 0, "w0", "w1"))
			l.mustApply(&fleet.Command{Kind: fleet.KindDeleteGroup, Group: "g"})
		}, func(l *replicatedLog) *fleet.Command { return assign("g", l.epoch("g"), "w2", "w3") }, result.ChangeRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newReplicatedLog(t, 6)
			l.mustApply(create("g", 2))
			c.prepare(l)
			if a := l.apply(c.command(l)); a.Code != c.code {
				t.Errorf("code %d (%s), want %d", a.Code, a.Text, c.code)
			}
		})
	}
}

func TestGroupServesOnceAllMembersConfirmEpoch(t *testing.T) {
	l := newReplicatedLog(t, 4)
	l.mustApply(create("g", 2))
	l.mustApply(assign("g", 0, "w0", "w1"))
	first := l.epoch("g")
	phase := func() string { return l.state.Groups["g"].Phase.String() }
	for _, c := range []struct {
		name    string
		confirm fleet.Confirmation
		want    string
	}{
		{"one member", fleet.Confirmation{VM: "w0", Epoch: first, Incarnation: "a"}, "forming"},
		{"same member again", fleet.Confirmation{VM: "w0", Epoch: first, Incarnation: "a"}, "forming"},
		{"other member for another epoch", fleet.Confirmation{VM: "w1", Epoch: first + 7, Incarnation: "b"}, "forming"},
		{"VM outside the group", fleet.Confirmation{VM: "w2", Epoch: first, Incarnation: "c"}, "forming"},
		{"other member", fleet.Confirmation{VM: "w1", Epoch: first, Incarnation: "b"}, "serving"},
	} {
		l.mustApply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{c.confirm}})
		if got := phase(); got != c.want {
			t.Errorf("after confirmation of %s: %s, want %s", c.name, got, c.want)
		}
	}
	// Later confirmations for the epoch must not make a broken group serve again.
	l.mustApply(&fleet.Command{Kind: fleet.KindBreakGroup, Assign: &fleet.Assignment{Group: "g", BaseEpoch: first}})
	l.confirm("g", "w0", "w1")
	if got := phase(); got != "broken" {
		t.Errorf("broken group is %s after confirmations for epoch %d, want broken", got, first)
	}
	l.mustApply(assign("g", first, "w0", "w1"))
	l.confirm("g", "w0", "w1")
	if got := phase(); got != "serving" {
		t.Errorf("group is %s in a new epoch, want serving", got)
	}
}

func TestGroupBrokenWhileFormingStaysBroken(t *testing.T) {
	l := newReplicatedLog(t, 2)
	l.mustApply(create("g", 2))
	l.mustApply(assign("g", 0, "w0", "w1"))
	l.confirm("g", "w0")
	l.mustApply(&fleet.Command{Kind: fleet.KindBreakGroup, Assign: &fleet.Assignment{Group: "g", BaseEpoch: l.epoch("g")}})
	l.confirm("g", "w1")
	if got := l.state.Groups["g"].Phase; got != fleet.GroupBroken {
		t.Errorf("after the last confirmation: %s, want broken", got)
	}
}

func TestResendAfterRestartGetsFirstAnswer(t *testing.T) {
	l := newReplicatedLog(t, 1)
	c := create("g", 1)
	c.Change = "c1"
	first := l.mustApply(c)
	data, err := l.state.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if l.state, err = fleet.UnmarshalState(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, l.apply(c)); diff != "" {
		t.Errorf("answers before and after the restart (-before +after):\n%s", diff)
	}
}

func TestResentAndConcurrentChanges(t *testing.T) {
	l := newReplicatedLog(t, 4)
	change := func(id ident.Change, size int, ifRevision ident.Revision) *fleet.Command {
		return &fleet.Command{
			Kind: fleet.KindChangeGroup, Change: id, By: "op", IfRevision: ifRevision,
			Spec: &fleet.GroupSpec{Name: "g", Model: "m", Size: size},
		}
	}
	creation := create("g", 1)
	creation.Change, creation.By = "c1", "op"
	first := l.mustApply(creation)
	for _, c := range []struct {
		name    string
		command *fleet.Command
		code    result.Code
		size    int
		// revision is the expected revision of the answer; zero means that of the command.
		revision ident.Revision
	}{
		{"resent creation", creation, result.OK, 1, first.Revision},
		{"second group of the same name", func() *fleet.Command { c := create("g", 1); c.Change = "c2"; return c }(), result.ChangeExists, 1, 0},
		{"resent refused creation", func() *fleet.Command { c := create("g", 1); c.Change = "c2"; return c }(), result.ChangeExists, 1, first.Revision + 2},
		{"first of two concurrent changes", change("c3", 2, first.Revision), result.OK, 2, 0},
		{"second of two concurrent changes", change("c4", 3, first.Revision), result.ChangeConflict, 2, 0},
		{"resend of the first change", change("c3", 2, first.Revision), result.OK, 2, first.Revision + 4},
		{"resend after the client read the group again", change("c3", 2, first.Revision+4), result.OK, 2, first.Revision + 4},
		{"id reused for another change", change("c3", 4, 0), result.ChangeIDReused, 2, 0},
		{"change without IfRevision", change("c5", 4, 0), result.OK, 4, 0},
	} {
		a := l.apply(c.command)
		want := c.revision
		if want == 0 {
			want = l.revision
		}
		if a.Code != c.code || a.Revision != want || l.state.Groups["g"].Spec.Size != c.size {
			t.Errorf("%s: code %d (%s) at %d with size %d, want code %d at %d with size %d",
				c.name, a.Code, a.Text, a.Revision, l.state.Groups["g"].Spec.Size, c.code, want, c.size)
		}
	}
}

func TestRecreatedGroupGetsNewGeneration(t *testing.T) {
	l := newReplicatedLog(t, 4)
	l.formServing("g", "w0", "w1")
	old := l.state.Groups["g"].Generation
	l.mustApply(&fleet.Command{Kind: fleet.KindDeleteGroup, Group: "g"})
	if a := l.apply(create("g", 2)); a.Code != result.ChangeExists {
		t.Errorf("create while the deleted group still has members: code %d, want change-exists", a.Code)
	}
	l.mustApply(assign("g", l.epoch("g")))
	l.mustApply(create("g", 2))
	if g := l.state.Groups["g"]; g.Generation <= old || g.Epoch != 0 {
		t.Errorf("generation %d after %d, epoch %d; want a later generation and epoch 0", g.Generation, old, g.Epoch)
	}
	if v := l.state.VMs["w0"]; v.Phase != fleet.VMLeaving {
		t.Errorf("member of the deleted group is %s before it confirmed leaving, want leaving", v.Phase)
	}
}

func TestVMChangesAffectServingGroup(t *testing.T) {
	for _, c := range []struct {
		name    string
		command *fleet.Command
		phase   string
		reform  bool
	}{
		{"label outside the selector", &fleet.Command{Kind: fleet.KindLabelVM, Label: &fleet.LabelChange{VM: "w0", Set: map[string]string{"x": "y"}}}, "serving", false},
		{"label that the selector excludes", &fleet.Command{Kind: fleet.KindLabelVM, Label: &fleet.LabelChange{VM: "w0", Set: map[string]string{"gpu": "broken"}}}, "serving", true},
		{"operator drains a member", &fleet.Command{Kind: fleet.KindDrainVM, Label: &fleet.LabelChange{VM: "w0", Drain: true}}, "draining", true},
		{"member is listed as leaving", &fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: "w0", Listing: fleet.ListingLeaving}}}, "draining", true},
		{"VM outside the group is listed as leaving", &fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: "w1", Listing: fleet.ListingLeaving}}}, "serving", false},
	} {
		l := newReplicatedLog(t, 4)
		l.mustApply(&fleet.Command{Kind: fleet.KindCreateGroup, Spec: &fleet.GroupSpec{
			Name: "g", Model: "m", Size: 2, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"new"}}},
		}})
		l.mustApply(assign("g", 0, "w0", "w2"))
		l.confirm("g", "w0", "w2")
		l.mustApply(c.command)
		g := l.state.Groups["g"]
		if g.Phase.String() != c.phase || g.NeedsReform != c.reform {
			t.Errorf("%s: %s, reform %t; want %s, %t", c.name, g.Phase, g.NeedsReform, c.phase, c.reform)
		}
	}
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	l := newReplicatedLog(t, 2)
	for _, c := range []struct {
		name    string
		command *fleet.Command
		code    result.Code
	}{
		{"no kind", &fleet.Command{}, result.ChangeInvalid},
		{"create without content", &fleet.Command{Kind: fleet.KindCreateGroup}, result.ChangeInvalid},
		{"label without content", &fleet.Command{Kind: fleet.KindLabelVM}, result.ChangeInvalid},
		{"limits without content", &fleet.Command{Kind: fleet.KindSetLimits}, result.ChangeInvalid},
		{"assign without content", &fleet.Command{Kind: fleet.KindAssign}, result.ChangeInvalid},
		{"bad name", create("Not A Name", 1), result.ChangeInvalid},
		{"no size", create("g", 0), result.ChangeInvalid},
		{"built-in label", &fleet.Command{Kind: fleet.KindLabelVM, Label: &fleet.LabelChange{VM: "w0", Set: map[string]string{"hall": "x"}}}, result.ChangeInvalid},
		{"unknown VM", &fleet.Command{Kind: fleet.KindDrainVM, Label: &fleet.LabelChange{VM: "x"}}, result.ChangeNotFound},
		{"unknown group", &fleet.Command{Kind: fleet.KindDeleteGroup, Group: "x"}, result.ChangeNotFound},
		{"negative limit", &fleet.Command{Kind: fleet.KindSetLimits, Limits: &fleet.LimitChange{Customer: "c", Limits: fleet.CustomerLimits{Concurrent: -1}}}, result.ChangeInvalid},
	} {
		before, _ := l.state.Marshal()
		a := l.apply(c.command)
		if a.Code != c.code {
			t.Errorf("%s: code %d, want %d", c.name, a.Code, c.code)
		}
		l.state.Revision = l.revision - 1
		after, _ := l.state.Marshal()
		if diff := cmp.Diff(before, after); diff != "" {
			t.Errorf("%s: refused command changed the state", c.name)
		}
		l.state.Revision = l.revision
	}
}
