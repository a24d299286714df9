// Package transport creates HTTP clients that never resend a request on their own, and maps their errors to result codes.
package transport
