package relay

import "github.com/dunlinquay/dunlinquay/backoff"

// HeaderNames are the header names that callers and upstreams use, as set by the adapter to a platform.
type HeaderNames struct {
	// RequestID identifies a request; upstreams repeat it in their answers.
	RequestID string
	// Deadline is the remaining time of the caller in ms.
	Deadline string
	// Key is the caller's key, which is replaced by the Customer's name towards upstreams.
	Key      string
	Customer string
	// Incarnation identifies the incarnation of the upstream that a request is sent to.
	Incarnation string
	// Signature is present in the answers that an upstream computed.
	Signature string
	// NotRun is present in the refusals of upstreams that did not run the request.
	NotRun string
	// Blamed is the member that made a group fail.
	Blamed string
	// EventID is the last event that the caller has received.
	EventID string
	// Model is the model, Tokens the prompt's tokens and the maximum tokens of the answer.
	Model  string
	Tokens string
	// PromptParts has the parts of the prompt in order, comma-separated as ID:TOKENS; the last one belongs to the request or its session.
	PromptParts string
	// AnswerEstimate is the caller's estimate of the answer's tokens, which is often far off for a single request.
	AnswerEstimate string
	// Priority orders requests at an engine; 0 is first.
	Priority string
	// Backpressure has the headers with which upstreams limit their senders.
	Backpressure backoff.HeaderNames
	// Application are the answer headers that the application defines for its callers.
	Application []string
}

// Recognized returns the answer headers that the relay reads or that are declared as the application's own.
func (n *HeaderNames) Recognized() []string {
	return append([]string{
		n.RequestID, n.Signature, n.NotRun, n.Blamed, n.EventID, n.Backpressure.Leaving, n.Backpressure.Limit,
	}, n.Application...)
}
