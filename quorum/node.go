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
	maxDrainedPerLoop    = 2048
	ticksPerHeartbeat    = 2
	fullDiskRetry        = 500 * time.Millisecond
	defaultSnapshotEvery = 4096
	maxProposalBytes     = 4 << 20
	catchUpEntries       = 1024
)

// Status is the state of a member at one moment.
type Status struct {
	ID      MemberID
	Formed  bool
	Role    Role
	Term    Term
	Leader  ident.Daemon
	Commit  Index
	Applied Index
	Members []Member
	// MembersCommitted is set if Members are committed, as far as this member knows.
	MembersCommitted bool
	// KnowsCommitted is set once this process has applied everything that was committed before. A log read from disk
	// does not show how much of it is committed.
	KnowsCommitted bool
	// Expelled is set if the leader had evidence that this folder lost synced entries.
	Expelled bool
	// LeaseEnd is the end of the leader's lease, zero on other members. ElectedAt is when this member was last elected.
	LeaseEnd  time.Time
	ElectedAt time.Time
	// LastContact is the time of the last contact with a leader.
	LastContact time.Time
	// Followers holds the state of the other members on a leader.
	Followers []Follower
}

// Follower is a leader's view of one other member.
type Follower struct {
	ID MemberID
	// LastHeard is the time of its last reply to this leader or, as far as that is known, to the one before; else the time when
	// this leader started to send to it.
	LastHeard time.Time
	// LostData is set if there is evidence that it lost synced entries.
	LostData bool
	// CaughtUp is set if it holds all committed entries on disk.
	CaughtUp bool
	// Leaving is set if it has announced that it stops. KnowsMembers is set if it knows that the current members are
	// committed.
	Leaving      bool
	KnowsMembers bool
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

// Node runs one Core: it persists, sends and applies. Exported fields are set before Run.
type Node struct {
	Instance Instance
	Timing   Timing
	Seed     uint64
	Now      func() time.Time
	// Send passes messages to the transport and must not block.
	Send func(messages []Message)
	// Apply executes a committed command. All members make the same calls for the same log.
	Apply func(index Index, data []byte) any
	// TakeSnapshot and Restore write and read the whole state machine.
	TakeSnapshot func() ([]byte, error)
	Restore      func(index Index, data []byte) error
	// Applied is called after each batch of applied entries.
	Applied func(index Index)
	// Fatal is called once if the disk can no longer be trusted.
	Fatal         func(err error)
	SnapshotEvery Index
	// PromoteLearners makes a leader give each learner a vote once it has caught up; without it, the callers of
	// ProposeMembers do.
	PromoteLearners bool
	Log             logr.Logger

	store     *Store
	tasks     *park.Group
	inbox     chan []Message
	proposals chan proposal
	transfers chan chan bool
	forms     chan []Member
	leaves    chan struct{}
	status    atomic.Pointer[Status]
	ready     chan struct{}
	readyOnce sync.Once

	core          *Core
	applied       Index
	snapshotIndex Index
	waiters       map[Index]waiter
}

// NewNode returns a node on store; its goroutine waits for Run.
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
		leaves:        make(chan struct{}),
		ready:         make(chan struct{}),
		waiters:       map[Index]waiter{},
	}
	n.status.Store(&Status{})
	n.tasks.Go(func(ctx context.Context) { n.loop(ctx) })
	return n
}

// Run participates in the protocol until ctx is done.
func (n *Node) Run(ctx context.Context) {
	n.tasks.Run(ctx)
}

// Discard releases a node that will not run.
func (n *Node) Discard() {
	n.tasks.Discard()
}

// Ready is closed once the state on disk has been restored.
func (n *Node) Ready() <-chan struct{} {
	return n.ready
}

// Status returns the newest published state.
func (n *Node) Status() Status {
	return *n.status.Load()
}

// Deliver queues messages from the transport. It drops them if the queue is full, as a network would.
func (n *Node) Deliver(messages []Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Propose returns the result of Apply and the command's index. The error NoLeader means that the command may or may not
// be applied.
func (n *Node) Propose(ctx context.Context, data []byte) (any, Index, error) {
	if len(data) > maxProposalBytes {
		return nil, 0, result.New(result.ProposalTooLarge, "proposal of %d bytes exceeds %d bytes", len(data), maxProposalBytes)
	}
	return n.propose(ctx, proposal{kind: EntryCommand, data: data})
}

// ProposeMembers returns once the new members are committed.
func (n *Node) ProposeMembers(ctx context.Context, members []Member) error {
	_, _, err := n.propose(ctx, proposal{kind: EntryMembers, members: members})
	return err
}

func (n *Node) propose(ctx context.Context, p proposal) (any, Index, error) {
	p.done = make(chan proposalResult, 1)
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, 0, result.New(result.NoLeader, "the log did not accept the proposal in time")
	}
	select {
	case o := <-p.done:
		return o.value, o.index, o.err
	case <-ctx.Done():
		return nil, 0, result.New(result.NoLeader, "the change was not confirmed in time")
	}
}

// Form sets the first members of a member that was never formed.
func (n *Node) Form(ctx context.Context, members []Member) {
	select {
	case n.forms <- members:
	case <-ctx.Done():
	}
}

// TransferLeadership asks a voter that holds the whole log to lead, and reports whether there was one.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	done := make(chan bool, 1)
	select {
	case n.transfers <- done:
		return <-done
	case <-ctx.Done():
		return false
	}
}

// Leave announces to the leader, with every reply, that this member stops. It reports whether the node has taken that
// before ctx was done.
func (n *Node) Leave(ctx context.Context) bool {
	select {
	case n.leaves <- struct{}{}:
		return true
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
			n.failWaiters(result.New(result.Stopping, "the member is stopping"))
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
		case <-n.leaves:
			n.core.Leave()
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
	if n.PromoteLearners {
		n.core.PromoteLearners()
	}
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
	for range maxDrainedPerLoop {
		select {
		case messages := <-n.inbox:
			n.step(messages)
		default:
			return
		}
	}
}

func (n *Node) drainProposals() {
	for range maxDrainedPerLoop {
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
	// The lease must end for readers before the other member receives the request.
	n.publish()
	return started
}

// process does what the core requires, in the order that keeps votes and acknowledgements true.
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
		n.failWaiters(result.New(result.NoLeader, "this member lost leadership; the change may still be committed"))
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

// HoldsLease reports whether this member leads and holds its lease at now, by its own clock.
func (n *Node) HoldsLease(now time.Time) bool {
	s := n.status.Load()
	return s.Role == RoleLeader && now.Before(s.LeaseEnd)
}

// PriorLeasesExpired reports whether every earlier leader's lease has expired, including clock drift.
func (n *Node) PriorLeasesExpired(now time.Time) bool {
	s := n.status.Load()
	wait := time.Duration(float64(n.Timing.Lease) * clockDriftFactor)
	return s.Role == RoleLeader && now.Sub(s.ElectedAt) > wait
}
