// Package peer defines the calls between daemons and makes them over net/rpc, with mutual TLS if certificates are given.
package peer
