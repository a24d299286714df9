package fleet_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed gives the same command sequences in every run.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}

const (
	vmCount    = 6
	groupCount = 3
)

func randomVM(t *rapid.T) ident.VM {
	return ident.VM(fmt.Sprint("w", rapid.IntRange(0, vmCount-1).Draw(t, "vm")))
}

func randomGroup(t *rapid.T) ident.Group {
	return ident.Group(fmt.Sprint("g", rapid.IntRange(0, groupCount-1).Draw(t, "group")))
}

// randomCommand draws a valid or invalid command; most epochs are current ones, because commands on other epochs have no effect.
func randomCommand(t *rapid.T, s *fleet.State) *fleet.Command {
	name := randomGroup(t)
	epoch := ident.Epoch(rapid.Uint64Range(0, 30).Draw(t, "epoch"))
	if g := s.Groups[name]; g != nil && rapid.IntRange(0, 4).Draw(t, "right epoch") > 0 {
		epoch = g.Epoch
	}
	members := rapid.SliceOfN(rapid.Custom(randomVM), 0, 3).Draw(t, "members")
	vm := randomVM(t)
	vmEpoch := epoch
	if v := s.VMs[vm]; v != nil && rapid.IntRange(0, 4).Draw(t, "right vm epoch") > 0 {
		vmEpoch = v.Epoch
	}
	switch fleet.Kind(rapid.IntRange(int(fleet.KindCreateGroup), int(fleet.KindBreakGroup)).Draw(t, "kind")) {
	case fleet.KindCreateGroup:
		return create(name, rapid.IntRange(1, 3).Draw(t, "size"))
	case fleet.KindChangeGroup:
		c := create(name, rapid.IntRange(1, 3).Draw(t, "size"))
		c.Kind = fleet.KindChangeGroup
		return c
	case fleet.KindDeleteGroup:
		return &fleet.Command{Kind: fleet.KindDeleteGroup, Group: name}
	case fleet.KindLabelVM, fleet.KindDrainVM:
		return &fleet.Command{Kind: fleet.KindDrainVM, Label: &fleet.LabelChange{VM: vm, Drain: rapid.Bool().Draw(t, "drain")}}
	case fleet.KindSetListings:
		l := fleet.Listing(rapid.IntRange(0, 2).Draw(t, "listing"))
		return &fleet.Command{Kind: fleet.KindSetListings, Listings: []fleet.VMListing{{VM: vm, Listing: l}}}
	case fleet.KindDrainGroup:
		return &fleet.Command{Kind: fleet.KindDrainGroup, Assign: &fleet.Assignment{Group: name, BaseEpoch: epoch}}
	case fleet.KindBreakGroup:
		return &fleet.Command{Kind: fleet.KindBreakGroup, Assign: &fleet.Assignment{Group: name, BaseEpoch: epoch}}
	case fleet.KindConfirm:
		left := rapid.Bool().Draw(t, "left")
		return &fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: vm, Epoch: vmEpoch, Incarnation: "i", Left: left}}}
	}
	return assign(name, epoch, members...)
}

// checkInvariants checks that each VM is in at most one group, that members and their group agree on group and epoch, and that a serving
// group has all members joined.
func checkInvariants(t *rapid.T, s *fleet.State) {
	owner := map[ident.VM]ident.Group{}
	for _, g := range s.SortedGroups() {
		joined := 0
		for _, name := range g.Members {
			if other, ok := owner[name]; ok {
				t.Fatalf("VM %s is in groups %s and %s", name, other, g.Spec.Name)
			}
			owner[name] = g.Spec.Name
			v := s.VMs[name]
			if v.Group != g.Spec.Name || v.Epoch != g.Epoch || v.Phase == fleet.VMFree || v.Phase == fleet.VMLeaving {
				t.Fatalf("member %s of group %s in epoch %d is %s in group %q in epoch %d", name, g.Spec.Name, g.Epoch, v.Phase, v.Group, v.Epoch)
			}
			if v.Phase == fleet.VMJoined {
				joined++
			}
		}
		if g.Phase == fleet.GroupServing && (joined != len(g.Members) || joined == 0) {
			t.Fatalf("group %s serves with %d of %d members joined", g.Spec.Name, joined, len(g.Members))
		}
	}
	for _, v := range s.SortedVMs() {
		if _, member := owner[v.Name]; !member && (v.Phase == fleet.VMJoined || v.Phase == fleet.VMJoining) {
			t.Fatalf("VM %s is %s but in no group's member list", v.Name, v.Phase)
		}
	}
}

func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet.NewState()
		follower := fleet.NewMachine()
		var vms []fleet.VM
		for i := range vmCount {
			vms = append(vms, fleet.VM{Name: ident.VM(fmt.Sprint("w", i)), Accelerators: 1})
		}
		commands := []*fleet.Command{{Kind: fleet.KindRegisterVMs, VMs: vms}}
		n := rapid.IntRange(20, 150).Draw(t, "commands")
		restart := rapid.IntRange(0, n).Draw(t, "restart")
		epochs := map[ident.Group]ident.Epoch{}
		for i := range n {
			c := commands[0]
			if i > 0 {
				c = randomCommand(t, s)
			}
			data, err := fleet.Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			revision := ident.Revision(i + 1)
			answer := s.Apply(revision, c)
			if followerAnswer := follower.Apply(revision, data); followerAnswer != answer {
				t.Fatalf("answers differ: %v from the state, %v from the follower", answer, followerAnswer)
			}
			checkInvariants(t, s)
			for name, g := range s.Groups {
				if g.Epoch < epochs[name] && g.Generation < ident.Revision(epochs[name]) {
					t.Fatalf("group %s: epoch decreased from %d to %d", name, epochs[name], g.Epoch)
				}
				epochs[name] = g.Epoch
			}
			if i == restart {
				// A follower restored from its snapshot must behave the same.
				snapshot, err := follower.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				follower = fleet.NewMachine()
				if err := follower.Restore(revision, snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
		stateBytes, _ := s.Marshal()
		followerBytes, _ := follower.Snapshot()
		if !bytes.Equal(stateBytes, followerBytes) {
			t.Fatal("same log gave different encoded states")
		}
	})
}

func TestMachineIgnoresOlderRevisions(t *testing.T) {
	m := fleet.NewMachine()
	data, err := fleet.Encode(create("g", 1))
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(5, data)
	old, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	newer, err := fleet.Encode(create("h", 1))
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(6, newer)
	for _, c := range []struct {
		name string
		do   func()
	}{
		{"older command", func() { m.Apply(3, data) }},
		{"newest command again", func() { m.Apply(6, data) }},
		{"older snapshot", func() { _ = m.Restore(5, old) }},
	} {
		c.do()
		if r := m.Revision(); r != 6 {
			t.Errorf("%s: revision %d, want 6", c.name, r)
		}
	}
	entries, ok := m.CommandsSince(5, 10)
	if !ok || len(entries) != 1 || entries[0].Revision != 6 {
		t.Errorf("Since(5): %v, %t; want the entry of revision 6", entries, ok)
	}
	restored := fleet.NewMachine()
	if err := restored.Restore(5, old); err != nil {
		t.Fatal(err)
	}
	if _, ok := restored.CommandsSince(2, 10); ok {
		t.Error("Since returned commands from before the snapshot that the machine was restored from")
	}
	if a := m.Apply(7, []byte{0xff}); a.Code != result.ChangeInvalid || m.Revision() != 7 {
		t.Errorf("undecodable command: code %d, revision %d; want change-invalid at revision 7", a.Code, m.Revision())
	}
}
