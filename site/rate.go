package site

import (
	"math"
	"time"
)

// rateHalf is the time after which work that was asked for counts half.
const rateHalf = 3 * time.Second

// rate is an average of work a second that fades with time.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(now time.Time, work float64) {
	r.fade(now)
	r.value += work * math.Ln2 / rateHalf.Seconds()
}

func (r *rate) at(now time.Time) float64 {
	r.fade(now)
	return r.value
}

func (r *rate) fade(now time.Time) {
	if !r.last.IsZero() {
		r.value *= math.Exp2(-float64(now.Sub(r.last)) / float64(rateHalf))
	}
	r.last = now
}
