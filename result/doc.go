// Package result defines the numbered result codes and the errors that carry them.
package result
