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

// Beat is what a daemon tells every other one, a few times a second.
type Beat struct {
	From        ident.Daemon
	Hall        ident.Hall
	Incarnation ident.Incarnation
	Revision    ident.Revision
	Stopping    bool
	// Observations are the sender's newest probes, InFlight its requests at groups that drain.
	Observations []presence.Observation
	InFlight     map[ident.Group]int
	Demands      []admission.Demand
	// Held are works under which upstreams ended, as the sender knows them.
	Held []quarantine.Report
	// Limits are what the sender knows of the limits of upstreams.
	Limits []Limit
}

// Limit is what an upstream told a daemon of its limit, 0 for none any more, and how long ago.
type Limit struct {
	Upstream string
	Rate     ratelimit.Rate
	Age      time.Duration
	// Own is set when the upstream told the sender, Apart when the sender can't reach the coordinator and takes its own part.
	Own   bool
	Apart bool
}

// PermitCall asks the coordinator of an upstream for one request there.
type PermitCall struct {
	From     ident.Daemon
	Question ratelimit.PermitRequest[string]
}

// PermitReply is its answer, when Known is set.
type PermitReply struct {
	Known  bool
	Answer ratelimit.PermitReply[string]
}

// BeatReply is the receiver's side; Shares come from the control leader only.
type BeatReply struct {
	Incarnation ident.Incarnation
	// Current is set by a control member that has known everything accepted at some time since it started.
	Current  bool
	Revision ident.Revision
	// Leaders names the leader of each instance as far as the receiver knows.
	Leaders map[quorum.Instance]ident.Daemon
	Shares  map[ident.Customer]admission.Share
}

// FollowCall asks for the commands after a revision, waiting up to WaitMillis for the next one.
type FollowCall struct {
	After      ident.Revision
	WaitMillis int64
}

// FollowReply holds commands, or a snapshot when they are no longer kept.
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

// ProposeReply holds the state machine's answer for the instance, or the error's code and words.
type ProposeReply struct {
	Answer []byte
	Index  quorum.Index
	Code   result.Code
	Text   string
}

// HelloReply says who a control member is.
type HelloReply struct {
	ID       quorum.MemberID
	Formed   bool
	Expelled bool
	Members  []quorum.Member
}

// AdmitCall names the member to be admitted to an instance.
type AdmitCall struct {
	Instance quorum.Instance
	Member   ident.Daemon
}

// AdmitReply is OK, or the error's code and words.
type AdmitReply struct {
	Code result.Code
	Text string
}

// Nothing is the argument or reply of a call that needs none.
type Nothing struct{}

// DeliverCall carries log messages of any instance.
type DeliverCall struct {
	Messages []quorum.Message
}
