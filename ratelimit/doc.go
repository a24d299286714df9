// Package ratelimit keeps all entries together within the request rates that upstreams advertise as their limits.
package ratelimit
