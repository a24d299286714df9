// Package standin is the listener that the stand-ins of upstreams share.
package standin
