// Package control is the work of the control leader: judging VMs, planning groups, giving fenced orders.
package control
