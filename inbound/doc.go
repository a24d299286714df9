// Package inbound is an HTTP server for callers whose limits on headers and idle time can change while connections are open.
package inbound
