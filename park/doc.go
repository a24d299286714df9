// Package park starts goroutines in constructors and keeps them parked until Run releases them.
package park
