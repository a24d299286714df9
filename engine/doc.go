// Package engine is the client for the HTTP interface of model engines. It decides whether a failed request can have reached
// the engine and whether an answer is complete, and includes a stand-in engine for tests and the demo.
package engine
