// Package stall detects groups of engines that have stalled, from when their next events are due and from the suspicions of several entries.
package stall
