package planner

import (
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
)

// Fit is the reason why a VM can or cannot join a group now; Plan and Explain share it.
type Fit uint8

// The reasons. Only a VM with FitYes can join.
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

// String returns the reason as text for operators.
func (f Fit) String() string {
	return [...]string{
		"fits", "in another group", "leaving its last group", "leaving the platform", "drained by an operator",
		"absent", "flapping", "selector does not match",
	}[f]
}

// The required presence of a VM after several losses starts at flapWaitBase and doubles with each recent loss, at most maxFlapDoublings times.
const (
	flapWaitBase     = 5 * time.Second
	maxFlapWait      = 5 * time.Minute
	maxFlapDoublings = 6
)

// requiredStability is how long a VM must have been present before it is used again. A single recent loss requires no wait.
func requiredStability(flaps int) time.Duration {
	if flaps < 2 {
		return 0
	}
	return min(flapWaitBase<<min(flaps, maxFlapDoublings), maxFlapWait)
}

// Steady reports whether the VM has been present for long enough to be used again.
func (v *VM) Steady() bool {
	return v.StableFor >= requiredStability(v.Flaps)
}

// freeFit returns FitYes if VM i can join a group whose selector it matches.
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

// fit returns FitYes if VM i can join a group of that spec.
func (s *Snapshot) fit(spec *fleet.GroupSpec, i int) Fit {
	if spec.FailedRequirement(s.VMs[i].VM) != nil {
		return FitSelector
	}
	return s.freeFit(i)
}
