package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/result"
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
