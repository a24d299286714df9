// Package vmlist reads the platform's list of VMs and converts the list's entries for the state machine. The list lags behind
// the actual state of the VMs.
package vmlist
