// Package ratelimit keeps all callers of an upstream together within the requests a second that it says it takes.
package ratelimit
