// Package control does the work of the control leader: assessing VMs, planning groups and sending fenced orders.
package control
