// Package routing chooses the group to which a request is sent: among the groups with all members present and free capacity, one that is
// expected to answer soon.
package routing
