// Package dispatch sends admitted requests to serving groups and workers, and decides which failures are retried.
package dispatch
