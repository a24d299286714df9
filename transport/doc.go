// Package transport creates HTTP clients that never resend a request on their own and check the heads of answers, and maps their errors to result codes.
package transport
