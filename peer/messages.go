package peer

import (
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

// Beat is the status that a daemon sends to every other one in each beat interval. Beats detect which daemons are live
// and carry probe results, demands and limits.
type Beat struct {
	From        ident.Daemon
	Hall        ident.Hall
	Incarnation ident.Incarnation
	Revision    ident.Revision
	Stopping    bool
	// Observations are the sender's newest probe results.
	Observations []presence.Observation
	// InFlight counts the sender's requests in progress at draining groups.
	InFlight map[ident.Group]int
	Demands  []admission.Demand
	// Held is the sender's evidence about request fingerprints under which upstreams crashed.
	Held []quarantine.Report
	// Limits are the rate limits of upstreams that the sender knows.
	Limits []Limit
}

// Limit is an upstream's newest rate limit as a daemon knows it; Rate 0 means that the upstream no longer has one.
type Limit struct {
	Upstream string
	Rate     ratelimit.Rate
	// Age is the time since the upstream advertised Rate.
	Age time.Duration
	// Own is set when the sender saw the limit in a response of the upstream itself.
	Own bool
	// Apart is set when the sender can't reach the upstream's coordinator and uses its local share of the limit.
	Apart bool
}

// PermitCall requests a permit for one request from the coordinator of an upstream.
type PermitCall struct {
	From     ident.Daemon
	Question ratelimit.PermitRequest[string]
}

// PermitReply is the coordinator's reply; Known is false if the receiver does not know the upstream's coordinator.
type PermitReply struct {
	Known  bool
	Answer ratelimit.PermitReply[string]
}

// BeatReply is the receiver's status.
type BeatReply struct {
	Incarnation ident.Incarnation
	// Current is set by a control member that has known every committed change at some time since its start.
	Current  bool
	Revision ident.Revision
	// Leaders names the leader of each instance as far as the receiver knows.
	Leaders map[quorum.Instance]ident.Daemon
	// Shares are the shares that the control leader leases to the sender of the beat; other daemons leave them empty.
	Shares map[ident.Customer]admission.Share
}

// FollowCall requests the commands after a revision, and waits up to WaitMillis if there are none.
type FollowCall struct {
	After      ident.Revision
	WaitMillis int64
}

// FollowReply holds commands, or a snapshot if the commands after the requested revision are no longer kept.
type FollowReply struct {
	Entries  []fleet.Entry
	Snapshot []byte
	Revision ident.Revision
}

// ProposeCall forwards a command to the leader of an instance.
type ProposeCall struct {
	Instance quorum.Instance
	Data     []byte
}

// ProposeReply holds the answer of the instance's state machine, or an error's code and message.
type ProposeReply struct {
	Answer []byte
	Index  quorum.Index
	Code   result.Code
	Text   string
}

// HelloReply describes a control member.
type HelloReply struct {
	ID       quorum.MemberID
	Formed   bool
	Expelled bool
	Members  []quorum.Member
}

// AdmitCall asks the leader of an instance to admit a member.
type AdmitCall struct {
	Instance quorum.Instance
	Member   ident.Daemon
}

// AdmitReply has the code OK, or an error's code and message.
type AdmitReply struct {
	Code result.Code
	Text string
}

// Empty is the argument or reply of a call without one.
type Empty struct{}

// DeliverCall carries messages of the replicated logs, of any instance.
type DeliverCall struct {
	Messages []quorum.Message
}
