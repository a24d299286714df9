// Package planner decides which VMs form which group, as a pure function of the fleet and the policy.
package planner
