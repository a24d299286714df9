// Package link makes net/rpc calls to another daemon over one connection, and serves such connections. It decides when
// a connection is replaced.
package link
