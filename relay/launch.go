package relay

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// launchTime is what a first word takes beyond the passes of the estimate until it has been measured: what engines
	// usually need. launchOff is how far first words are off that.
	launchTime = 100 * time.Millisecond
	launchOff  = 30 * time.Millisecond
	// launchSmoothing is the weight of a new first word in what is known, launchClip how far off it may be taken to be: without
	// that a few first words of a group that stood still for a moment make an entry believe for long that nothing can be in time,
	// and refuse what others take.
	launchSmoothing = 0.05
	launchClip      = 100 * time.Millisecond
	// launchMost, launchOffLeast and launchOffMost bound them.
	launchMost     = 200 * time.Millisecond
	launchOffLeast = 10 * time.Millisecond
	launchOffMost  = 60 * time.Millisecond
)

// launch is what first words of a model take beyond the estimate: the average, and how far they are off it on average.
type launch struct {
	usual time.Duration
	off   time.Duration
}

// learn takes how long a first word took beyond the estimate.
func (l launch) learn(took time.Duration) launch {
	off := min(launchClip, max(-launchClip, took-l.usual))
	l.usual += time.Duration(launchSmoothing * float64(off))
	l.usual = min(launchMost, max(-launchMost, l.usual))
	l.off += time.Duration(launchSmoothing * float64(off.Abs()-l.off))
	l.off = min(launchOffMost, max(launchOffLeast, l.off))
	return l
}

// launchOf returns what first words of a model take beyond the estimate; the mutex is held.
func (s *Relay) launchOf(model ident.Model) launch {
	if l, ok := s.launch[model]; ok {
		return l
	}
	return launch{launchTime, launchOff}
}

// learnLaunch takes the first word of the first try of a request; the mutex is held.
func (x *exchange) learnLaunch() {
	if x.expected == 0 || len(x.tries) != 1 {
		return
	}
	x.s.launch[x.model] = x.s.launchOf(x.model).learn(x.first - x.expected)
}
