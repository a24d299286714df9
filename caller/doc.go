// Package caller speaks the OpenAI-compatible HTTP interface and plain HTTP towards callers.
package caller
