// Package roster holds the soft state of upstreams and groups: the reports of upstreams, the groups that the leader
// formed, and copies of both.
package roster
