// Package catalog is the replicated state machine of a region's configuration: it decides which version is in force and which halls are
// drained.
package catalog
