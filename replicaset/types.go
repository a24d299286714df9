package replicaset

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// Action is what an order asks of an engine.
type Action string

// The actions.
const (
	ActionJoin  Action = "join"
	ActionOpen  Action = "open"
	ActionClose Action = "close"
	ActionLeave Action = "leave"
	ActionStage Action = "stage"
)

// Order is one instruction to one engine.
type Order struct {
	To      ident.Incarnation
	Address string
	Action  Action
	Group   ident.Group
	Epoch   ident.Epoch
	Model   ident.Model
	Members []ident.Incarnation
	// Fence rises with every leader; an engine refuses a lower one than it has seen.
	Fence uint64
	// Context is what was known of the engine when the order was given.
	Context OrderContext
}

// OrderContext is what a leader knew of an engine when it gave it an order, for operators.
type OrderContext struct {
	// LastReport is the membership that the engine last reported, LastReportAgeMS how old that report was.
	LastReport      string `json:"was"`
	LastReportAgeMS int64  `json:"age-ms"`
	// Head is the head of that group where the leader has it, HeadLastReport what that last reported, HeadLastReportAgeMS how long ago.
	Head                ident.Incarnation `json:"head,omitempty"`
	HeadLastReport      string            `json:"head-is,omitempty"`
	HeadLastReportAgeMS int64             `json:"head-age-ms,omitempty"`
	// Ended is how the leader ended that group: over for certain, or lost, and how long ago.
	Ended      string `json:"ended,omitempty"`
	EndedAgoMS int64  `json:"ended-ago-ms,omitempty"`
	// LeaveOutcome is what became of the order to leave that group, Late is set when an order to join it may still be carried out.
	LeaveOutcome Outcome `json:"left,omitempty"`
	JoinPending  bool    `json:"late,omitempty"`
}

// Outcome is what became of an order.
type Outcome string

// The outcomes.
const (
	// OutcomeAccepted means begun, or already so.
	OutcomeAccepted Outcome = "taken"
	// OutcomeRefused means that the engine's state does not fit.
	OutcomeRefused Outcome = "refused"
	// OutcomeFenced means that a newer leader has given orders.
	OutcomeFenced Outcome = "fenced"
	// OutcomeWrongIncarnation means that another life answers at the address.
	OutcomeWrongIncarnation Outcome = "stranger"
	// OutcomeUnknown means that nothing is known; the order may be carried out later.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeConnectionRefused means that the connection was refused: nothing listens at the address, or what is between refuses.
	OutcomeConnectionRefused Outcome = "unreached"
)

// Observation is what entries saw of a group's head.
type Observation struct {
	// SinceLastResponse is how long ago the head last sent anything, to any entry.
	SinceLastResponse time.Duration
	// StalledFor is how long requests at the head have waited without a sign, at the entry that waits longest; 0 when none.
	StalledFor time.Duration
	// StallConfirmed is set when entries found together that the group has missed a pass.
	StallConfirmed bool
	// ConnectionRefused is set when a connection to the head was refused after it last answered.
	ConnectionRefused bool
	// EventGap is the mean time between events of the group's streams of late, 0 when too few came.
	EventGap time.Duration
	// BlamedMember is the id of the member that the head named as the cause of a failure.
	BlamedMember string
}

// Snapshot is what one step decides on.
type Snapshot struct {
	Now       time.Time
	Upstreams []roster.Upstream
	// ReportAges are the times since the last reports.
	ReportAges   map[ident.Incarnation]time.Duration
	Observations map[ident.Group]Observation
	// Unreachable are upstreams that took no connection and have not reported since.
	Unreachable map[ident.Incarnation]bool
	// DrainedHalls are the halls that get no requests, so nothing is formed there.
	DrainedHalls map[ident.Hall]bool
	// Slowdowns are those of the upstreams that say that they are slow: how many times longer all takes.
	Slowdowns map[ident.Incarnation]float64
	// Demand is the work asked for by model, in upstream-seconds a second; nil while unknown.
	Demand map[ident.Model]float64
}
