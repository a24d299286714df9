// Package site runs the daemons of a self-forming site: entries before callers, and the control quorum that finds itself.
package site
