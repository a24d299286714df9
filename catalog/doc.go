// Package catalog is the state machine of the replicated log that keeps the newest whole configuration.
package catalog
