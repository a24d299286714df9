// Package ident holds the named types for the ids and units that every other package shares.
package ident
