// Package catalog is the replicated state machine of the configuration: it decides which version is in force and which halls are drained.
package catalog
