// Package ledger remembers not-repeatable requests, so that each runs at most once however often it is sent.
package ledger
