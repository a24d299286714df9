// Package daemon builds one dunlinquay process from its settings and runs it.
package daemon
