// Package soak runs a site's daemons as processes of their own between stand-ins of callers, upstreams and operators, breaks
// things from outside in random series, and checks the promises by what callers and upstreams see.
package soak
