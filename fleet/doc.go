// Package fleet is the replicated state machine of VMs, groups, limits and the changes made to them.
package fleet
