// Package ledger records claims and outcomes of not-repeatable requests, and decides whether a request may run, so that each runs at most
// once however often it is sent.
package ledger
