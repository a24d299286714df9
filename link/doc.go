// Package link keeps one net/rpc connection to another daemon and serves such connections.
package link
