package clock_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
)

// machine has a steady clock, a time of day, and a time that it was suspended for.
type machine struct {
	steady time.Duration
	day    time.Time
	away   time.Duration
	asked  int
}

func (m *machine) clock() *clock.Clock {
	return clock.New(func() clock.Reading {
		return clock.Reading{Time: time.Unix(0, 0).Add(m.steady), Steady: m.steady, Day: m.day}
	}, func() time.Duration {
		m.asked++
		return m.away
	})
}

// runs lets time pass, suspended lets it pass while the machine stands still.
func (m *machine) runs(d time.Duration) {
	m.steady += d
	m.day = m.day.Add(d)
}

func (m *machine) suspended(d time.Duration) {
	m.away += d
	m.day = m.day.Add(d)
}

// The first reading after a suspension counts it; one before the process began does not count.
func TestSuspensionsCount(t *testing.T) {
	m := &machine{day: time.Unix(1_000_000, 0), away: time.Hour}
	c := m.clock()
	var told []time.Duration
	c.Awake = func(d time.Duration) { told = append(told, d) }
	began := c.Now()
	m.runs(2 * time.Second)
	if got := c.Now().Sub(began); got != 2*time.Second {
		t.Errorf("%v passed without a suspension, want 2s", got)
	}
	m.suspended(5 * time.Second)
	m.runs(time.Millisecond)
	if got, want := c.Now().Sub(began), 7001*time.Millisecond; got != want {
		t.Errorf("%v passed with a suspension, want %v", got, want)
	}
	if diff := cmp.Diff([]time.Duration{5 * time.Second}, told); diff != "" {
		t.Errorf("suspensions told (-want +got):\n%s", diff)
	}
}

// A step of the time of day makes the clock ask, and counts for nothing; one that hides a suspension is found within a second.
func TestStepsOfTheTimeOfDay(t *testing.T) {
	m := &machine{day: time.Unix(1_000_000, 0)}
	c := m.clock()
	away := time.Duration(0)
	c.Awake = func(d time.Duration) { away += d }
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second} {
		asked := m.asked
		m.day = m.day.Add(step)
		c.Now()
		if m.asked != asked+1 || away != 0 {
			t.Errorf("step %v: asked %d times, %v counted, want once and nothing", step, m.asked-asked, away)
		}
	}
	m.suspended(3 * time.Second)
	m.day = m.day.Add(-3 * time.Second)
	c.Now()
	m.runs(1100 * time.Millisecond)
	c.Now()
	if away != 3*time.Second {
		t.Errorf("%v counted of a suspension behind a step, want 3s", away)
	}
}

// While nothing happens the boot clock is asked once a second, however often the time is read.
func TestTheBootClockIsAskedSeldom(t *testing.T) {
	m := &machine{day: time.Unix(1_000_000, 0)}
	c := m.clock()
	asked := m.asked
	for range 10_000 {
		m.runs(time.Millisecond)
		c.Now()
	}
	if got := m.asked - asked; got > 10 {
		t.Errorf("asked %d times in ten seconds, want ten at most", got)
	}
}

// The clock of the process never goes back.
func TestTheClockOfTheProcess(t *testing.T) {
	last := clock.Now()
	for range 10_000 {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("went back by %v", last.Sub(now))
		}
		last = now
	}
	if got := clock.Since(last); got < 0 || got > time.Minute {
		t.Errorf("%v since just now", got)
	}
}

func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
