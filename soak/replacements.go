package soak

// Replacements of control daemons by others with empty folders and other addresses, planned and not, and losses of folders
// right after an acknowledged change. A site of five tolerates the loss of two, one of three that of one; lostControls
// counts them, and no folder is lost beyond that.

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// catchUpTime is how long a control daemon counts as lost after its start.
	catchUpTime = 4 * time.Second
	// maxSuccessorLead is the most by which a successor starts before the planned stop, maxSuccessorDelay the most by which it
	// starts after a loss.
	maxSuccessorLead  = 6 * time.Second
	maxSuccessorDelay = 2 * time.Second
	// maxReplacedAtOnce bounds how many daemons are replaced by plan at the same time.
	maxReplacedAtOnce = 2
	// maxFolderDown is the most for which a daemon is down after it has lost its folder.
	maxFolderDown = 3 * time.Second
	// changeWait bounds the wait for a change that is acknowledged.
	changeWait = 2 * time.Second
	changePoll = 2 * time.Millisecond
	lossPoll   = 50 * time.Millisecond
)

// replaceBy marks a daemon as replaced for good.
func (d *daemon) replaceBy(successor *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successor = successor
}

func (d *daemon) isReplaced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.successor != nil
}

// caughtUp reports whether the daemon has run for catchUpTime.
func (d *daemon) caughtUp() bool {
	life, since, _ := d.state()
	return life > 0 && time.Since(since) >= catchUpTime
}

// lost reports whether the daemon counts as lost: it is down, stopping or has just started. One that is replaced does not
// count any more once its successor has caught up.
func (d *daemon) lost() bool {
	d.mu.Lock()
	successor := d.successor
	d.mu.Unlock()
	if successor != nil && successor.caughtUp() {
		return false
	}
	_, _, stopping := d.state()
	return stopping || !d.caughtUp()
}

// lostControls counts the control daemons that are lost.
func (s *soak) lostControls() int {
	n := 0
	for _, d := range s.controlDaemons() {
		if d.lost() {
			n++
		}
	}
	return n
}

// toleratedLosses is how many control daemons may be lost at once with their folders.
func (s *soak) toleratedLosses() int {
	return min(2, (s.Controls-1)/2)
}

// replaceable returns a control daemon that runs, is not stopping and has caught up, or nil.
func (s *soak) replaceable(random *rand.Rand) *daemon {
	controls := s.controlDaemons()
	for _, i := range random.Perm(len(controls)) {
		if d := controls[i]; !d.isReplaced() && !d.lost() {
			return d
		}
	}
	return nil
}

// replaceControl starts successors of one or two control daemons and stops these by plan a while later, when the site
// tolerates that.
func (s *soak) replaceControl(ctx context.Context, random *rand.Rand) string {
	var names []string
	for range 1 + random.IntN(maxReplacedAtOnce) {
		d := s.replaceable(random)
		if d == nil || len(s.controlDaemons()) >= s.Controls+maxReplacedAtOnce {
			break
		}
		successor := s.startSuccessor(d)
		if successor == nil {
			break
		}
		lead := between(random, 0, maxSuccessorLead)
		names = append(names, string(d.name)+" by "+string(successor.name)+" after "+lead.String())
		s.tasks.Go(func() {
			pause(ctx, lead)
			<-s.stopWhenTolerated(d, successor)
			s.retire(d, successor)
		})
	}
	return strings.Join(names, ", ")
}

// replaceLostControl ends a control daemon for good and starts its successor a while later.
func (s *soak) replaceLostControl(ctx context.Context, random *rand.Rand) string {
	s.losing.Lock()
	defer s.losing.Unlock()
	d := s.replaceable(random)
	// The lost one and its successor count both, at first.
	if d == nil || s.lostControls()+2 > s.toleratedLosses() {
		return ""
	}
	successor := s.newSuccessor(d)
	if successor == nil {
		return ""
	}
	d.kill()
	delay := between(random, 0, maxSuccessorDelay)
	s.after(ctx, delay, func() {
		s.startNew(successor)
		s.retire(d, successor)
	})
	return string(d.name) + " by " + string(successor.name) + " after " + delay.String()
}

// stopWhenTolerated begins the planned stop of a daemon once the site tolerates that, and returns its end.
func (s *soak) stopWhenTolerated(d, successor *daemon) <-chan struct{} {
	for s.ctx.Err() == nil {
		s.losing.Lock()
		if successor.caughtUp() || s.lostControls() < s.toleratedLosses() {
			defer s.losing.Unlock()
			return d.signal(syscall.SIGTERM)
		}
		s.losing.Unlock()
		pause(s.ctx, lossPoll)
	}
	return d.signal(syscall.SIGTERM)
}

// newSuccessor returns the successor of a daemon, or nil if there is no address for one.
func (s *soak) newSuccessor(d *daemon) *daemon {
	successor, err := s.layControl(s.ctx)
	if err != nil {
		s.notef("no successor of %s: %v", d.name, err)
		return nil
	}
	d.replaceBy(successor)
	return successor
}

func (s *soak) startSuccessor(d *daemon) *daemon {
	successor := s.newSuccessor(d)
	if successor != nil {
		s.startNew(successor)
	}
	return successor
}

// startNew starts a control daemon with the seeds as they are now.
func (s *soak) startNew(d *daemon) {
	d.cfg.Seeds = s.currentSeeds()
	s.mu.Lock()
	s.controls = append(s.controls, d)
	s.mu.Unlock()
	s.restart(d)
}

// currentSeeds returns the addresses of the first control daemons that are not replaced.
func (s *soak) currentSeeds() []string {
	var seeds []string
	for _, d := range s.controlDaemons() {
		if !d.isReplaced() && len(seeds) < seedCount {
			seeds = append(seeds, d.calls.address())
		}
	}
	return seeds
}

// retire removes a daemon that has ended once its successor has caught up, and tells all others the new seeds.
func (s *soak) retire(d, successor *daemon) {
	for s.ctx.Err() == nil && !successor.caughtUp() {
		pause(s.ctx, lossPoll)
	}
	s.mu.Lock()
	var rest []*daemon
	for _, other := range s.controls {
		if other != d {
			rest = append(rest, other)
		}
	}
	s.controls = rest
	s.mu.Unlock()
	s.notef("%s has been replaced by %s", d.name, successor.name)
	seeds := s.currentSeeds()
	for _, other := range s.daemons() {
		if err := other.changeSeeds(seeds); err != nil && !errors.Is(err, os.ErrProcessDone) {
			s.notef("%s does not get the new seeds: %v", other.name, err)
		}
	}
}

// loseFoldersAfterChange removes the folders of as many control daemons as the site tolerates, right after a change has been
// acknowledged.
func (s *soak) loseFoldersAfterChange(ctx context.Context, random *rand.Rand) string {
	s.waitForChange(ctx)
	s.losing.Lock()
	defer s.losing.Unlock()
	room := s.toleratedLosses() - s.lostControls()
	if room <= 0 {
		return ""
	}
	var lost []*daemon
	controls := s.controlDaemons()
	for _, i := range random.Perm(len(controls)) {
		if d := controls[i]; len(lost) < room && !d.isReplaced() && !d.lost() {
			lost = append(lost, d)
		}
	}
	for _, d := range lost {
		d.signal(syscall.SIGKILL)
	}
	var names []string
	for _, d := range lost {
		names = append(names, s.loseFolderOf(ctx, random, d))
	}
	return strings.Join(names, ", ")
}

// loseFolderOf waits for the end of a process, removes its folder and starts it again a while later.
func (s *soak) loseFolderOf(ctx context.Context, random *rand.Rand, d *daemon) string {
	d.kill()
	if err := d.wipe(); err != nil {
		s.notef("%v", err)
	}
	s.after(ctx, between(random, 0, maxFolderDown), func() { s.restart(d) })
	return string(d.name)
}

// waitForChange waits until another change has been acknowledged.
func (s *soak) waitForChange(ctx context.Context) {
	before := s.truth.newestAccepted()
	for until := time.Now().Add(changeWait); ctx.Err() == nil && time.Now().Before(until) && s.truth.newestAccepted() == before; {
		pause(ctx, changePoll)
	}
}
