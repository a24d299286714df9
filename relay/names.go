package relay

import "github.com/dunlinquay/dunlinquay/backoff"

// HeaderNames are the header names that callers and upstreams use; the adapter to a platform fills them in.
type HeaderNames struct {
	// RequestID names a request; upstreams repeat it in their answers.
	RequestID string
	// Deadline is how many milliseconds the caller still waits.
	Deadline string
	// Key is the caller's key, Customer the name that takes its place towards upstreams.
	Key      string
	Customer string
	// Incarnation names the life of the upstream that a request is meant for.
	Incarnation string
	// Signature stands in an answer that an upstream worked out.
	Signature string
	// NotRun stands in a refusal of an upstream that did not run the request.
	NotRun string
	// Blamed names the member that made a group fail.
	Blamed string
	// EventID is the last event that the caller has received.
	EventID string
	// Model names the model, Tokens has the prompt's tokens and the most tokens of the answer.
	Model  string
	Tokens string
	// AnswerEstimate is the caller's guess of the answer's tokens: right at the median, often far off.
	AnswerEstimate string
	// Priority orders requests at an engine; 0 goes first.
	Priority string
	// Backpressure are those in which upstreams ask for something.
	Backpressure backoff.HeaderNames
	// Application are headers of answers that are between the application and its callers.
	Application []string
}

// Recognized returns the headers of answers that are read here, or that are not meant for us.
func (n *HeaderNames) Recognized() []string {
	return append([]string{
		n.RequestID, n.Signature, n.NotRun, n.Blamed, n.EventID, n.Backpressure.Leaving, n.Backpressure.Limit,
	}, n.Application...)
}
