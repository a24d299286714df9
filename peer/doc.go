// Package peer carries the calls between daemons over net/rpc, with mutual TLS when certificates are given.
package peer
