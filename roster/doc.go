// Package roster is the soft state of upstreams and groups: what upstreams report, what the leader formed, and copies of both.
package roster
