// Package backoff keeps which upstreams requested a backoff from this VM or announced that they are leaving.
package backoff
