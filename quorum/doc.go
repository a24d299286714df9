// Package quorum implements a replicated log after Raft: elections with pre-vote, commits on a majority of synced
// disks, leader leases, snapshots and membership changes.
package quorum
