package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/result"
)

// Demo runs the whole path once; exported fields are set before Run.
type Demo struct {
	Out  io.Writer
	JSON bool
	// Keep leaves everything running after the account until the process is interrupted.
	Keep bool

	site    *site
	traffic *traffic
	started time.Time
	inForce time.Duration
	broken  []string
	highest map[ident.Daemon]ident.Revision
}

// Report is the closing table.
type Report struct {
	Requests       int      `json:"requests"`
	AnswersWhole   int      `json:"answers-whole"`
	AnswersWrong   int      `json:"answers-wrong"`
	RefusedNotRun  int      `json:"refused-not-run"`
	Doubled        int      `json:"doubled"`
	GroupDowntime  int64    `json:"group-downtime-ms"`
	StrandedTime   int64    `json:"stranded-accelerator-ms"`
	ChangeInForce  int64    `json:"change-in-force-ms"`
	BrokenPromises int      `json:"broken-promises"`
	Broken         []string `json:"-"`
	ToldFailed     int      `json:"-"`
}

const (
	stepTimeout  = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	settleTime   = 700 * time.Millisecond
)

// New returns a demo that writes to standard output.
func New() *Demo {
	return &Demo{Out: os.Stdout, highest: map[ident.Daemon]ident.Revision{}}
}

// step is one thing that the demo does and tells of.
type step struct {
	title string
	run   func(ctx context.Context) error
}

// Run does every step and returns PromiseBroken if a promise did not hold.
func (d *Demo) Run(ctx context.Context) error {
	s, err := newSite()
	if err != nil {
		return result.Wrap(err, result.StartFailed, "the demo cannot start")
	}
	defer s.stop()
	d.site, d.traffic, d.started = s, newTraffic(s), time.Now()
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	for _, st := range d.steps(sending) {
		d.tellf("%s", st.title)
		if err := st.run(ctx); err != nil {
			d.breachf("%s: %s", st.title, result.Text(err))
			break
		}
		d.watchRevisions(ctx)
	}
	stopSending()
	d.traffic.wait()
	report := d.report(ctx)
	if err := d.print(report); err != nil {
		return err
	}
	if d.Keep {
		d.keep(ctx)
	}
	if report.BrokenPromises > 0 {
		return result.New(result.PromiseBroken, "%d promises were broken", report.BrokenPromises)
	}
	return nil
}

func (d *Demo) steps(sending context.Context) []step {
	return []step{
		{"three daemons agree on a leader", d.awaitLeader},
		{"an operator declares two groups by labels; they form", d.createGroups},
		{"callers send plain, streamed and not-repeatable requests", func(ctx context.Context) error {
			d.traffic.start(sending)
			return pauseFor(ctx, 2*settleTime)
		}},
		{"a member of group north dies; a spare of its fabric domain takes its place", d.killMember},
		{"the dead VM returns as if nothing had happened; it is a spare now", d.reviveMember},
		{"the control leader is cut off from the others; another one takes over", d.cutLeader},
		{"an operator labels a VM; a third group can form", d.changeLabel},
		{"one daemon is stopped as planned; what it has in progress ends in peace", d.stopDaemon},
	}
}

func (d *Demo) tellf(format string, args ...any) {
	if !d.JSON {
		fmt.Fprintf(d.Out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (d *Demo) breachf(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func pauseFor(ctx context.Context, t time.Duration) error {
	select {
	case <-time.After(t):
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.Cancelled, "interrupted")
	}
}

// until polls a condition.
func until(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for !ok() {
		if pauseFor(ctx, pollInterval) != nil {
			return result.New(result.CommandTimedOut, "%s did not happen within %s", what, stepTimeout)
		}
	}
	return nil
}

// asked returns a daemon that is neither cut off nor stopped.
func (d *Demo) asked() *host {
	return d.site.choose(len(d.site.hosts) - 1)
}

func (d *Demo) awaitLeader(ctx context.Context) error {
	return until(ctx, "a leader", func() bool {
		return slices.IndexFunc(d.site.hosts, func(h *host) bool {
			st, err := h.client.Status(ctx)
			return err != nil || !st.Serving || st.Leader == ""
		}) < 0
	})
}

func (d *Demo) change(ctx context.Context, c *operator.Change) (ident.Revision, error) {
	c.ID = ident.NewChange()
	return d.asked().client.Change(ctx, c)
}

func (d *Demo) awaitWhole(ctx context.Context, names ...ident.Group) error {
	return until(ctx, fmt.Sprintf("groups %v whole", names), func() bool {
		for _, name := range names {
			g, err := d.asked().client.Group(ctx, name)
			if err != nil || !g.Whole {
				return false
			}
		}
		return true
	})
}

func (d *Demo) createGroups(ctx context.Context) error {
	specs := []fleet.GroupSpec{
		{Name: "north", Model: "alpine", Size: 3, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"new"}}}},
		{Name: "south", Model: "savanna", Size: 3, Selector: []fleet.Requirement{{Label: "gpu", Values: []string{"old"}}}},
	}
	for i := range specs {
		if _, err := d.change(ctx, &operator.Change{Create: &specs[i]}); err != nil {
			return err
		}
	}
	return d.awaitWhole(ctx, "north", "south")
}

// victim is the VM that the demo kills: not the first member, so that only presence can tell.
func (d *Demo) victim(ctx context.Context) (ident.VM, error) {
	g, err := d.asked().client.Group(ctx, "north")
	if err != nil {
		return "", err
	}
	return g.Members[len(g.Members)-1], nil
}

func (d *Demo) killMember(ctx context.Context) error {
	name, err := d.victim(ctx)
	if err != nil {
		return err
	}
	d.tellf("    %s dies", name)
	began := time.Now()
	d.site.kill(name)
	err = until(ctx, "group north whole without the dead VM", func() bool {
		g, err := d.asked().client.Group(ctx, "north")
		return err == nil && g.Whole && !slices.Contains(g.Members, name)
	})
	d.tellf("    north is whole again after %s", time.Since(began).Round(time.Millisecond))
	return err
}

func (d *Demo) reviveMember(ctx context.Context) error {
	d.site.mu.Lock()
	var name ident.VM
	for dead := range d.site.died {
		name = dead
	}
	d.site.mu.Unlock()
	if err := d.site.revive(name); err != nil {
		return result.Wrap(err, result.StartFailed, "%s cannot return", name)
	}
	return until(ctx, "the returned VM to leave its old epoch", func() bool {
		v, err := d.asked().client.VM(ctx, name)
		return err == nil && v.Phase == fleet.VMFree.String() && v.Condition == "present"
	})
}

func (d *Demo) cutLeader(ctx context.Context) error {
	st, err := d.asked().client.Status(ctx)
	if err != nil {
		return err
	}
	old := d.site.host(st.Leader)
	d.tellf("    %s is cut off", st.Leader)
	began := time.Now()
	d.site.network.setCut(st.Leader, true)
	d.site.setAway(old, true)
	name := ident.VM("new-1")
	if _, err := d.change(ctx, &operator.Change{Label: &operator.LabelChange{VM: name, Set: map[string]string{"seen": "yes"}}}); err != nil {
		return err
	}
	d.tellf("    the next change was accepted after %s", time.Since(began).Round(time.Millisecond))
	// The one that is cut off must refuse by itself once it cannot know what is in force.
	err = until(ctx, "the cut off daemon to refuse", func() bool {
		st, err := old.client.Status(ctx)
		return err == nil && !st.Serving
	})
	if err != nil {
		return err
	}
	d.tellf("    it refused requests by itself after %s", time.Since(began).Round(time.Millisecond))
	d.site.network.setCut(st.Leader, false)
	err = until(ctx, "the daemon to come back", func() bool {
		st, err := old.client.Status(ctx)
		return err == nil && st.Serving
	})
	d.site.setAway(old, false)
	return err
}

func (d *Demo) changeLabel(ctx context.Context) error {
	spec := fleet.GroupSpec{Name: "east", Model: "alpine", Size: 2, Selector: []fleet.Requirement{{Label: "pool", Values: []string{"east"}}}}
	if _, err := d.change(ctx, &operator.Change{Create: &spec}); err != nil {
		return err
	}
	vms, err := d.asked().client.VMs(ctx)
	if err != nil {
		return err
	}
	for _, v := range vms {
		if v.Group != "" {
			continue
		}
		began := time.Now()
		label := &operator.LabelChange{VM: v.Name, Set: map[string]string{"pool": "east"}}
		revision, err := d.change(ctx, &operator.Change{Label: label})
		if err != nil {
			return err
		}
		f, err := d.asked().client.Wait(ctx, revision, stepTimeout.String())
		if err != nil || !f.Done {
			return result.New(result.CommandTimedOut, "revision %d is not in force everywhere", revision)
		}
		d.inForce = max(d.inForce, time.Since(began))
		d.tellf("    %s labelled: in force everywhere after %s", v.Name, time.Since(began).Round(time.Millisecond))
	}
	return d.awaitWhole(ctx, "east")
}

func (d *Demo) stopDaemon(ctx context.Context) error {
	h := d.site.hosts[0]
	before := d.traffic.failures()
	stopping := make(chan struct{})
	go func() {
		h.daemon.Stop(ctx)
		close(stopping)
	}()
	// The balancer asks for readiness and looks away.
	if err := pauseFor(ctx, 100*time.Millisecond); err != nil {
		return err
	}
	d.site.setAway(h, true)
	<-stopping
	h.cancel()
	<-h.done
	if err := pauseFor(ctx, settleTime); err != nil {
		return err
	}
	if after := d.traffic.failures(); after != before {
		d.breachf("%d requests were cut off by a planned stop", after-before)
	}
	return d.awaitWhole(ctx, "north", "south", "east")
}

func (t *traffic) failures() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts.Failed
}

// watchRevisions holds every daemon to the promise that its revision only rises, and every VM to one group.
func (d *Demo) watchRevisions(ctx context.Context) {
	for _, h := range d.site.hosts {
		st, err := h.client.Status(ctx)
		if err != nil {
			continue
		}
		if st.Revision < d.highest[h.cfg.Name] {
			d.breachf("daemon %s went back from revision %d to %d", h.cfg.Name, d.highest[h.cfg.Name], st.Revision)
		}
		d.highest[h.cfg.Name] = st.Revision
		d.checkOneGroup(ctx, h)
	}
}

func (d *Demo) checkOneGroup(ctx context.Context, h *host) {
	groups, err := h.client.Groups(ctx)
	if err != nil {
		return
	}
	owner := map[ident.VM]ident.Group{}
	for i := range groups {
		for _, name := range groups[i].Members {
			if other, ok := owner[name]; ok {
				d.breachf("VM %s is in groups %s and %s", name, other, groups[i].Spec.Name)
			}
			owner[name] = groups[i].Spec.Name
		}
	}
}

func (d *Demo) report(ctx context.Context) *Report {
	t := d.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		Requests: t.counts.Requests, AnswersWhole: t.counts.Whole, AnswersWrong: t.counts.Wrong, RefusedNotRun: t.counts.NotRun,
		Doubled: d.site.service.RepeatedCalls(), ChangeInForce: d.inForce.Milliseconds(), ToldFailed: t.counts.Failed,
	}
	if st, err := d.asked().client.Status(ctx); err == nil {
		r.GroupDowntime, r.StrandedTime = st.DownMillis, st.StrandedMillis
	}
	d.site.mu.Lock()
	defer d.site.mu.Unlock()
	r.Broken = slices.Concat(d.broken, t.broken, d.site.broken)
	if r.Doubled > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d not-repeatable requests ran twice", r.Doubled))
	}
	r.BrokenPromises = len(r.Broken)
	return r
}

func (d *Demo) print(r *Report) error {
	if d.JSON {
		return json.NewEncoder(d.Out).Encode(r)
	}
	fmt.Fprintln(d.Out)
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"requests", r.Requests}, {"answers whole", r.AnswersWhole}, {"answers wrong", r.AnswersWrong},
		{"refused, not run", r.RefusedNotRun}, {"told that they failed", r.ToldFailed}, {"not-repeatable requests doubled", r.Doubled},
		{"group downtime", time.Duration(r.GroupDowntime) * time.Millisecond},
		{"stranded accelerator time", time.Duration(r.StrandedTime) * time.Millisecond},
		{"longest time until a change was in force", time.Duration(r.ChangeInForce) * time.Millisecond},
		{"broken promises", r.BrokenPromises},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(w, "BROKEN\t%s\n", b)
	}
	return w.Flush()
}

// keep prints where everything is and waits for an interrupt.
func (d *Demo) keep(ctx context.Context) {
	for _, h := range d.site.hosts {
		if h.away {
			continue
		}
		fmt.Fprintf(d.Out, "daemon %s: callers http://%s, operators http://%s\n", h.cfg.Name, h.daemon.CallerAddress(), h.daemon.OperatorAddress())
	}
	for customer, key := range d.site.keys {
		fmt.Fprintf(d.Out, "customer %s: key %s\n", customer, key)
	}
	fmt.Fprintf(d.Out, "operator demo: key %s\ninterrupt to end\n", d.site.operator)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
