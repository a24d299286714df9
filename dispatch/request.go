package dispatch

import (
	"encoding/json"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// Request is one caller's request to a model.
type Request struct {
	ID       ident.Request
	Customer ident.Customer
	Class    ident.Class
	Priority int
	Deadline time.Time
	Model    ident.Model
	Adapter  string
	Chat     bool
	// Prompt and Options are the JSON that the caller sent.
	Prompt    json.RawMessage
	Options   json.RawMessage
	MaxTokens ident.Tokens
	// PromptTokens is an estimate from the prompt's length.
	PromptTokens ident.Tokens
	Streamed     bool
	// Deterministic is set if the same request gives the same tokens, so that another group can continue a stream.
	Deterministic bool
	// Repeatable requests may run more than once; others run at most once and need Key and Digest.
	Repeatable bool
	Key        string
	Digest     ledger.Digest
	// Content is the digest of the request's path and body.
	Content ident.ContentHash
	// PromptParts are the digests of the messages of a chat; the last one belongs to this request.
	PromptParts []ident.PromptPart
}

func (r *Request) crashKeys() crashKeys {
	keys := crashKeys{content: quarantine.Fingerprint{Customer: r.Customer, Content: r.Content}}
	for _, part := range r.PromptParts {
		keys.parts = append(keys.parts, quarantine.PartFingerprint("", r.Model, part))
	}
	return keys
}

// Answer is the complete answer to a request.
type Answer struct {
	Text         string `json:"text"`
	Finish       string `json:"finish"`
	Tokens       int    `json:"tokens"`
	PromptTokens int    `json:"prompt-tokens"`
}

// Call is one caller's call of a plain service.
type Call struct {
	ID       ident.Request
	Customer ident.Customer
	Class    ident.Class
	Priority int
	Deadline time.Time
	Service  ident.Service
	Method   string
	Path     string
	Query    string
	Header   map[string][]string
	Body     []byte
	// Repeatable allows a retry after the call may have run.
	Repeatable bool
	// AtMostOnce makes the call run at most once, under a claim in the ledger; it needs Key and Digest. A call that is not repeatable and has
	// no claim is not retried once it may have run, and may run again if the caller repeats it.
	AtMostOnce bool
	Key        string
	Digest     ledger.Digest
	// Content is the digest of the call's path and body.
	Content ident.ContentHash
}

func (c *Call) crashKeys() crashKeys {
	return crashKeys{content: quarantine.Fingerprint{Customer: c.Customer, Content: c.Content}}
}

// Reply is the complete reply of a plain service.
type Reply struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Timing describes one finished request for metrics and logs.
type Timing struct {
	Request  ident.Request
	Customer ident.Customer
	Class    ident.Class
	// Group and Epoch are those of the last attempt.
	Group ident.Group
	Epoch ident.Epoch
	// AdmissionWait is the time until admission, excluding the claim.
	AdmissionWait time.Duration
	// FirstToken is the time until the first token, excluding the claim; for calls it is the total time.
	FirstToken time.Duration
	// Total is the time until the end of the request.
	Total time.Duration
	// Tokens is the number of tokens generated.
	Tokens   int
	Attempts int
	Err      error
}
