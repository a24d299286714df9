// Package caller is the HTTP server for callers: the OpenAI-compatible interface, and plain HTTP calls of services. It
// authenticates customers, validates requests before dispatch, and decides what a caller learns of a failure: the status,
// the result code, when to retry, and whether the request is known not to have run.
package caller
