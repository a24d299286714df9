// Package meter sets up metrics and the handler that serves them.
package meter
