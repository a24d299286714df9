package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/site"
)

// These tests stand inside the package, because a program cannot be imported.

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"name": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const nobody = "http://127.0.0.1:1"
	for _, c := range []struct {
		args []string
		exit int
	}{
		{[]string{"version"}, 0},
		{[]string{"codes"}, 0},
		{[]string{"key"}, 0},
		{[]string{"check", "../../examples/loopback/a.json"}, 0},
		{[]string{"check", bad}, 3},
		{[]string{"check", bad + ".none"}, 3},
		{[]string{"check"}, 2},
		{[]string{"no-such-command"}, 2},
		{[]string{"run"}, 2},
		{[]string{"run", "--settings", bad}, 3},
		{[]string{"group", "list", "--daemon", nobody}, 1},
		{[]string{"group", "create", "g", "--daemon", nobody}, 2},
		{[]string{"group", "create", "g", "--model", "m", "--selector", "x", "--daemon", nobody}, 4},
		{[]string{"group", "create", "g", "--model", "m", "--daemon", nobody}, 1},
		{[]string{"vm", "label", "w", "x", "--daemon", nobody}, 2},
		{[]string{"wait", "soon", "--daemon", nobody}, 2},
		{[]string{"standin", "--kind", "other"}, 2},
		{[]string{"site", "groups"}, 2},
		{[]string{"site", "groups", "--settings", bad}, 3},
		{[]string{"site", "groups", "--control", "127.0.0.1:1"}, 1},
		{[]string{"hall", "list", "--control", "127.0.0.1:1"}, 1},
		{[]string{"hall", "drain", "--control", "127.0.0.1:1"}, 2},
		{[]string{"hall", "drain", "a", "--control", "127.0.0.1:1"}, 1},
		{[]string{"hall", "uncordon", "a"}, 2},
		{[]string{"site", "load"}, 2},
		{[]string{"site", "load", "--control", "127.0.0.1:1"}, 1},
		{[]string{"site", "release", "5c1e07a2"}, 2},
		{[]string{"site", "release", "--control", "127.0.0.1:1"}, 2},
		{[]string{"site", "release", "5c1e07a2", "--control", "127.0.0.1:1"}, 1},
		{[]string{"site", "explain", "--control", "127.0.0.1:1"}, 2},
		{[]string{"site", "explain", "g", "--control", "127.0.0.1:1"}, 1},
	} {
		if exit := execute(t.Context(), c.args); exit != c.exit {
			t.Errorf("%v: exit code %d, want %d", c.args, exit, c.exit)
		}
	}
}

func TestKeyPrintsAKeyAndItsHash(t *testing.T) {
	cmd := newRoot()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"key"})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(out.String())
	if len(fields) != 4 || keys.Hash(fields[1]) != fields[3] {
		t.Errorf("printed %q", out.String())
	}
}

func TestEveryCommandHasHelpAndAnExample(t *testing.T) {
	var look func(c *cobra.Command)
	look = func(c *cobra.Command) {
		if c.Short == "" {
			t.Errorf("%s has no help", c.CommandPath())
		}
		if c.Runnable() && c.Example == "" {
			t.Errorf("%s has no example", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			look(sub)
		}
	}
	look(newRoot())
}

func TestEveryCodeHasAnExitCode(t *testing.T) {
	for _, info := range result.Table() {
		if info.Exit < 0 || info.Exit > 7 || (info.Exit == 0) != (info.Code == result.OK) {
			t.Errorf("code %d exits with %d", info.Code, info.Exit)
		}
	}
}

// Guards against columns that do not belong to their heads, and against a delay of 0 where none is known.
func TestLoadTable(t *testing.T) {
	state := &site.State{Leader: "10.0.0.1:7000", Since: time.Date(2026, 1, 1, 12, 30, 0, 0, time.UTC), Entries: 74, Load: site.LoadState{
		Queues: []site.QueueState{
			{Service: "chat", Model: "large", AgeMS: 240, Delay: &site.DelayState{MeanMS: 7.25, DeviationMS: 12, Samples: 31.6}, Levels: []site.LevelState{
				{Urgency: 1001, Arrived: 24.1, Sent: 24}, {Urgency: 1002, Waiting: 12, Arrived: 16.1, Sent: 9, Refused: 7.1},
			}, Customers: []site.CustomerState{{Urgency: 1002, Customer: "north", Sent: 3.5, Unmet: 1.25}}},
			{Service: "chat", Model: "small", Levels: []site.LevelState{{Urgency: 0, Waiting: 1}}},
		},
		Answers: []site.AnswerState{
			{Class: "summary", Model: "large", Answers: 800, Mean: 15, Median: 13, Long: 29, Ratio: 1.25}, {Class: "draft", Model: "small", Answers: 9, Mean: 160, Median: 150, Long: 300},
		},
	}}
	var out bytes.Buffer
	q := &session{output: "table"}
	if err := q.print(&out, state, func(w io.Writer) { loadTable(w, state) }); err != nil {
		t.Fatal(err)
	}
	const want = `leader 10.0.0.1:7000 since 12:30:00, 74 entries

SERVICE  MODEL  URGENCY  WAITING  ARRIVED/S  SENT/S  REFUSED/S  OLDEST REPORT
chat     large  1001     0        24.1       24.0    0.0        240ms
chat     large  1002     12       16.1       9.0     7.1        240ms
chat     small  0        1        0.0        0.0     0.0        0s

SERVICE  MODEL  FIRST EVENT LATE BY  DEVIATION  SAMPLES
chat     large  7.2 ms               12.0 ms    32
chat     small  -                    -          0

CLASS    MODEL  ANSWERS  MEAN TOKENS  MEDIAN  NINE OF TEN UP TO  RATIO TO HINT
summary  large  800      15           13      29                 1.25
draft    small  9        160          150     300                -

SERVICE  MODEL  URGENCY  CUSTOMER  WORK SENT  WORK UNMET
chat     large  1002     north     3.50       1.25
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
}
