package site

import (
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// Empty is an empty argument or reply.
type Empty struct{}

// DeliverCall carries messages of the replicated log.
type DeliverCall struct {
	Messages []quorum.Message
}

// HelloReply identifies a control daemon.
type HelloReply struct {
	ID     quorum.MemberID
	Formed bool
	// Leader is the peer address of the leader that the daemon follows, or "".
	Leader string
	// Controls are the peer addresses of the control daemons that the daemon knows.
	Controls []string
}

// JoinCall asks the leader to add a control daemon as a member.
type JoinCall struct {
	ID quorum.MemberID
}

// JoinReply says whether the receiver leads, and if not, which daemon does.
type JoinReply struct {
	Leads  bool
	Leader string
}

// LeadershipID identifies one daemon's term as leader; roster revisions can be compared only within it.
type LeadershipID string

// SyncCall asks the leader for updates; the leader holds the call until there are some, or for a hold time.
type SyncCall struct {
	From string
	Hall ident.Hall
	// Entry is set by daemons that take callers' requests.
	Entry      bool
	Leadership LeadershipID
	Revision   roster.Revision
	// Sums are the digests of the caller's copy of the roster, set when the copy may be from a former leader.
	Sums    *roster.Digests
	Version httproute.Version
	// Drains is the revision of the caller's drained halls.
	Drains catalog.DrainRevision
	// Uptime is how long the caller has been running.
	Uptime time.Duration
	// Whole is set by a daemon that needs the whole configuration instead of a patch.
	Whole  bool
	Seen   []relay.Observation
	Demand map[ident.Model]relay.Demand
	// Load is what the caller counted of the requests for each model.
	Load *siteload.Report
	// Entries are the digests of the caller's lists of entries.
	Entries map[ident.Hall]ListDigest
	// Held are quarantine reports, sent when the caller's set of them differs from the leader's; HeldSum is the digest
	// of the caller's set.
	Held    []quarantine.Report
	HeldSum uint64
	// Unread are unrecognized names from upstreams that the leader has not received yet.
	Unread map[ident.Incarnation][]string
}

// ListDigest is the digest of a list of addresses, 0 for an empty list.
type ListDigest uint64

// SyncReply holds the leader's updates. Unless Leads is set, only Leader, Controls, and the committed configuration and
// drained halls are valid.
type SyncReply struct {
	Leads      bool
	Leader     string
	Controls   []string
	Leadership LeadershipID
	// Usable is set when Changes are to be applied: a leader that has not received the reports of all upstreams yet
	// knows less than a copy of its predecessor's roster.
	Usable  bool
	Changes roster.Delta
	// Packed is the whole roster, compressed, in place of Changes.
	Packed []byte
	// Version is set when the caller's version is older, with either Config, the whole packed configuration, or Patch,
	// which turns the caller's configuration into this one.
	Version httproute.Version
	Config  []byte
	Patch   []byte
	// Drained are the drained halls, nil when the caller has this revision.
	Drained *catalog.Drained
	// Totals are the requests of all entries at each upstream, encoded by encodeTotals.
	Totals []byte
	// Load holds the sums of what all entries counted of the requests for each model.
	Load *siteload.Summary
	// Limits are the upstreams' limits that entries need (see limitSummaries).
	Limits map[ident.Incarnation]LimitSummary
	// Entries is how many entries there are. Lists are the lists of halls of which the caller has another list;
	// ListChanges are sent instead where the leader knows the caller's list.
	Entries int
	// NewEntryFraction is the fraction of the entries that started within the window of the retry budget, 0 if it is
	// not known.
	NewEntryFraction float64
	Lists            []EntryList
	ListChanges      []ListChange
	// PackedLists are all lists, compressed, in place of Lists.
	PackedLists []byte
	// Held and HeldSum are the leader's quarantine reports and their digest, as in SyncCall.
	Held    []quarantine.Report
	HeldSum uint64
}

// EntryList holds the peer addresses of the entries of one hall, in order.
type EntryList struct {
	Hall    ident.Hall
	Entries []string
}

// CallKind is the kind of a call that is forwarded to the leader.
type CallKind string

// The calls of upstreams and operators that a daemon forwards to the leader.
const (
	CallReport  CallKind = "report"
	CallLeave   CallKind = "leave"
	CallReplace CallKind = "replace"
	CallRead    CallKind = "read"
	CallInspect CallKind = "inspect"
	CallDrain   CallKind = "drain"
	CallRelease CallKind = "release"
	CallHall    CallKind = "hall"
)

// ForwardedCall is one call that only the leader can answer.
type ForwardedCall struct {
	Kind CallKind
	// From is the daemon that received the call.
	From     string
	Reports  []*roster.Report
	Upstream ident.Incarnation
	Version  httproute.Version
	Body     []byte
	// Drain is set for CallDrain, Hall for CallHall.
	Drain *catalog.DrainOrder
	Hall  ident.Hall
	// Release is set for CallRelease.
	Release string
}

// ReleaseCall ends the quarantine of a content or a part of prompts.
type ReleaseCall struct {
	Name string
}

// ForwardedReply is the leader's answer; Code is 0 when the call succeeded.
type ForwardedReply struct {
	Code    result.Code
	Text    string
	Address string
	// Version and Body are the configuration, for CallRead.
	Version httproute.Version
	Body    []byte
	// State is set for CallInspect.
	State *State
	// HallOrder is set for CallHall and CallDrain.
	HallOrder HallOrder
}

// HallOrder is the newest order on a hall.
type HallOrder struct {
	// Number is 0 before the first order.
	Number catalog.OrderNumber
	// Age is how long ago the leader's process applied it, or read it from a snapshot.
	Age time.Duration
}

// HallCall asks for the newest order on a hall.
type HallCall struct {
	Hall ident.Hall
}

const (
	// minSyncHold is how long the leader holds a sync call without updates; entries report their load at this interval.
	// With many entries it is syncHoldPerEntry for each, maxSyncHold at most: replies to hundreds of entries would
	// otherwise fill the leader's link.
	minSyncHold      = 100 * time.Millisecond
	syncHoldPerEntry = 1500 * time.Microsecond
	maxSyncHold      = 500 * time.Millisecond
	// syncGatherPerEntry is the time for each entry over which updates are gathered, maxSyncGather its bound.
	syncGatherPerEntry = 300 * time.Microsecond
	maxSyncGather      = 150 * time.Millisecond
)

// holdTime is how long a leader with this many entries holds a sync call without updates.
func holdTime(entries int) time.Duration {
	return min(maxSyncHold, max(minSyncHold, time.Duration(entries)*syncHoldPerEntry))
}

// gatherTime is how long a leader with this many entries gathers updates before it replies.
func gatherTime(entries int) time.Duration {
	return min(maxSyncGather, time.Duration(entries)*syncGatherPerEntry)
}
