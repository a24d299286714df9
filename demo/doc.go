// Package demo runs daemons and stand-in upstreams in one process, breaks things, and holds the promises against what happened.
package demo
