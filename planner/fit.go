package planner

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
)

// Fit says why a VM can or cannot join a group now; planning and explain share it.
type Fit uint8

// The reasons, of which only FitYes lets a VM join.
const (
	FitYes Fit = iota
	FitInGroup
	FitLeavingGroup
	FitLeavingPlatform
	FitDrained
	FitAbsent
	FitFlapping
	FitSelector
)

// String returns the reason in words.
func (f Fit) String() string {
	return [...]string{
		"fits", "held by a group", "leaving its last group", "leaving the platform", "drained by an operator",
		"absent", "flapping", "selector",
	}[f]
}

const (
	flapWaitBase     = 5 * time.Second
	maxFlapWait      = 5 * time.Minute
	maxFlapDoublings = 6
)

// requiredStability is how long a VM must have been there before it is used again, doubled by each recent loss.
func requiredStability(flaps int) time.Duration {
	if flaps < 2 {
		return 0
	}
	return min(flapWaitBase<<min(flaps, maxFlapDoublings), maxFlapWait)
}

// Steady reports whether the VM has been there for long enough to be used again.
func (v *VM) Steady() bool {
	return v.StableFor >= requiredStability(v.Flaps)
}

// freeFit says whether VM i could be given to any group at all.
func (s *Snapshot) freeFit(i int) Fit {
	v := &s.VMs[i]
	switch {
	case v.Listing != fleet.ListingLive:
		return FitLeavingPlatform
	case v.Drained:
		return FitDrained
	case v.Phase == fleet.VMLeaving:
		return FitLeavingGroup
	case v.Phase != fleet.VMFree:
		return FitInGroup
	case v.Condition != ConditionPresent:
		return FitAbsent
	case !v.Steady():
		return FitFlapping
	}
	return FitYes
}

// fit says whether VM i can join a group of that spec.
func (s *Snapshot) fit(spec *fleet.GroupSpec, i int) Fit {
	if spec.FailedRequirement(s.VMs[i].VM) != nil {
		return FitSelector
	}
	return s.freeFit(i)
}
