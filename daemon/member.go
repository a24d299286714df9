package daemon

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/disk"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

// Every control member keeps these instances of the replicated log.
const (
	instanceFleet  quorum.Instance = 0
	instanceLedger quorum.Instance = 1
	instanceCount                  = 2
)

const formInterval = 200 * time.Millisecond

// controlMember runs the replicated logs with their state machines, and forms the first set of members.
type controlMember struct {
	d      *Daemon
	store  *quorum.Store
	nodes  [instanceCount]*quorum.Node
	ledger *ledger.Machine
	// votelessChecks counts the consecutive checks in which this member had no vote while others were formed.
	votelessChecks int
}

func newControlMember(d *Daemon) (*controlMember, error) {
	folder, err := disk.NewFolder(d.cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	store, err := quorum.OpenStore(folder, d.cfg.Name)
	if err != nil {
		return nil, err
	}
	m := &controlMember{d: d, store: store, ledger: ledger.NewMachine()}
	for i := range m.nodes {
		m.nodes[i] = m.newNode(quorum.Instance(i))
	}
	m.attachFleet(m.nodes[instanceFleet])
	m.attachLedger(m.nodes[instanceLedger])
	return m, nil
}

func (m *controlMember) newNode(instance quorum.Instance) *quorum.Node {
	cfg := m.d.cfg
	node := quorum.NewNode(m.store)
	node.PromoteLearners = true
	node.Instance = instance
	node.Timing = quorum.Timing{Heartbeat: cfg.Times.Heartbeat.Std(), Election: cfg.Times.Election.Std(), Lease: cfg.Times.Lease.Std()}
	node.Seed = electionSeed(cfg.Name)
	node.Send = m.enqueue
	node.Fatal = m.d.fail
	return node
}

// electionSeed gives each member its own sequence of random election timeouts.
func electionSeed(name ident.Daemon) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func (m *controlMember) attachFleet(n *quorum.Node) {
	machine := m.d.fleet
	n.Apply = func(index quorum.Index, data []byte) any {
		return machine.Apply(ident.Revision(index), data)
	}
	n.TakeSnapshot = machine.Snapshot
	n.Restore = func(index quorum.Index, data []byte) error {
		return machine.Restore(ident.Revision(index), data)
	}
	n.Applied = func(quorum.Index) { machine.Notify() }
}

func (m *controlMember) attachLedger(n *quorum.Node) {
	n.Apply = func(_ quorum.Index, data []byte) any { return m.ledger.Apply(data) }
	n.TakeSnapshot = m.ledger.Snapshot
	n.Restore = func(_ quorum.Index, data []byte) error { return m.ledger.Restore(data) }
}

func (m *controlMember) enqueue(messages []quorum.Message) {
	for i := range messages {
		if c := m.d.peers[messages[i].To.Name]; c != nil {
			c.Enqueue(&messages[i])
		}
	}
}

func (m *controlMember) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.store.Run(ctx) })
	for _, n := range m.nodes {
		n.Log = m.d.Log
		wg.Go(func() { n.Run(ctx) })
	}
	runEvery(ctx, formInterval, func() { m.form(ctx) })
	wg.Wait()
}

// release closes the store and nodes of a member that will not run.
func (m *controlMember) release() {
	m.store.Close()
	for _, n := range m.nodes {
		n.Discard()
	}
}

func (m *controlMember) deliver(messages []quorum.Message) {
	var byInstance [instanceCount][]quorum.Message
	for i := range messages {
		if instance := messages[i].Instance; instance < instanceCount {
			byInstance[instance] = append(byInstance[instance], messages[i])
		}
	}
	for i, list := range byInstance {
		if len(list) > 0 {
			m.nodes[i].Deliver(list)
		}
	}
}

// formed reports whether every instance knows its members and has not expelled this one.
func (m *controlMember) formed() bool {
	for _, n := range m.nodes {
		if s := n.Status(); !s.Formed || s.Expelled {
			return false
		}
	}
	return true
}

// knowsCommitted reports whether this member has known, at some time since its start, every change accepted until then.
func (m *controlMember) knowsCommitted() bool {
	return m.formed() && m.nodes[instanceFleet].Status().KnowsCommitted
}

func (m *controlMember) hello() peer.HelloReply {
	s := m.nodes[instanceFleet].Status()
	reply := peer.HelloReply{ID: m.store.ID(), Formed: s.Formed, Expelled: s.Expelled, Members: s.Members}
	for _, n := range m.nodes {
		reply.Formed = reply.Formed || n.Status().Formed
	}
	return reply
}

// form creates the first set of members, once for each deployment. Only the first control member in the settings does
// so, and only if all others answer that they were never formed: a member that restarts with an empty data folder finds
// others that were formed, and must be admitted by an operator instead.
func (m *controlMember) form(ctx context.Context) {
	cfg := m.d.cfg
	status := m.nodes[instanceFleet].Status()
	if m.formed() && (status.Commit > 0 || status.Leader != "") {
		return
	}
	others := m.helloOthers(ctx)
	if m.hello().Expelled || !m.hello().Formed && anyFormed(others) {
		m.logNotAdmitted()
		return
	}
	m.votelessChecks = 0
	if len(others) < len(cfg.ControlMembers)-1 {
		return
	}
	switch {
	case m.hello().Formed:
		m.resendForm(others)
	case cfg.ControlMembers[0] == cfg.Name:
		m.formInstances(ctx, others)
	}
}

func anyFormed(others map[ident.Daemon]peer.HelloReply) bool {
	for _, reply := range others {
		if reply.Formed {
			return true
		}
	}
	return false
}

// votelessCheckLimit is the number of checks after which a member without a vote is no longer expected to be formed by
// the others.
const votelessCheckLimit = 15

// logNotAdmitted logs once, after votelessCheckLimit checks, that an operator must admit this member.
func (m *controlMember) logNotAdmitted() {
	if m.votelessChecks++; m.votelessChecks != votelessCheckLimit {
		return
	}
	advice := "dunlinquay control admit " + string(m.d.cfg.Name)
	if m.hello().Expelled {
		advice = "stop this daemon, empty its data folder, start it, then: " + advice
	}
	m.d.Log.Info("this control member's data folder has no vote", "code", int(result.NotAdmitted), "advice", advice)
}

// helloOthers calls Hello on the other control members and returns the replies of those that answer.
func (m *controlMember) helloOthers(ctx context.Context) map[ident.Daemon]peer.HelloReply {
	others := map[ident.Daemon]peer.HelloReply{}
	for _, name := range m.d.cfg.ControlMembers {
		if name == m.d.cfg.Name {
			continue
		}
		if reply, err := m.d.peers[name].Hello(ctx, callTimeout); err == nil {
			others[name] = reply
		}
	}
	return others
}

func (m *controlMember) formInstances(ctx context.Context, others map[ident.Daemon]peer.HelloReply) {
	members := []quorum.Member{{ID: m.store.ID(), Voter: true}}
	for _, name := range m.d.cfg.ControlMembers[1:] {
		members = append(members, quorum.Member{ID: others[name].ID, Voter: true})
	}
	for _, n := range m.nodes {
		n.Form(ctx, members)
	}
}

// resendForm sends the first set of members again, in case a member missed it; formed members ignore the message.
func (m *controlMember) resendForm(others map[ident.Daemon]peer.HelloReply) {
	for i, n := range m.nodes {
		s := n.Status()
		if s.Commit > 0 {
			continue
		}
		for _, to := range s.Members {
			if reply, ok := others[to.ID.Name]; ok && reply.ID == to.ID {
				m.enqueue([]quorum.Message{{
					Instance: quorum.Instance(i), Kind: quorum.MessageForm, From: m.store.ID(), To: to.ID,
					Snapshot: &quorum.Snapshot{Members: s.Members},
				}})
			}
		}
	}
}

// proposeLocally proposes a command to this member's node, which must lead the instance, and returns the state
// machine's answer encoded as CBOR.
func (m *controlMember) proposeLocally(ctx context.Context, call *peer.ProposeCall) peer.ProposeReply {
	if call.Instance >= instanceCount {
		return peer.ProposeReply{Code: result.PeerRefused, Text: "no such instance of the log"}
	}
	var value any
	var index quorum.Index
	err := m.checkLedgerClock(call)
	if err == nil {
		value, index, err = m.nodes[call.Instance].Propose(ctx, call.Data)
	}
	if err != nil {
		return peer.ProposeReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	answer, err := cbor.Marshal(value)
	if err != nil {
		return peer.ProposeReply{Code: result.PeerRefused, Text: err.Error()}
	}
	return peer.ProposeReply{Answer: answer, Index: index}
}

func (m *controlMember) checkLedgerClock(call *peer.ProposeCall) error {
	if call.Instance != instanceLedger {
		return nil
	}
	return ledger.CheckClock(call.Data, time.Now())
}

// admitMember replaces the member of the same name by one with a new data folder, at first without a vote.
func (m *controlMember) admitMember(ctx context.Context, call *peer.AdmitCall) peer.AdmitReply {
	err := m.proposeAdmission(ctx, call)
	if err != nil {
		return peer.AdmitReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	return peer.AdmitReply{}
}

func (m *controlMember) proposeAdmission(ctx context.Context, call *peer.AdmitCall) error {
	client := m.d.peers[call.Member]
	if client == nil {
		return result.New(result.ChangeNotFound, "no peer is named %s", call.Member)
	}
	reply, err := client.Hello(ctx, callTimeout)
	if err != nil {
		return err
	}
	if reply.Expelled {
		return result.New(result.NotAdmitted, "%s has a damaged data folder: stop it, empty the folder and start it again", call.Member)
	}
	n := m.nodes[call.Instance]
	members := []quorum.Member{}
	for _, old := range n.Status().Members {
		if old.ID == reply.ID {
			return nil
		}
		if old.ID.Name != call.Member {
			members = append(members, old)
		}
	}
	return n.ProposeMembers(ctx, append(members, quorum.Member{ID: reply.ID}))
}

// transferLeadership hands every instance that this member leads to another member.
func (m *controlMember) transferLeadership(ctx context.Context) {
	for _, n := range m.nodes {
		if n.Status().Role == quorum.RoleLeader {
			n.TransferLeadership(ctx)
		}
	}
}

// leads reports whether this member leads the fleet instance.
func (m *controlMember) leads() bool {
	return m.nodes[instanceFleet].Status().Role == quorum.RoleLeader
}

// leaders returns the known leader of each instance.
func (m *controlMember) leaders() map[quorum.Instance]ident.Daemon {
	known := map[quorum.Instance]ident.Daemon{}
	for i, n := range m.nodes {
		if s := n.Status(); s.Leader != "" {
			known[quorum.Instance(i)] = s.Leader
		}
	}
	return known
}

// decodeFleetAnswer decodes an answer of the fleet's state machine.
func decodeFleetAnswer(data []byte) (fleet.Answer, error) {
	var answer fleet.Answer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return answer, result.Wrap(err, result.PeerRefused, "answer of the fleet's state machine cannot be decoded")
	}
	return answer, nil
}

// decodeLedgerAnswer decodes an answer of the ledger's state machine.
func decodeLedgerAnswer(data []byte) (ledger.Answer, error) {
	var answer ledger.Answer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return answer, result.Wrap(err, result.PeerRefused, "answer of the ledger's state machine cannot be decoded")
	}
	return answer, nil
}
