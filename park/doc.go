// Package park starts goroutines in constructors and blocks them until Run is called.
package park
