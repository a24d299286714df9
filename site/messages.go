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
)

// Empty is an empty argument or reply.
type Empty struct{}

// DeliverCall carries messages of the replicated log.
type DeliverCall struct {
	Messages []quorum.Message
}

// HelloReply tells who a control daemon is.
type HelloReply struct {
	ID     quorum.MemberID
	Formed bool
	// Leader is the peers' address of the leader that it follows, or nothing.
	Leader string
	// Controls are the peers' addresses of the control daemons that it knows.
	Controls []string
}

// JoinCall asks the leader to take a control daemon in.
type JoinCall struct {
	ID quorum.MemberID
}

// JoinReply tells whether the receiver leads, and if not, who does.
type JoinReply struct {
	Leads  bool
	Leader string
}

// LeadershipID names the time in which one leader's revisions count.
type LeadershipID string

// SyncCall asks the leader for what is new; it waits there until something is.
type SyncCall struct {
	From string
	Hall ident.Hall
	// Entry is set by daemons that take callers' requests.
	Entry      bool
	Leadership LeadershipID
	Revision   roster.Revision
	// Sums are the digests of the caller's copy of the roster, when it may be of a former leader.
	Sums    *roster.Digests
	Version httproute.Version
	// Drains is the revision of the drained halls that the caller has.
	Drains catalog.DrainRevision
	// Whole is set by a daemon that needs the configuration whole.
	Whole  bool
	Seen   []relay.Observation
	Demand map[ident.Model]relay.Demand
	// Entries names the lists of entries that the caller has.
	Entries map[ident.Hall]ListDigest
	// Held tells of works under which upstreams ended, when the caller knows of others than the leader; HeldSum is the digest of all
	// that it has to tell.
	Held    []quarantine.Report
	HeldSum uint64
	// Unread are words of upstreams that nothing reads, which the leader was not told of yet.
	Unread map[ident.Incarnation][]string
}

// ListDigest is a digest of a list of addresses, 0 of none.
type ListDigest uint64

// SyncReply is what is new at the leader. Unless Leads is set, only Leader and Controls count.
type SyncReply struct {
	Leads      bool
	Leader     string
	Controls   []string
	Leadership LeadershipID
	// Usable is set when Changes are to be applied: a leader that has not heard of all upstreams yet knows less than a
	// copy of its predecessor's roster.
	Usable  bool
	Changes roster.Delta
	// Packed is the whole roster in place of Changes.
	Packed []byte
	// Version is set when the caller's version is older, and either Config, which is the whole packed configuration, or Patch,
	// which makes it of the caller's.
	Version httproute.Version
	Config  []byte
	Patch   []byte
	// Drained are the drained halls, nil when the caller has this revision of them.
	Drained *catalog.Drained
	// Totals are the requests of all entries at each upstream (totals.go).
	Totals []byte
	// Limits are the limits of upstreams that entries were told of lately.
	Limits map[ident.Incarnation]LimitSummary
	// Entries is how many entries there are, Lists are those of the halls of which the caller has another list, ListChanges what leads to
	// them where that is known.
	Entries     int
	Lists       []EntryList
	ListChanges []ListChange
	// PackedLists are all lists in place of Lists.
	PackedLists []byte
	// Held and HeldSum are what the leader knows of such works, as in the call.
	Held    []quarantine.Report
	HeldSum uint64
}

// EntryList holds the peers' addresses of the entries of one hall, in order.
type EntryList struct {
	Hall    ident.Hall
	Entries []string
}

// CallKind says which call of an upstream or an operator is passed on.
type CallKind string

// The calls that a daemon passes on to the leader.
const (
	CallReport  CallKind = "report"
	CallLeave   CallKind = "leave"
	CallReplace CallKind = "replace"
	CallRead    CallKind = "read"
	CallInspect CallKind = "inspect"
	CallDrain   CallKind = "drain"
)

// ForwardedCall is one call that the leader must answer.
type ForwardedCall struct {
	Kind CallKind
	// From is the daemon that took the call.
	From     string
	Reports  []*roster.Report
	Upstream ident.Incarnation
	Version  httproute.Version
	Body     []byte
	// Drain is an order on a hall.
	Drain *catalog.DrainOrder
}

// ForwardedReply is the leader's answer; Code is 0 when the call succeeded.
type ForwardedReply struct {
	Code    result.Code
	Text    string
	Address string
	// Version and Body are the configuration that was read.
	Version httproute.Version
	Body    []byte
	// State answers CallInspect.
	State *State
}

const (
	// minSyncHold is how long the leader keeps a call for news, as often entries tell their load; syncHoldPerEntry is the same for
	// each entry where there are many, maxSyncHold bounds it: calls of hundreds of entries would otherwise fill the
	// leader's link.
	minSyncHold      = 100 * time.Millisecond
	syncHoldPerEntry = 1500 * time.Microsecond
	maxSyncHold      = 500 * time.Millisecond
	// syncGatherPerEntry is how long news are gathered for each entry, maxSyncGather bounds it.
	syncGatherPerEntry = 300 * time.Microsecond
	maxSyncGather      = 150 * time.Millisecond
)

// holdTime is how long a leader with so many entries keeps a call for news.
func holdTime(entries int) time.Duration {
	return min(maxSyncHold, max(minSyncHold, time.Duration(entries)*syncHoldPerEntry))
}

// gatherTime is how long it gathers news before it answers.
func gatherTime(entries int) time.Duration {
	return min(maxSyncGather, time.Duration(entries)*syncGatherPerEntry)
}
