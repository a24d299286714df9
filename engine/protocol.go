package engine

import (
	"encoding/json"

	"github.com/dunlinquay/dunlinquay/ident"
)

// The paths of an engine's interface.
const (
	PathState    = "/engine/v1/state"
	PathOrders   = "/engine/v1/orders"
	PathGenerate = "/engine/v1/generate"
	PathCancel   = "/engine/v1/cancel"
	PathEvents   = "/engine/v1/events"
)

// Phase is an engine's own word for what it does.
type Phase string

// The phases of an engine.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
)

// State is an engine's answer to a probe.
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

// Fence orders the leaders of control: an engine that checks refuses a fence lower than the highest it has seen.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	return f.Term < other.Term || f.Term == other.Term && f.Sequence < other.Sequence
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderJoin  OrderKind = "join"
	OrderLeave OrderKind = "leave"
)

// Order tells an engine to join a group's epoch with a load, or to leave an epoch.
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

// Generate asks for an answer; From skips tokens that an earlier stream of the same request has given.
type Generate struct {
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
	// Prefixes are the chained hashes of the prompt's blocks, by which cache events name them.
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// Refusal is the body of an engine's answer when it has not run a request.
type Refusal struct {
	NotRun bool   `json:"not-run"`
	Epoch  bool   `json:"wrong-epoch"`
	Reason string `json:"reason"`
}

// Token is one line of an answer: the N-th token from 0, or with Done the end after N tokens.
type Token struct {
	Request ident.Request `json:"request"`
	Epoch   ident.Epoch   `json:"epoch"`
	N       int           `json:"n"`
	Text    string        `json:"text,omitempty"`
	Done    bool          `json:"done,omitempty"`
	Finish  string        `json:"finish,omitempty"`
	// PromptTokens comes with the end.
	PromptTokens int `json:"prompt-tokens,omitempty"`
}

// CacheEvents is what an engine publishes of its prefix cache, late and possibly with gaps.
type CacheEvents struct {
	// First is the sequence number of the first event; a number higher than asked for means a gap.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prefix block was stored or removed.
type CacheEvent struct {
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed"`
}
