package engine

import (
	"encoding/json"

	"github.com/dunlinquay/dunlinquay/ident"
)

// The paths of the engine's HTTP interface.
const (
	PathState    = "/engine/v1/state"
	PathOrders   = "/engine/v1/orders"
	PathGenerate = "/engine/v1/generate"
	PathCancel   = "/engine/v1/cancel"
	PathEvents   = "/engine/v1/events"
)

// Phase is the state of loading, as the engine reports it.
type Phase string

// The phases of an engine: no model assigned, loading one, ready to serve.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
)

// State is the body of an engine's answer to a state request.
type State struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Group       ident.Group       `json:"group"`
	Epoch       ident.Epoch       `json:"epoch"`
	Phase       Phase             `json:"phase"`
	Leaving     bool              `json:"leaving"`
	Slots       int               `json:"slots"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
}

// Fence is a fencing token that orders the commands of control leaders. An engine that checks orders refuses one whose fence is
// lower than the highest that the engine has seen.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f was issued before other.
func (f Fence) Less(other Fence) bool {
	return f.Term < other.Term || f.Term == other.Term && f.Sequence < other.Sequence
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderJoin  OrderKind = "join"
	OrderLeave OrderKind = "leave"
)

// Order instructs an engine to load a model and join an epoch of a group, or to leave an epoch.
type Order struct {
	Kind     OrderKind   `json:"kind"`
	Fence    Fence       `json:"fence"`
	Group    ident.Group `json:"group"`
	Epoch    ident.Epoch `json:"epoch"`
	Rank     int         `json:"rank"`
	Members  []string    `json:"members"`
	Model    ident.Model `json:"model"`
	Version  string      `json:"version"`
	Adapters []string    `json:"adapters"`
}

// OrderAnswer is an engine's answer to an order; Done is set once the order has taken effect.
type OrderAnswer struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Done        bool              `json:"done"`
	Reason      string            `json:"reason,omitempty"`
}

// GenerateRequest is the body of a request to generate text. From is the first token wanted; an earlier stream of the same request
// has delivered the tokens before it.
type GenerateRequest struct {
	Request   ident.Request   `json:"request"`
	Group     ident.Group     `json:"group"`
	Epoch     ident.Epoch     `json:"epoch"`
	Model     ident.Model     `json:"model"`
	Adapter   string          `json:"adapter,omitempty"`
	Chat      bool            `json:"chat"`
	Prompt    json.RawMessage `json:"prompt"`
	Options   json.RawMessage `json:"options,omitempty"`
	MaxTokens ident.Tokens    `json:"max-tokens"`
	Priority  int             `json:"priority"`
	From      int             `json:"from"`
	// Prefixes are the chained hashes of the prompt's blocks; cache events identify blocks by them.
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// Refusal is the body of an engine's answer to a call that failed. NotRun guarantees that the request was not run.
type Refusal struct {
	NotRun bool `json:"not-run"`
	// The request named a group or epoch that the engine is not in.
	WrongEpoch bool   `json:"wrong-epoch"`
	Reason     string `json:"reason"`
}

// Token is one line of an answer: token number N, counted from 0, or with Done the final line, where N is the token count.
type Token struct {
	Request ident.Request `json:"request"`
	Epoch   ident.Epoch   `json:"epoch"`
	N       int           `json:"n"`
	Text    string        `json:"text,omitempty"`
	Done    bool          `json:"done,omitempty"`
	Finish  string        `json:"finish,omitempty"`
	// PromptTokens is set in the final line only.
	PromptTokens int `json:"prompt-tokens,omitempty"`
}

// CacheEvents is a batch of changes of an engine's prefix cache. Events are published with a delay, and some may be missing.
type CacheEvents struct {
	// First is the sequence number of the first event; if higher than requested, the events before it are lost.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a prefix block was stored or, with Removed, evicted.
type CacheEvent struct {
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed"`
}
