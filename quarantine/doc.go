// Package quarantine decides which work is not sent to upstreams any more because upstreams ended while they ran it.
package quarantine
