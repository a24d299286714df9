// Package daemon assembles one dunlinquay process from its settings and runs it. It decides when the process may
// serve callers, and connects the other packages to each other and to the network.
package daemon
