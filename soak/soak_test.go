package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/soak"
)

// Two short runs of the real program. What is checked here holds on a machine of any speed: only how much is done in the
// time differs.
func TestShortRuns(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "dunlinquay")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/dunlinquay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
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
			report, err := soak.Run(t.Context(), &soak.Plan{
				Seed: c.seed, Planned: c.planned, Fatal: c.fatal, Untimed: true, Block: 1, Length: 6 * time.Second, Binary: binary, Folder: t.TempDir(),
				Controls: 3, Entries: 2, Engines: 8, Plains: 2,
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Broken) > 0 {
				t.Errorf("broken:\n%s\n\ndone:\n%s", strings.Join(report.Broken, "\n"), strings.Join(report.Notes, "\n"))
			}
			if report.Answers["whole"] == 0 {
				t.Errorf("no whole answer: %v", report.Answers)
			}
		})
	}
}
