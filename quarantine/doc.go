// Package quarantine decides which repeated requests are no longer sent to upstreams because upstreams crashed while running them.
package quarantine
