// Package standin holds the listeners that the stand-ins of upstreams and the tests of HTTP clients share.
package standin
