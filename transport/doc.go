// Package transport makes the HTTP clients that never send a request twice by themselves.
package transport
