package planner_test

import (
	"fmt"
	"testing"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
)

const (
	benchGroupSize  = 8
	benchDomainSize = 16
)

// benchState returns vms VMs in domains of 16 and as many groups of 8 as they can hold, pending or serving.
func benchState(vms int, serving bool) *fleet.State {
	s := fleet.NewState()
	for i := range vms {
		name := ident.VM(fmt.Sprintf("w%05d", i))
		s.VMs[name] = &fleet.VM{
			Name: name, Hall: ident.Hall(fmt.Sprint("h", i*21/vms)), Domain: ident.Domain(fmt.Sprint("d", i/benchDomainSize)),
			Accelerators: 8, Speed: 1, Labels: map[string]string{"gpu": "new"},
		}
	}
	for i := range vms / benchGroupSize {
		name := ident.Group(fmt.Sprintf("g%04d", i))
		g := &fleet.Group{Spec: fleet.GroupSpec{
			Name: name, Model: "m", Size: benchGroupSize, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"new"}}},
		}}
		s.Groups[name] = g
		for j := range benchGroupSize {
			if !serving {
				break
			}
			v := s.VMs[ident.VM(fmt.Sprintf("w%05d", i*benchGroupSize+j))]
			v.Group, v.Epoch, v.Phase = name, 1, fleet.VMJoined
			g.Members, g.Epoch, g.Phase = append(g.Members, v.Name), 1, fleet.GroupServing
		}
	}
	return s
}

func BenchmarkPlanFromScratch(b *testing.B) {
	for _, vms := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(vms, "-vms"), func(b *testing.B) {
			s := benchState(vms, false)
			for b.Loop() {
				if n := len(planner.Plan(planner.NewSnapshot(s), planner.DefaultPolicy())); n != vms/benchGroupSize {
					b.Fatalf("%d groups planned", n)
				}
			}
		})
	}
}

func BenchmarkPlanOneRepair(b *testing.B) {
	for _, vms := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(vms, "-vms"), func(b *testing.B) {
			s := benchState(vms, true)
			// A spare beside the group that loses a member.
			s.VMs["spare"] = &fleet.VM{Name: "spare", Hall: "h0", Domain: "d0", Accelerators: 8, Speed: 1, Labels: map[string]string{"gpu": "new"}}
			w := planner.NewSnapshot(s)
			w.VM("w00003").Condition = planner.ConditionLost
			for b.Loop() {
				if n := len(planner.Plan(w, planner.DefaultPolicy())); n != 1 {
					b.Fatalf("%d actions", n)
				}
			}
		})
	}
}

func BenchmarkNewWorld(b *testing.B) {
	for _, vms := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(vms, "-vms"), func(b *testing.B) {
			s := benchState(vms, true)
			for b.Loop() {
				planner.NewSnapshot(s)
			}
		})
	}
}

// BenchmarkStateBytes reports the size of the encoded state.
func BenchmarkStateBytes(b *testing.B) {
	for _, vms := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(vms, "-vms"), func(b *testing.B) {
			s := benchState(vms, true)
			var data []byte
			for b.Loop() {
				data, _ = s.Marshal()
			}
			b.ReportMetric(float64(len(data)), "state-bytes")
			b.ReportMetric(float64(len(data))/float64(vms), "bytes/vm")
		})
	}
}
