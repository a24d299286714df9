package relay

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// launchTime is what a first word takes beyond the passes of the estimate until it has been measured: engines were seen
	// to need 75 to 115 ms.
	launchTime = 100 * time.Millisecond
	// launchSmoothing is the weight of a new first word in the measured time.
	launchSmoothing = 0.05
)

// launchOf returns what first words of a model take beyond the estimate; the mutex is held.
func (s *Relay) launchOf(model ident.Model) time.Duration {
	if d, ok := s.launch[model]; ok {
		return d
	}
	return launchTime
}

// learnLaunch takes the first word of the first try of a request; the mutex is held.
func (x *exchange) learnLaunch() {
	if x.expected == 0 || len(x.tries) != 1 {
		return
	}
	known := x.s.launchOf(x.model)
	x.s.launch[x.model] = known + time.Duration(launchSmoothing*float64(x.first-x.expected-known))
}
