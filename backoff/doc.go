// Package backoff keeps what upstreams asked of this VM: to be sent nothing for a time, or nothing any more because they leave.
package backoff
