package clock

// Three clocks, and none does for a lease:
//
//	                          suspended for 5 s   time of day set back by 2 s
//	steady (Go's monotonic)   0                   0
//	time of day               +5 s                -2 s
//	CLOCK_BOOTTIME            +5 s                0
//
// A leader that was suspended still believes in its lease by the steady clock, an
// entry in keys that were taken away meanwhile. Reading CLOCK_BOOTTIME takes a
// system call, so Now reads the steady clock and the time of day, which take
// none, and asks the third only when these two have moved apart, and once a
// second. What it finds is added to the steady clock.

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// apart is how far the time of day and the steady clock must have moved apart since the last reading to ask the boot clock: slewing
	// moves them by half a millisecond a second.
	apart = 2 * time.Millisecond
	// askEvery is how often it is asked in any case: a step of the time of day may hide a suspension.
	askEvery = time.Second
	// least is the shortest suspension that is told of.
	least = 50 * time.Millisecond
)

// Reading is one look at the two clocks that take no system call.
type Reading struct {
	// Time goes by the steady clock, Steady is how long that has run.
	Time   time.Time
	Steady time.Duration
	// Day is the time of day.
	Day time.Time
}

// Clock is a clock that counts suspensions; exported fields are set before use.
type Clock struct {
	// Read reads the steady clock and the time of day.
	Read func() Reading
	// Suspended returns how long the machine was suspended since it was booted.
	Suspended func() time.Duration
	// Awake is told for how long the machine was suspended; it must not block.
	Awake func(away time.Duration)

	first time.Duration
	// away is how long it was suspended since the clock was made, gap the time of day less the steady clock, asked when the boot clock
	// was last asked; all in ns.
	away  atomic.Int64
	gap   atomic.Int64
	asked atomic.Int64
}

// New returns a clock that goes by read, and by suspended for what that does not count.
func New(read func() Reading, suspended func() time.Duration) *Clock {
	c := &Clock{Read: read, Suspended: suspended, Awake: func(time.Duration) {}, first: suspended()}
	r := read()
	c.gap.Store(r.Day.UnixNano() - int64(r.Steady))
	c.asked.Store(int64(r.Steady))
	return c
}

// Now returns the time. Differences between two of its times count suspensions; the time of day in it does not mean anything. It takes
// 10 to 40 ns longer than time.Now.
func (c *Clock) Now() time.Time {
	r := c.Read()
	gap := r.Day.UnixNano() - int64(r.Steady)
	moved := time.Duration(gap - c.gap.Load()).Abs()
	if moved > 0 {
		c.gap.Store(gap)
	}
	if moved > apart || r.Steady-time.Duration(c.asked.Load()) > askEvery {
		c.ask(r.Steady)
	}
	return r.Time.Add(time.Duration(c.away.Load()))
}

// ask asks the boot clock.
func (c *Clock) ask(steady time.Duration) {
	c.asked.Store(int64(steady))
	away := int64(c.Suspended() - c.first)
	for {
		old := c.away.Load()
		if away <= old {
			return
		}
		if c.away.CompareAndSwap(old, away) {
			if d := time.Duration(away - old); d >= least {
				c.Awake(d)
			}
			return
		}
	}
}

// suspended reads how far the boot clock is ahead of the steady one.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	// A kernel that lacks the clock cannot be suspended either, as far as anybody can tell.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// base is when this process began to tell the time.
var base = time.Now()

func read() Reading {
	t := time.Now()
	// One reading has both: differences go by the steady clock, UnixNano by the time of day.
	return Reading{Time: t, Steady: t.Sub(base), Day: t}
}

// process is the clock of this process.
var process = New(read, suspended)

// Now returns the time by the clock of this process.
func Now() time.Time {
	return process.Now()
}

// Since returns how long ago t was, a time of Now.
func Since(t time.Time) time.Duration {
	return process.Now().Sub(t)
}

// OnAwake sets who is told that the machine was suspended, and for how long; it is called before anything else runs.
func OnAwake(awake func(away time.Duration)) {
	process.Awake = awake
}
