// Package planner decides which VMs form which group, when a group is drained or repaired, and explains to operators why a group is not
// complete. Its decisions are a pure function of a snapshot of the fleet and a policy.
package planner
