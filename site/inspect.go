package site

// Inspection for operators: any control daemon returns the state of the leader. It changes nothing.

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/transport"
)

// maxDecisions bounds the decisions that a leader keeps for operators; it covers some minutes with many failures.
const maxDecisions = 500

// State is the leader's view of its site at one moment, with its decisions.
type State struct {
	Leader     string            `json:"leader"`
	Leadership LeadershipID      `json:"leadership"`
	Since      time.Time         `json:"since"`
	Config     httproute.Version `json:"config-version"`
	// Settled is unset while a new leader waits for the reports of all upstreams; it gives no orders then.
	Settled   bool            `json:"settled"`
	Controls  []string        `json:"controls"`
	Entries   int             `json:"entries"`
	Models    []ModelState    `json:"models"`
	Groups    []GroupState    `json:"groups"`
	Upstreams []UpstreamState `json:"upstreams"`
	Decisions []GroupDecision `json:"decisions"`
	// Drained are the halls whose upstreams get no requests, DrainRevision counts the orders on halls.
	Drained       []ident.Hall          `json:"drained-halls"`
	DrainRevision catalog.DrainRevision `json:"drain-revision"`
	// Held are the request fingerprints in quarantine.
	Held []QuarantineState `json:"held"`
	// Load is what all entries counted of the requests for each model.
	Load LoadState `json:"load"`
	// Forecasts are the demands that groups are planned by, where the settings enable forecasts.
	Forecasts []ModelForecast `json:"forecasts,omitempty"`
}

// ModelState is the capacity of a service's model and what it needs.
type ModelState struct {
	Service ident.Service `json:"service"`
	replicaset.Outlook
}

// GroupState is one group and how long it has been in its phase.
type GroupState struct {
	Name    ident.Group         `json:"group"`
	Epoch   ident.Epoch         `json:"epoch"`
	Service ident.Service       `json:"service"`
	Model   ident.Model         `json:"model"`
	Phase   roster.Phase        `json:"phase"`
	ForMS   int64               `json:"for-ms"`
	Far     bool                `json:"far"`
	Members []ident.Incarnation `json:"members"`
}

// UpstreamState is one upstream, the age of its last report, and its role.
type UpstreamState struct {
	ID      ident.Incarnation `json:"upstream"`
	Service ident.Service     `json:"service"`
	Address string            `json:"address"`
	Hall    ident.Hall        `json:"hall"`
	Domain  ident.Domain      `json:"domain"`
	AgeMS   int64             `json:"report-age-ms"`
	Place   string            `json:"place"`
	// Asked are the entries at which the upstream has a backoff.
	Asked []BackoffState `json:"asked"`
	// Limit is the limit that the upstream set, nil where it has none.
	Limit *LimitState `json:"limit,omitempty"`
	// Unread are unrecognized names in the upstream's reports and answers.
	Unread []string `json:"unread,omitempty"`
}

// GroupDecision is one decision on a group and its reason.
type GroupDecision struct {
	At       time.Time           `json:"at"`
	Group    ident.Group         `json:"group"`
	Model    ident.Model         `json:"model"`
	Members  []ident.Incarnation `json:"members"`
	Decision string              `json:"decision"`
	Reason   string              `json:"reason"`
}

// InspectReply is the state of the leader; Code is 0 when State is valid.
type InspectReply struct {
	Code  result.Code
	Text  string
	State State
}

// Inspect asks the control daemons at addresses (host:port of their peer listeners) for the state of the site, one
// after the other until one returns it.
func Inspect(ctx context.Context, dial transport.Dial, addresses []string) (*State, error) {
	err := result.New(result.Usage, "no control daemon is given")
	for _, address := range addresses {
		client := link.NewClient(address, serviceName)
		client.Dial = dial
		var reply InspectReply
		callErr := client.Call(ctx, forwardTimeout+callTimeout, "Inspect", &Empty{}, &reply)
		client.Close()
		switch {
		case callErr != nil:
			err = result.Wrap(callErr, result.DaemonUnreached, "%s does not answer", address)
		case reply.Code != result.OK:
			err = result.New(reply.Code, "%s: %s", address, reply.Text)
		default:
			return &reply.State, nil
		}
	}
	return nil, err
}

// inspect returns the state of the leader, which may be this daemon.
func (c *Control) inspect() InspectReply {
	reply, err := c.callLeader(context.Background(), forwardTimeout, &ForwardedCall{Kind: CallInspect})
	if err != nil {
		return InspectReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	return InspectReply{State: *reply.State}
}

// state describes the leadership; the groups are as of the last evaluation.
func (r *leadership) state(now time.Time) State {
	r.evaluating.Lock()
	defer r.evaluating.Unlock()
	state := State{
		Leader: string(r.control.self.Name), Leadership: r.name, Since: r.startedAt, Config: r.control.stateMachine.Current().Version, Settled: r.settled(now),
		Controls: r.control.controls(), Decisions: r.decisions.list(),
		Held: r.control.quarantineStates(now),
	}
	drained := r.control.stateMachine.Drained()
	state.Drained, state.DrainRevision = drained.Halls, drained.Revision
	r.mu.Lock()
	state.Entries = len(r.entries)
	backoffs, limits := r.backoffStates(now), r.limitStates(now)
	state.Load = r.loadState(now)
	state.Forecasts = r.demand.Forecasts()
	r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.formations)) {
		for _, o := range r.formations[name].Explain() {
			state.Models = append(state.Models, ModelState{name, o})
		}
	}
	for _, g := range r.roster.Groups() {
		state.Groups = append(state.Groups, GroupState{g.Name, g.Epoch, g.Service, g.Model, g.Phase, now.Sub(g.Since).Milliseconds(), g.Far, g.Members})
	}
	upstreams, ages := r.roster.Upstreams(now)
	for i := range upstreams {
		u := &upstreams[i]
		state.Upstreams = append(state.Upstreams, UpstreamState{
			u.ID, u.Service, u.Address, u.Hall, u.Domain, ages[u.ID].Milliseconds(), r.placement(u), backoffs[u.ID], limits[u.ID], r.control.Unrecognized.Of(u.ID),
		})
	}
	return state
}

func (r *leadership) placement(u *roster.Upstream) string {
	if f := r.formations[u.Service]; f != nil && u.Domain != "" {
		return f.DescribeUpstream(u.ID)
	}
	switch {
	case r.control.stateMachine.Drained().Has(u.Hall):
		return "gets no requests, its hall is drained"
	case u.Draining:
		return "leaves"
	case u.Silent:
		return "silent"
	}
	return "serves without a group"
}

// decisionLog keeps the newest decisions, in a ring.
type decisionLog struct {
	ring   []GroupDecision
	oldest int
}

func (d *decisionLog) add(g *GroupDecision) {
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, *g)
		return
	}
	d.ring[d.oldest] = *g
	d.oldest = (d.oldest + 1) % maxDecisions
}

// list returns the decisions, oldest first.
func (d *decisionLog) list() []GroupDecision {
	return append(append([]GroupDecision(nil), d.ring[d.oldest:]...), d.ring[:d.oldest]...)
}
