package dispatch

import (
	"encoding/json"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// Request is one caller's request for a model's answer.
type Request struct {
	ID       ident.Request
	Customer ident.Customer
	Class    ident.Class
	Priority int
	Deadline time.Time
	Model    ident.Model
	Adapter  string
	Chat     bool
	// Prompt and Options are JSON as the caller sent them.
	Prompt    json.RawMessage
	Options   json.RawMessage
	MaxTokens ident.Tokens
	// PromptTokens is an estimate from the prompt's length.
	PromptTokens ident.Tokens
	Streamed     bool
	// Deterministic is set when the same request gives the same tokens, so that another group can go on with a stream.
	Deterministic bool
	// Repeatable requests may run more than once; the others need Key and Digest.
	Repeatable bool
	Key        string
	Digest     ledger.Digest
	// Content is the digest of the request's path and body.
	Content ident.Content
}

func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint{Customer: r.Customer, Content: r.Content}
}

// Answer is the whole answer to a request.
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
	// Repeatable calls may be sent again after they may have run; Once calls run at most once and need Key and Digest.
	// A call that is neither is sent once and not remembered.
	Repeatable bool
	Once       bool
	Key        string
	Digest     ledger.Digest
	// Content is the digest of the call's path and body.
	Content ident.Content
}

func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint{Customer: c.Customer, Content: c.Content}
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Timing is what one request took, for metrics and logs.
type Timing struct {
	Request  ident.Request
	Customer ident.Customer
	Class    ident.Class
	// Group and Epoch are those of the last try.
	Group ident.Group
	Epoch ident.Epoch
	// Wait is the time until admission, First until the first token, Total until the end.
	Wait  time.Duration
	First time.Duration
	Total time.Duration
	// Tokens is the number of tokens generated.
	Tokens int
	Tries  int
	Err    error
}
