package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	domainCount    = 2
	extraUpstreams = 6
	seedCount      = 3
	// formLimit and healLimit bound the wait until a site serves, at first and after all faults have ended; they are long
	// because the machine may be busy.
	formLimit      = 90 * time.Second
	healLimit      = 90 * time.Second
	shortStopGrace = 6 * time.Second
)

// Plan says what one run of the soak does; everything random follows from Seed.
type Plan struct {
	Seed   uint64
	Length time.Duration
	// Binary is the program, Folder takes settings, logs and data.
	Binary string
	Folder string
	// Planned leaves out everything that no operator would do on purpose.
	Planned bool
	// Fatal lets requests come that end what runs them, beside planned things, crashes of upstreams and losses of control.
	Fatal bool
	// Stops plays planned things only, with streams as long as the routes allow and entries that are stopped in series.
	Stops bool
	// Replacements plays replacements of control daemons, and losses of as many folders as a site tolerates, beside planned things, crashes of
	// upstreams and losses of control.
	Replacements bool
	// Halls plays drains of the same hall in series, while control daemons read late what operators and other daemons sent, beside planned
	// things and losses of control.
	Halls bool
	// Untimed leaves out what depends on the speed of the machine.
	Untimed bool
	// Routes is how many routes are added on the way, Share the part of a core that each process gets, 0 for all that there is.
	Routes int
	Share  float64
	// Block chooses the loopback addresses; runs of one seed at the same time want different ones.
	Block    int
	Controls int
	Entries  int
	Engines  int
	Plains   int
	// Callers is how many callers there are, 0 for the usual number. Allowance is the allowance of the retry budget of a service over all
	// entries, 0 for that of the settings.
	Callers   int
	Allowance float64
}

// Report is what a run came to.
type Report struct {
	// Broken are the promises that were broken, Answers how many requests ended in each way, Notes what was done.
	Broken  []string
	Answers map[string]int
	Notes   []string
	// Limits are the limits that upstreams named, and what came of them.
	Limits []LimitRun
}

// soak is one run.
type soak struct {
	Plan

	ctx     context.Context
	truth   *truth
	entries []*daemon
	prober  *http.Client
	tasks   sync.WaitGroup
	offered atomic.Uint64
	probed  probes
	wiped   time.Time
	// nextPause is from when on engines can be paused again.
	nextPause time.Time

	// losing is held while control daemons that count as lost are counted and lost.
	losing sync.Mutex

	mu       sync.Mutex
	notes    []string
	count    int
	controls []*daemon
	// nextIndex is that of the next daemon, which gives its addresses.
	nextIndex int
}

// Run plays one run and returns what it came to.
func Run(ctx context.Context, plan *Plan) (*Report, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	s := &soak{Plan: *plan, truth: newTruth(), prober: transport.New(transport.Fresh, transport.TCP()), wiped: time.Now()}
	s.ctx, s.truth.untimed = ctx, plan.Untimed
	s.offered.Store(firstVersion - 1)
	s.probed.sent, s.probed.served = map[string]int{}, map[string]int{}
	err := s.start(ctx)
	if err == nil {
		s.play(ctx)
	}
	for _, d := range s.daemons() {
		d.signal(syscall.SIGCONT)
		d.kill()
	}
	end()
	s.tasks.Wait()
	s.noteInterruptions()
	s.truth.mu.Lock()
	defer s.truth.mu.Unlock()
	return &Report{Broken: s.truth.broken, Answers: s.truth.answers, Notes: s.notes, Limits: s.truth.limits}, err
}

// play serves, breaks things, heals them, and looks whether everything serves again.
func (s *soak) play(ctx context.Context) {
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	for i := range operatorCount {
		s.tasks.Go(func() { s.change(load, s.random(uint64(10+i))) })
	}
	for i := range cmp.Or(s.Callers, defaultCallers) {
		c := &caller{s: s, name: "c" + strconv.Itoa(i), random: s.random(uint64(100 + i))}
		c.slow = s.Stops && c.random.Float64() < slowCallerFraction
		s.tasks.Go(func() { c.run(load) })
	}
	for i, d := range s.entries {
		p := &prober{s: s, d: d, random: s.random(uint64(200 + i)), seen: map[int]uint64{}}
		s.tasks.Go(func() { p.run(load) })
	}
	s.tasks.Go(func() {
		random := s.random(2)
		for load.Err() == nil {
			s.readBack(load, random)
		}
	})
	s.tasks.Go(func() { s.watchDrains(load, s.random(5)) })
	if !s.serves(ctx, "at first", formLimit) {
		return
	}
	trouble, endTrouble := context.WithTimeout(ctx, s.Length)
	if s.Fatal {
		s.tasks.Go(func() { s.sendFatals(trouble, load, s.random(4)) })
	}
	if s.Share > 0 {
		s.tasks.Go(func() { s.notef("%d periods cut short", s.quota(trouble)) })
	}
	s.trouble(trouble, s.random(3))
	endTrouble()
	s.heal()
	s.serves(ctx, "after all faults ended", healLimit)
	s.lastWord(ctx)
	s.probed.report(s.truth)
	s.seesUnread()
}

func (s *soak) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, part))
}

func (s *soak) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf("%.2f s: ", time.Since(s.truth.began).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) daemons() []*daemon {
	return append(s.controlDaemons(), s.entries...)
}

func (s *soak) controlDaemons() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.controls)
}

// start starts the upstreams and the processes.
func (s *soak) start(ctx context.Context) error {
	if err := s.lay(ctx); err != nil {
		return err
	}
	for i := range s.Engines {
		s.add(modelService, i%domainCount)
	}
	for i := range s.Plains {
		s.add(plainService, i%domainCount)
	}
	var errs []error
	for _, d := range s.daemons() {
		errs = append(errs, d.start(true))
	}
	return errors.Join(errs...)
}

// The ports of every daemon; runs of different seeds have different addresses.
const (
	peerPort  = 7000
	callPort  = 7001
	otherPort = 7002
	// addressSeeds is how many seeds have addresses of their own.
	addressSeeds = 250
	firstBlock   = 77
)

// lay chooses addresses. Every daemon has two loopback addresses of its own: one at which links listen for others, and one
// for the process itself.
func (s *soak) lay(ctx context.Context) error {
	var seeds []string
	for range s.Controls {
		d, err := s.layControl(ctx)
		if err != nil {
			return err
		}
		s.controls = append(s.controls, d)
		if len(seeds) < seedCount {
			seeds = append(seeds, d.calls.address())
		}
	}
	for i := range s.Entries {
		d, err := s.layEntry(ctx, i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	for _, d := range s.daemons() {
		d.cfg.Seeds = seeds
	}
	return nil
}

// nextSettings returns the settings of another daemon, and its address inside.
func (s *soak) nextSettings() (cfg settings.Site, inside string) {
	i := s.nextIndex
	s.nextIndex++
	cfg = settings.DefaultSite()
	cfg.Hall = ident.Hall("hall-" + strconv.Itoa(i%domainCount))
	cfg.PeerPort, cfg.Listen.Host = peerPort, fmt.Sprintf("127.%d.%d.%d", firstBlock+2*s.Block, s.Seed%addressSeeds, i+1)
	cfg.Bounds = settings.SiteBounds{KeysRevoked: settings.Duration(keyBound), StopGrace: settings.Duration(s.stopGrace())}
	cfg.Times.Report = settings.Duration(reportEvery)
	cfg.Scheduling = scheduling()
	cfg.Retries.Allowance = cmp.Or(s.Allowance, cfg.Retries.Allowance)
	return cfg, fmt.Sprintf("127.%d.%d.%d", firstBlock+2*s.Block+1, s.Seed%addressSeeds, i+1)
}

// scheduling switches on everything that orders and places requests by what is known of all entries.
func scheduling() settings.Scheduling {
	on := settings.DefaultSite().Scheduling
	on.ArrivalCheck, on.Forecast, on.Spares, on.CustomerShares = true, true, true, true
	on.CustomerWeights = map[ident.Customer]float64{customer: 2}
	return on
}

func (s *soak) layControl(ctx context.Context) (*daemon, error) {
	cfg, inside := s.nextSettings()
	cfg.Name = ident.Daemon("control-" + strconv.Itoa(s.nextIndex-1))
	cfg.DataFolder = filepath.Join(s.Folder, string(cfg.Name)+"-data")
	cfg.Listen.Control, cfg.Listen.Peers = address(inside, callPort), address(inside, otherPort)
	calls, err := newLink(ctx, address(cfg.Listen.Host, callPort), cfg.Listen.Control)
	if err != nil {
		return nil, err
	}
	peers, err := newLink(ctx, cfg.PeerAddress(), cfg.Listen.Peers)
	return &daemon{name: cfg.Name, bin: s.Binary, dir: s.Folder, cfg: cfg, link: peers, calls: calls}, err
}

func (s *soak) layEntry(ctx context.Context, i int) (*daemon, error) {
	cfg, inside := s.nextSettings()
	cfg.Name = ident.Daemon("entry-" + strconv.Itoa(i))
	cfg.Listen.Callers, cfg.Listen.Ready = address(inside, callPort), address(inside, otherPort)
	callers, err := newLink(ctx, address(cfg.Listen.Host, callPort), cfg.Listen.Callers)
	return &daemon{name: cfg.Name, bin: s.Binary, dir: s.Folder, cfg: cfg, link: callers}, err
}

func address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// add starts an upstream, which lives until it ends or the run does, and returns its name.
func (s *soak) add(service ident.Service, place int) string {
	s.mu.Lock()
	s.count++
	id := ident.Incarnation(fmt.Sprintf("%s-%d-%d", service, place, s.count))
	s.mu.Unlock()
	turn := s.random(hashOf(string(id)))
	var mu sync.Mutex
	reports := func() []string {
		mu.Lock()
		defer mu.Unlock()
		var list []string
		controls := s.controlDaemons()
		for _, i := range turn.Perm(len(controls)) {
			list = append(list, controls[i].calls.address())
		}
		return list
	}
	e, err := newEngine(s.ctx, s.truth, s.eventTime(), id, service, place, reports)
	if err != nil {
		s.notef("upstream %s cannot start: %v", id, err)
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watched = s.Planned && !s.Untimed
	e.asksWatched = (s.Planned || s.Fatal) && !s.Untimed
	e.replaced = func() { s.replaceLater(s.ctx, e, between(s.random(hashOf(string(id))), time.Second, 3*time.Second)) }
	return string(id)
}

// alive returns the upstreams that have not ended, in the order of their names.
func (s *soak) alive() []*engine {
	s.truth.mu.Lock()
	defer s.truth.mu.Unlock()
	var list []*engine
	for _, id := range slices.Sorted(maps.Keys(s.truth.engines)) {
		if e := s.truth.engines[id]; e.ctx.Err() == nil {
			list = append(list, e)
		}
	}
	return list
}

// someEngine returns an upstream that is not leaving, unless too few are left.
func (s *soak) someEngine(random *rand.Rand) *engine {
	var list []*engine
	for _, e := range s.alive() {
		e.mu.Lock()
		if !e.says() {
			list = append(list, e)
		}
		e.mu.Unlock()
	}
	if len(list) <= (s.Engines+s.Plains)/2 {
		return nil
	}
	return one(random, list)
}

// replaceLater starts another upstream in the place of e.
func (s *soak) replaceLater(ctx context.Context, e *engine, wait time.Duration) {
	place := 0
	if e.domain != "domain-0" {
		place = 1
	}
	s.after(ctx, wait, func() { s.add(e.service, place) })
}

// after does something after a while, or at once when ctx ends: whatever was broken is repaired then.
func (s *soak) after(ctx context.Context, wait time.Duration, do func()) {
	s.tasks.Go(func() {
		pause(ctx, wait)
		if s.ctx.Err() == nil {
			do()
		}
	})
}

func (s *soak) restart(d *daemon) {
	if s.ctx.Err() != nil || d.isReplaced() {
		return
	}
	if err := d.start(false); err != nil {
		s.truth.breaksf("%s cannot be started: %v", d.name, err)
	}
}

// heal ends every fault.
func (s *soak) heal() {
	for _, l := range s.links() {
		l.set(weather{})
	}
	for _, d := range s.daemons() {
		d.pause(false)
		if _, _, stopping := d.state(); !stopping {
			s.restart(d)
		}
	}
	s.notef("all faults have ended")
}

// serves waits until every entry gives whole answers of both services.
func (s *soak) serves(ctx context.Context, when string, limit time.Duration) bool {
	for _, d := range s.entries {
		c := &caller{s: s, name: "check-" + strconv.Itoa(len(when)) + "-" + string(d.name), random: s.random(uint64(len(when)))}
		until := time.Now().Add(limit)
		for _, k := range []kind{kinds[0], kinds[2]} {
			for !c.check(ctx, d, k) {
				if ctx.Err() != nil || time.Now().After(until) {
					s.truth.breaksf("%s does not serve %s %s", d.name, k.path, when)
					return false
				}
				pause(ctx, 10*probePause)
			}
		}
	}
	s.notef("every entry serves, %s", when)
	return true
}

// lastWord reads the configuration back until a daemon has it.
func (s *soak) lastWord(ctx context.Context) {
	random := s.random(4)
	for until := time.Now().Add(healLimit); ; {
		if version, ok := s.readBack(ctx, random); ok && version >= s.truth.newestAccepted() {
			return
		}
		if ctx.Err() != nil || time.Now().After(until) {
			s.truth.breaksf("the configuration does not come back, %d was accepted", s.truth.newestAccepted())
			return
		}
	}
}

func sortedNames(m map[ident.Daemon]*link) []ident.Daemon {
	return slices.Sorted(maps.Keys(m))
}

// Folder makes the folder of a run, empty: what an earlier run left there would be taken for a site that was formed before.
func Folder(parent string, seed uint64) (string, error) {
	folder := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(folder); err != nil {
		return "", err
	}
	return folder, os.MkdirAll(folder, 0o700)
}
