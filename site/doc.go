// Package site runs the daemons of a self-forming site: entries, which serve callers, and control daemons, which find
// each other, elect a leader, and replicate the configuration. The leader decides which upstreams form serving groups
// and keeps the entries up to date.
package site
