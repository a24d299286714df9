package replicaset

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// Action is the operation that an order requests from an engine.
type Action string

// The actions. ActionStage loads weights to the engine's host without joining a group.
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
	// Fence is the leader's fencing token; an engine refuses orders with a lower token than it has seen.
	Fence uint64
	// Context is logged with the order's outcome.
	Context OrderContext
}

// OrderContext is what the leader knew of an engine when it sent the order, for operators.
type OrderContext struct {
	// LastReport is the membership in the engine's last report.
	LastReport      string `json:"was"`
	LastReportAgeMS int64  `json:"age-ms"`
	// Head is the head of that group, if it has reported; HeadLastReport is the membership in the head's last report.
	Head                ident.Incarnation `json:"head,omitempty"`
	HeadLastReport      string            `json:"head-is,omitempty"`
	HeadLastReportAgeMS int64             `json:"head-age-ms,omitempty"`
	// Ended is "over" if the leader knows that the group has ended, and "lost" if the group's head may still serve.
	Ended      string `json:"ended,omitempty"`
	EndedAgoMS int64  `json:"ended-ago-ms,omitempty"`
	// LeaveOutcome is the outcome of the order to leave that group.
	LeaveOutcome Outcome `json:"left,omitempty"`
	// JoinPending is set when an order to join that group may still be carried out.
	JoinPending bool `json:"late,omitempty"`
}

// Outcome is the result of an order.
type Outcome string

// The outcomes.
const (
	// OutcomeAccepted means that the engine has started to carry out the order, or had already carried it out.
	OutcomeAccepted Outcome = "taken"
	// OutcomeRefused means that the order does not fit the engine's state.
	OutcomeRefused Outcome = "refused"
	// OutcomeFenced means that the engine has seen orders of a newer leader.
	OutcomeFenced Outcome = "fenced"
	// OutcomeWrongIncarnation means that another incarnation of the upstream answered.
	OutcomeWrongIncarnation Outcome = "stranger"
	// OutcomeUnknown means that no valid answer arrived; the order may be carried out later.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeConnectionRefused means that nothing listens at the address, or that a device on the path refused the connection.
	OutcomeConnectionRefused Outcome = "unreached"
)

// Observation merges what all entries observed of a group's head.
type Observation struct {
	// SinceLastResponse is the time since the head last sent anything to any entry.
	SinceLastResponse time.Duration
	// StalledFor is the longest time that requests of one entry have waited at the head without progress; 0 if none wait.
	StalledFor time.Duration
	// StallConfirmed is set when the entries together found that the group has missed an iteration.
	StallConfirmed bool
	// Pinned is the number of requests at the head that can't continue at another group.
	Pinned int
	// ConnectionRefused is set when a connection to the head was refused after the head's last response.
	ConnectionRefused bool
	// EventGap is the recent mean time between events of the group's streams; 0 after too few events.
	EventGap time.Duration
	// BlamedMember is the id of the member that the head named as the cause of a failure.
	BlamedMember string
}

// Snapshot is the state of the cluster that one step decides on.
type Snapshot struct {
	Now       time.Time
	Upstreams []roster.Upstream
	// ReportAges holds the time since each upstream's last report.
	ReportAges   map[ident.Incarnation]time.Duration
	Observations map[ident.Group]Observation
	// Unreachable holds upstreams that accepted no connection and have not reported since.
	Unreachable map[ident.Incarnation]bool
	// DrainedHalls get no requests, so no groups are formed there.
	DrainedHalls map[ident.Hall]bool
	// Slowdowns holds, for upstreams that report to be slow, how many times longer than usual their work takes.
	Slowdowns map[ident.Incarnation]float64
	// Demand is the requested work for each model, in upstream-seconds per second; nil while unknown.
	Demand map[ident.Model]float64
}
