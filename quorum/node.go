package quorum

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/park"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	inboxLength          = 1024
	proposalsLength      = 4096
	maxDrained           = 2048
	ticksPerHeartbeat    = 2
	fullDiskRetry        = 500 * time.Millisecond
	defaultSnapshotEvery = 4096
	maxProposalBytes     = 4 << 20
	catchUpEntries       = 1024
)

// Status is a member's view at one moment.
type Status struct {
	ID      MemberID
	Formed  bool
	Role    Role
	Term    Term
	Leader  ident.Daemon
	Commit  Index
	Applied Index
	Members []Member
	// KnowsCommitted is set once since the start of the process this member has known everything that was committed before: a
	// log read from disk alone does not tell how much of it is.
	KnowsCommitted bool
	// Expelled is set when the leader proved that this folder lost synced entries.
	Expelled bool
	// LeaseEnd is the end of the leader's lease, Elected the moment it was elected; both zero on others.
	LeaseEnd  time.Time
	ElectedAt time.Time
	// LastContact is when a leader was heard last.
	LastContact time.Time
	// Followers is what a leader knows of the other members.
	Followers []Follower
}

// Follower is what a leader knows of one other member.
type Follower struct {
	ID MemberID
	// LastAck is when it last answered, or when this leader began to send to it.
	LastAck time.Time
	// LostData is set when it was proved to have lost what it had synced.
	LostData bool
}

type proposal struct {
	kind    EntryKind
	data    []byte
	members []Member
	done    chan proposalResult
}

type proposalResult struct {
	value any
	index Index
	err   error
}

type waiter struct {
	term Term
	done chan proposalResult
}

// Node drives one Core: it persists, sends and applies; exported fields are set before Run.
type Node struct {
	Instance Instance
	Timing   Timing
	Seed     uint64
	Now      func() time.Time
	// Send hands messages to the transport and must not block.
	Send func(messages []Message)
	// Apply executes a committed command; the same log gives the same calls on each member.
	Apply func(index Index, data []byte) any
	// TakeSnapshot and Restore write and read the whole state machine.
	TakeSnapshot func() ([]byte, error)
	Restore      func(index Index, data []byte) error
	// Applied is called after each batch of applied entries.
	Applied func(index Index)
	// Fatal is called once when the disk can no longer be trusted.
	Fatal         func(err error)
	SnapshotEvery Index
	Log           logr.Logger

	store     *Store
	tasks     *park.Group
	inbox     chan []Message
	proposals chan proposal
	transfers chan chan bool
	forms     chan []Member
	status    atomic.Pointer[Status]
	ready     chan struct{}
	readyOnce sync.Once

	core          *Core
	applied       Index
	snapshotIndex Index
	waiters       map[Index]waiter
}

// NewNode returns a node on store; its goroutine is parked until Run.
func NewNode(store *Store) *Node {
	n := &Node{
		SnapshotEvery: defaultSnapshotEvery,
		Now:           clock.Now,
		Applied:       func(Index) {},
		Log:           logr.Discard(),
		store:         store,
		tasks:         park.New(),
		inbox:         make(chan []Message, inboxLength),
		proposals:     make(chan proposal, proposalsLength),
		transfers:     make(chan chan bool),
		forms:         make(chan []Member),
		ready:         make(chan struct{}),
		waiters:       map[Index]waiter{},
	}
	n.status.Store(&Status{})
	n.tasks.Go(func(ctx context.Context) { n.loop(ctx) })
	return n
}

// Run takes part in the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.tasks.Run(ctx)
}

// Discard ends a node that will not run.
func (n *Node) Discard() {
	n.tasks.Discard()
}

// Ready is closed once the state of the disk has been restored.
func (n *Node) Ready() <-chan struct{} {
	return n.ready
}

// Status returns the newest view.
func (n *Node) Status() Status {
	return *n.status.Load()
}

// Deliver hands over messages from the transport; when the queue is full they are dropped, as a network may.
func (n *Node) Deliver(messages []Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Propose returns what Apply returned and the command's index, or NoLeader when it is not known whether the command will be applied.
func (n *Node) Propose(ctx context.Context, data []byte) (any, Index, error) {
	if len(data) > maxProposalBytes {
		return nil, 0, result.New(result.ProposalTooLarge, "%d bytes are over %d", len(data), maxProposalBytes)
	}
	return n.propose(ctx, proposal{kind: EntryCommand, data: data})
}

// ProposeMembers returns after the new members are committed.
func (n *Node) ProposeMembers(ctx context.Context, members []Member) error {
	_, _, err := n.propose(ctx, proposal{kind: EntryMembers, members: members})
	return err
}

func (n *Node) propose(ctx context.Context, p proposal) (any, Index, error) {
	p.done = make(chan proposalResult, 1)
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, 0, result.New(result.NoLeader, "the log takes no proposals")
	}
	select {
	case o := <-p.done:
		return o.value, o.index, o.err
	case <-ctx.Done():
		return nil, 0, result.New(result.NoLeader, "the change was not confirmed in time")
	}
}

// Form gives a never formed member its first members.
func (n *Node) Form(ctx context.Context, members []Member) {
	select {
	case n.forms <- members:
	case <-ctx.Done():
	}
}

// TransferLeadership asks the best follower to lead and reports whether one was asked.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	done := make(chan bool, 1)
	select {
	case n.transfers <- done:
		return <-done
	case <-ctx.Done():
		return false
	}
}

func (n *Node) loop(ctx context.Context) {
	if err := n.restoreState(); err != nil {
		n.Fatal(err)
		return
	}
	n.publish()
	n.readyOnce.Do(func() { close(n.ready) })
	ticker := time.NewTicker(max(n.Timing.Heartbeat/ticksPerHeartbeat, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.failWaiters(result.New(result.Stopping, "the member stops"))
			return
		case <-ticker.C:
			n.core.Tick(n.Now())
		case messages := <-n.inbox:
			n.step(messages)
		case p := <-n.proposals:
			n.acceptProposal(p)
			n.drainProposals()
			n.core.Flush(n.Now())
		case members := <-n.forms:
			n.core.Form(members)
		case done := <-n.transfers:
			done <- n.transferLeadership()
		}
		n.drainInbox()
		if err := n.process(ctx); err != nil {
			if ctx.Err() == nil {
				n.Fatal(err)
			}
			n.failWaiters(err)
			return
		}
	}
}

func (n *Node) restoreState() error {
	snapshot, hardState, entries, err := n.store.Load(n.Instance)
	if err != nil {
		return err
	}
	n.core = NewCore(n.store.ID(), n.Instance, n.Timing, n.Seed, n.Now(), snapshot, hardState, entries)
	if snapshot == nil {
		return nil
	}
	n.applied, n.snapshotIndex = snapshot.Index, snapshot.Index
	return n.Restore(snapshot.Index, snapshot.Data)
}

func (n *Node) step(messages []Message) {
	now := n.Now()
	for i := range messages {
		n.core.Step(now, &messages[i])
	}
}

func (n *Node) drainInbox() {
	for range maxDrained {
		select {
		case messages := <-n.inbox:
			n.step(messages)
		default:
			return
		}
	}
}

func (n *Node) drainProposals() {
	for range maxDrained {
		select {
		case p := <-n.proposals:
			n.acceptProposal(p)
		default:
			return
		}
	}
}

func (n *Node) acceptProposal(p proposal) {
	var index Index
	var ok bool
	if p.kind == EntryMembers {
		index, ok = n.core.ProposeMembers(n.Now(), p.members)
	} else {
		index, ok = n.core.Propose(n.Now(), p.kind, p.data)
	}
	if !ok {
		p.done <- proposalResult{err: result.New(result.NoLeader, "this member does not lead, or its last change of members is not yet committed")}
		return
	}
	n.waiters[index] = waiter{term: n.core.Status().Term, done: p.done}
}

func (n *Node) transferLeadership() bool {
	voter, ok := n.core.CaughtUpVoter()
	started := ok && n.core.TransferTo(n.Now(), voter)
	// Readers must not see the lease any more when the other member learns that it may lead.
	n.publish()
	return started
}

// process does what the core asks for, in the order that makes its promises true.
func (n *Node) process(ctx context.Context) error {
	for _, to := range n.core.TakeSnapshotRequests() {
		n.sendSnapshot(to)
	}
	rd := n.core.Ready()
	if len(rd.Appends) > 0 {
		n.Send(rd.Appends)
	}
	if rd.Install != nil {
		if err := n.install(ctx, rd.Install); err != nil {
			return err
		}
	}
	if rd.HardState != nil || len(rd.Entries) > 0 {
		if err := n.save(ctx, rd.HardState, rd.Entries); err != nil {
			return err
		}
	}
	if len(rd.Messages) > 0 {
		n.Send(rd.Messages)
	}
	if err := n.applyAll(ctx, rd.Committed); err != nil {
		return err
	}
	n.afterProcess()
	if more := n.core.commit > n.core.handedOut; more {
		return n.process(ctx)
	}
	return nil
}

func (n *Node) afterProcess() {
	if n.core.role != RoleLeader && len(n.waiters) > 0 {
		n.failWaiters(result.New(result.NoLeader, "this member lost the lead; the change may still be accepted"))
	}
	n.publish()
}

func (n *Node) failWaiters(err error) {
	for i, w := range n.waiters {
		w.done <- proposalResult{err: err}
		delete(n.waiters, i)
	}
}

func (n *Node) publish() {
	s := n.core.Status()
	s.Applied = n.applied
	s.KnowsCommitted = s.KnowsCommitted && n.applied >= n.core.firstCurrentTermCommit
	n.status.Store(&s)
}

// HoldsLease reports whether this member led with a majority's support at now, counted on its own clock.
func (n *Node) HoldsLease(now time.Time) bool {
	s := n.status.Load()
	return s.Role == RoleLeader && now.Before(s.LeaseEnd)
}

// PriorLeasesExpired reports whether every lease of an earlier leader has run out, clock drift included.
func (n *Node) PriorLeasesExpired(now time.Time) bool {
	s := n.status.Load()
	wait := time.Duration(float64(n.Timing.Lease) * clockDriftFactor)
	return s.Role == RoleLeader && now.Sub(s.ElectedAt) > wait
}
