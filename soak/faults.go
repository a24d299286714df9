package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	faultPause = 350 * time.Millisecond
	// wipeGap is the least time between two lost folders, so that the first one is made good.
	wipeGap = 8 * time.Second
	// longestHold is how long a control daemon may be paused, or what it gets held back.
	longestHold = 8 * time.Second
	// calmBefore is how long all other control daemons must have run when a folder is lost.
	calmBefore = 3 * time.Second
)

// fault is one thing that can go wrong, or be done by plan; it returns what it did.
type fault struct {
	name    string
	planned bool
	weight  int
	// leaves is set when entries go on as they were, and know each other.
	leaves bool
	mode   mode
	do     func(s *soak, ctx context.Context, random *rand.Rand) string
}

// mode says in which runs a fault is played.
type mode uint8

const (
	anyRun mode = iota
	stopsRun
	replacementsRun
	hallsRun
)

var faults = []fault{
	{"stop an entry", true, 3, false, anyRun, (*soak).stopEntry},
	{"stop a control daemon", true, 2, false, anyRun, (*soak).stopControl},
	{"read settings again", true, 3, false, anyRun, (*soak).hangUp},
	{"an upstream leaves", true, 3, false, anyRun, (*soak).drainUpstream},
	{"an upstream comes", true, 2, false, anyRun, (*soak).addUpstream},
	{"an upstream asks for time", true, 3, true, anyRun, (*soak).turnsAway},
	{"a hall is drained", true, 2, true, anyRun, (*soak).drainHall},
	{"an upstream names a limit", true, 3, true, anyRun, (*soak).limits},
	{"the engines pause", true, 3, true, anyRun, (*soak).pauseEngines},
	{"stop entries in series", true, 6, false, stopsRun, (*soak).stopEntries},
	{"stop an entry that has just started", true, 2, false, stopsRun, (*soak).stopStarted},
	{"stop the leading control daemon", true, 1, false, stopsRun, (*soak).stopLeader},
	{"replace a control daemon", true, 4, false, replacementsRun, (*soak).replaceControl},
	{"replace a lost control daemon", false, 2, false, replacementsRun, (*soak).replaceLostControl},
	{"lose folders after a change", false, 4, false, replacementsRun, (*soak).loseFoldersAfterChange},
	{"a hall is drained again and again", true, 8, true, hallsRun, (*soak).drainAgain},
	{"pause a control daemon", false, 3, true, hallsRun, (*soak).freezeControl},
	{"hold back what a control daemon gets", false, 3, true, hallsRun, (*soak).holdControl},
	{"an upstream leaves without a report", false, 2, true, anyRun, (*soak).leavesSilently},
	{"kill an entry", false, 3, false, anyRun, (*soak).killEntry},
	{"kill a control daemon", false, 3, true, anyRun, (*soak).killControl},
	{"kill all control daemons", false, 1, true, anyRun, (*soak).killControls},
	{"lose a folder", false, 1, false, anyRun, (*soak).loseFolder},
	{"pause a process", false, 4, false, anyRun, (*soak).freeze},
	{"weather on a link", false, 8, false, anyRun, (*soak).storm},
	{"reset connections", false, 3, false, anyRun, (*soak).resets},
	{"an upstream crashes", false, 5, true, anyRun, (*soak).crashUpstream},
	{"answers get lost", false, 3, true, anyRun, (*soak).loseAnswers},
	{"an upstream turns slow", false, 3, true, anyRun, (*soak).slowUpstream},
}

// trouble does one thing after the other, so that their effects overlap.
func (s *soak) trouble(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(2*faultPause))))
		f := s.pickFault(random)
		if what := f.do(s, ctx, random); what != "" {
			s.notef("%s: %s", f.name, what)
		}
	}
}

func (s *soak) pickFault(random *rand.Rand) *fault {
	total := 0
	for i := range faults {
		if s.plays(&faults[i]) {
			total += faults[i].weight
		}
	}
	n := random.IntN(total)
	for i := range faults {
		if !s.plays(&faults[i]) {
			continue
		}
		if n -= faults[i].weight; n < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

// plays reports whether the plan has that fault in it.
func (s *soak) plays(f *fault) bool {
	switch {
	case f.mode == stopsRun:
		return s.Stops
	case f.mode == replacementsRun:
		return s.Replacements
	case f.mode == hallsRun:
		return s.Halls
	case s.Replacements, s.Halls:
		return f.planned || f.leaves
	case s.Fatal:
		return f.planned || f.leaves
	case s.Planned:
		return f.planned
	}
	return true
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func one[T any](random *rand.Rand, list []T) T {
	return list[random.IntN(len(list))]
}

// stop sends SIGTERM and starts the process again once it is gone.
func (s *soak) stop(d *daemon) string {
	if life, _, stopping := d.state(); life == 0 || stopping {
		return ""
	}
	ended := d.signal(syscall.SIGTERM)
	s.tasks.Go(func() {
		<-ended
		s.restart(d)
	})
	return string(d.name)
}

func (s *soak) stopEntry(_ context.Context, random *rand.Rand) string {
	return s.stop(one(random, s.entries))
}

func (s *soak) stopControl(_ context.Context, random *rand.Rand) string {
	d := one(random, s.controlDaemons())
	if d.isReplaced() {
		return ""
	}
	return s.stop(d)
}

func (s *soak) hangUp(_ context.Context, random *rand.Rand) string {
	d := one(random, s.daemons())
	d.signal(syscall.SIGHUP)
	return string(d.name)
}

func (s *soak) drainUpstream(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	e.drain()
	s.replaceLater(ctx, e, between(random, time.Second, 3*time.Second))
	return string(e.id)
}

func (s *soak) addUpstream(_ context.Context, random *rand.Rand) string {
	if len(s.alive()) > s.Engines+s.Plains+extraUpstreams {
		return ""
	}
	return s.add(modelService, random.IntN(domainCount))
}

func (s *soak) crashUpstream(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	e.crash()
	s.replaceLater(ctx, e, between(random, 200*time.Millisecond, 3*time.Second))
	return string(e.id)
}

func (s *soak) loseAnswers(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	set := func(part float64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loses = part
	}
	set(0.1)
	s.after(ctx, between(random, time.Second, 4*time.Second), func() { set(0) })
	return string(e.id)
}

func (s *soak) slowUpstream(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	set := func(pace float64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pace = pace
	}
	pace := 2 + 6*random.Float64()
	set(pace)
	wait := between(random, time.Second, 5*time.Second)
	s.after(ctx, wait, func() { set(1) })
	return fmt.Sprintf("%s, %.1f times for %v", e.id, pace, wait)
}

const (
	// minEnginePause and maxEnginePause bound how long engines are paused; control dissolves groups that are silent for longer.
	minEnginePause = time.Second
	maxEnginePause = 1300 * time.Millisecond
	// betweenPauses is the time between two pauses, in which all requests make progress.
	betweenPauses = time.Second
	// allPauseFraction is the fraction of the pauses that concern all engines, somePaused the fraction of the engines in the others.
	allPauseFraction = 0.5
	somePaused       = 0.6
)

// pauseEngines makes engines silent: their connections stay open, and they continue where they were. They go on reporting, since upstreams
// here report so often that control would take such a pause for a loss.
func (s *soak) pauseEngines(_ context.Context, random *rand.Rand) string {
	all := random.Float64() < allPauseFraction
	wait := between(random, minEnginePause, maxEnginePause)
	if time.Now().Before(s.nextPause) {
		return ""
	}
	s.nextPause = time.Now().Add(wait + betweenPauses)
	paused := 0
	for _, e := range s.alive() {
		if e.service == modelService && (all || random.Float64() < somePaused) {
			e.pauseUntil(time.Now().Add(wait))
			paused++
		}
	}
	return fmt.Sprintf("%d for %v", paused, wait)
}

func (s *soak) killEntry(ctx context.Context, random *rand.Rand) string {
	d := one(random, s.entries)
	d.kill()
	s.after(ctx, between(random, 100*time.Millisecond, 2*time.Second), func() { s.restart(d) })
	return string(d.name)
}

func (s *soak) killControl(ctx context.Context, random *rand.Rand) string {
	d := one(random, s.controlDaemons())
	if d.isReplaced() {
		return ""
	}
	d.kill()
	s.after(ctx, between(random, 100*time.Millisecond, 3*time.Second), func() { s.restart(d) })
	return string(d.name)
}

func (s *soak) killControls(ctx context.Context, random *rand.Rand) string {
	controls := s.controlDaemons()
	if slices.ContainsFunc(controls, (*daemon).isReplaced) {
		return ""
	}
	for _, d := range controls {
		d.kill()
	}
	for _, d := range controls {
		s.after(ctx, between(random, 100*time.Millisecond, time.Second), func() { s.restart(d) })
	}
	return "all"
}

// loseFolder kills a control daemon and starts it again with an empty folder, when all others are there.
func (s *soak) loseFolder(_ context.Context, random *rand.Rand) string {
	d := one(random, s.controlDaemons())
	for _, other := range s.controlDaemons() {
		life, since, stopping := other.state()
		if life == 0 || stopping || time.Since(since) < calmBefore {
			return ""
		}
	}
	if time.Since(s.wiped) < wipeGap || s.Controls < 3 {
		return ""
	}
	s.wiped = time.Now()
	d.kill()
	if err := d.wipe(); err != nil {
		return err.Error()
	}
	s.restart(d)
	return string(d.name)
}

func (s *soak) freeze(ctx context.Context, random *rand.Rand) string {
	d := one(random, s.daemons())
	d.pause(true)
	wait := between(random, 200*time.Millisecond, 7*time.Second)
	s.after(ctx, wait, func() { d.pause(false) })
	return fmt.Sprintf("%s for %v", d.name, wait)
}

// freezeControl pauses a control daemon, so that what it gets meanwhile is read late.
func (s *soak) freezeControl(ctx context.Context, random *rand.Rand) string {
	d := one(random, s.controlDaemons())
	d.pause(true)
	wait := between(random, 500*time.Millisecond, longestHold)
	s.after(ctx, wait, func() { d.pause(false) })
	return fmt.Sprintf("%s for %v", d.name, wait)
}

// holdControl holds back what other daemons, or operators, send to a control daemon.
func (s *soak) holdControl(ctx context.Context, random *rand.Rand) string {
	d := one(random, s.controlDaemons())
	l, from := d.link, "daemons"
	if random.IntN(2) == 0 {
		l, from = d.calls, "operators"
	}
	l.set(weather{muteTo: true})
	wait := between(random, 500*time.Millisecond, longestHold)
	s.after(ctx, wait, func() { l.set(weather{}) })
	return fmt.Sprintf("%s from %s for %v", d.name, from, wait)
}

// links are all links, by what is behind them.
func (s *soak) links() map[ident.Daemon]*link {
	all := map[ident.Daemon]*link{}
	for _, d := range s.daemons() {
		all[d.name] = d.link
		if d.calls != nil {
			all[d.name+" calls"] = d.calls
		}
	}
	for _, e := range s.alive() {
		all[ident.Daemon(e.id)] = e.link
	}
	return all
}

func (s *soak) someLink(random *rand.Rand) (ident.Daemon, *link) {
	all := s.links()
	name := one(random, sortedNames(all))
	return name, all[name]
}

func (s *soak) storm(ctx context.Context, random *rand.Rand) string {
	name, l := s.someLink(random)
	w := one(random, []weather{
		{delay: between(random, 5*time.Millisecond, 100*time.Millisecond)}, {delay: between(random, 100*time.Millisecond, 3*time.Second)},
		{muteTo: true}, {muteFrom: true}, {muteTo: true, muteFrom: true}, {refuse: true},
	})
	l.set(w)
	wait := between(random, 300*time.Millisecond, 5*time.Second)
	s.after(ctx, wait, func() { l.set(weather{}) })
	return fmt.Sprintf("%s %+v for %v", name, w, wait)
}

func (s *soak) resets(_ context.Context, random *rand.Rand) string {
	name, l := s.someLink(random)
	l.reset()
	return string(name)
}
