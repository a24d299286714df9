package soak_test

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/soak"
)

// Entries stop in series while upstreams pause, and callers use their connections until the process is gone. Nothing is cut off.
func TestStopsInSeries(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{4, 6} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			report := play(t, &soak.Plan{
				Seed: seed, Planned: true, Stops: true, Untimed: true, Block: 2, Length: 14 * time.Second, Binary: binary,
				Controls: 3, Entries: 4, Engines: 8, Plains: 2, Callers: 24,
			})
			if report.Answers["whole"] == 0 {
				t.Errorf("no whole answer: %v", report.Answers)
			}
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "dunlinquay")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/dunlinquay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// play plays one run, which breaks no promise.
func play(t *testing.T, plan *soak.Plan) *soak.Report {
	t.Helper()
	plan.Folder = t.TempDir()
	report, err := soak.Run(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Broken) > 0 {
		t.Errorf("broken:\n%s\n\ndone:\n%s", strings.Join(report.Broken, "\n"), strings.Join(report.Notes, "\n"))
	}
	return report
}

// Two short runs of the real program. What is checked here holds on a machine of any speed: only how much is done in the
// time differs.
func TestShortRuns(t *testing.T) {
	binary := build(t)
	for _, c := range []struct {
		name    string
		seed    uint64
		planned bool
		fatal   bool
	}{
		{"faults", 1, false, false},
		{"planned stops and changes", 4, true, false},
		{"requests that end what runs them", 7, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			report := play(t, &soak.Plan{
				Seed: c.seed, Planned: c.planned, Fatal: c.fatal, Untimed: true, Block: 1, Length: 6 * time.Second, Binary: binary,
				Controls: 3, Entries: 2, Engines: 8, Plains: 2,
			})
			if report.Answers["whole"] == 0 {
				t.Errorf("no whole answer: %v", report.Answers)
			}
		})
	}
}

// Control daemons are replaced, planned and not, while folders are lost right after changes. The configuration comes back.
// A daemon that had been stopped for good kept its vote for 2.5 s, in which two lost folders ended the quorum.
func TestReplacementsOfControl(t *testing.T) {
	report := play(t, &soak.Plan{
		Seed: 1, Replacements: true, Untimed: true, Block: 3, Length: 30 * time.Second, Binary: build(t),
		Controls: 5, Entries: 1, Engines: 4, Plains: 2, Callers: 4,
	})
	if report.Answers["whole"] == 0 {
		t.Errorf("no whole answer: %v", report.Answers)
	}
}

// Halls are drained again and again, while control daemons read late what operators and other daemons sent. An undrain that its operator had given
// up ended a newer drain.
func TestHallsAreDrainedInSeries(t *testing.T) {
	report := play(t, &soak.Plan{
		Seed: 88011, Halls: true, Untimed: true, Block: 4, Length: 40 * time.Second, Binary: build(t),
		Controls: 5, Entries: 2, Engines: 8, Plains: 2, Callers: 8,
	})
	if report.Answers["whole"] == 0 {
		t.Errorf("no whole answer: %v", report.Answers)
	}
}
