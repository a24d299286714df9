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
	// Known is what was known of the engine when the order was given.
	Known Known
}

// Known is what a leader knew of an engine when it gave it an order, for operators.
type Known struct {
	// Was is the membership that the engine last reported, AgeMS how old that report was.
	Was   string `json:"was"`
	AgeMS int64  `json:"age-ms"`
	// Head is the head of that group where the leader has it, HeadIs what that last reported, HeadAgeMS how long ago.
	Head      ident.Incarnation `json:"head,omitempty"`
	HeadIs    string            `json:"head-is,omitempty"`
	HeadAgeMS int64             `json:"head-age-ms,omitempty"`
	// Ended is how the leader ended that group: over for certain, or lost, and how long ago.
	Ended      string `json:"ended,omitempty"`
	EndedAgoMS int64  `json:"ended-ago-ms,omitempty"`
	// Left is what became of the order to leave that group, Late is set when an order to join it may still be carried out.
	Left Outcome `json:"left,omitempty"`
	Late bool    `json:"late,omitempty"`
}

// Outcome is what became of an order.
type Outcome string

// The outcomes.
const (
	// OutcomeTaken means begun, or already so.
	OutcomeTaken Outcome = "taken"
	// OutcomeRefused means that the engine's state does not fit.
	OutcomeRefused Outcome = "refused"
	// OutcomeFenced means that a newer leader has given orders.
	OutcomeFenced Outcome = "fenced"
	// OutcomeStranger means that another life answers at the address.
	OutcomeStranger Outcome = "stranger"
	// OutcomeUnknown means that nothing is known; the order may be carried out later.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnreached means that the connection was refused: nothing listens at the address, or what is between refuses.
	OutcomeUnreached Outcome = "unreached"
)

// Sight is what entries saw of a group's head.
type Sight struct {
	// Answered is how long ago the head last sent anything, to any entry.
	Answered time.Duration
	// Stalled is how long requests at the head have waited without a sign, at the entry that waits longest; 0 when none.
	Stalled time.Duration
	// Stands is set when entries found together that the group has missed a pass.
	Stands bool
	// Refused is set when a connection to the head was refused after it last answered.
	Refused bool
	// Pause is the mean time between events of the group's streams of late, 0 when too few came.
	Pause time.Duration
	// Blamed is the id of the member that the head named as the cause of a failure.
	Blamed string
}

// World is what one step decides on.
type World struct {
	Now       time.Time
	Upstreams []roster.Upstream
	// Ages are the times since the last reports.
	Ages   map[ident.Incarnation]time.Duration
	Sights map[ident.Group]Sight
	// Dead are upstreams that took no connection and have not reported since.
	Dead map[ident.Incarnation]bool
	// Drained are the halls that get no requests, so nothing is formed there.
	Drained map[ident.Hall]bool
	// Paces are those of the upstreams that say that they are slow: how many times longer all takes.
	Paces map[ident.Incarnation]float64
	// Demand is the work asked for by model, in upstream-seconds a second; nil while unknown.
	Demand map[ident.Model]float64
}
