// Package quorum is the replicated log: elections with pre-vote, majority commit on synced disks, leases, snapshots and membership.
package quorum
