// Package routing chooses the whole group that answers a request soonest.
package routing
