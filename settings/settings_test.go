package settings_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

const good = `{
	// a comment
	"name": "a", "region": "r", "hall": "h",
	"addresses": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
	"data-folder": "/tmp/a",
	"control-members": ["a"],
}`

func faultsOf(t *testing.T, content string) []string {
	t.Helper()
	_, err := settings.Parse("f.json", []byte(content))
	if err == nil {
		return []string{}
	}
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("not a list of faults: %v", err)
	}
	list := []string{}
	for _, f := range faults {
		list = append(list, fmt.Sprintf("%d:%d %d %s", f.Line, f.Column, f.Code, f.Path))
	}
	return list
}

func TestFiveFaultsAreAllLocated(t *testing.T) {
	got := faultsOf(t, `{
	"name": "Not A Name",
	"region": "r", "hal": "h",
	"addresses": {"callers": "nowhere", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
	"control-members": ["a", "b"],
	"times": {"presence-bound": 3},
	"hall": "h"
}`)
	want := []string{
		"2:10 1005 name",
		"3:17 1002 hal",
		"4:27 1005 addresses.callers",
		"5:21 1005 control-members",
		"6:30 1003 times.presence-bound",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	with := func(old, replacement string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("%q is not in the good file", old)
		}
		return strings.Replace(good, old, replacement, 1)
	}
	more := func(text string) string { return with(`"data-folder"`, text+"\n\t"+`"data-folder"`) }
	for _, c := range []struct {
		name    string
		content string
		want    []string
	}{
		{"good", good, []string{}},
		{"not JSON", `{"name": `, []string{"1:10 1001 (file)"}},
		{"a list", `[]`, []string{"1:1 1003 (file)"}},
		{"a key twice", more(`"name": "b",`), []string{"5:2 1006 name"}},
		{"an unknown key deep inside", more(`"limits": {"body-byte": 1},`), []string{"5:13 1002 limits.body-byte"}},
		{"a number for a string", with(`"name": "a"`, `"name": 1`), []string{"3:10 1003 name"}},
		{"a fraction for a whole number", more(`"limits": {"body-bytes": 1.5},`), []string{"5:27 1003 limits.body-bytes"}},
		{"a duration that is none", more(`"times": {"beat": "soon"},`), []string{"5:20 1005 times.beat"}},
		{"a host name", with(`127.0.0.1:1`, `localhost:1`), []string{"4:27 1005 addresses.callers"}},
		{"one address twice", with(`127.0.0.1:2`, `127.0.0.1:1`), []string{"4:55 1006 addresses.operators"}},
		{"two control members", with(`["a"]`, `["a", "b"]`), []string{"6:21 1005 control-members", "6:27 1006 control-members[1]"}},
		{"control without a folder", with(`"data-folder": "/tmp/a",`, ``), []string{"6:21 1006 control-members"}},
		{"a lease as long as an election", more(`"times": {"lease": "1s", "election": "1s"},`), []string{"5:21 1006 times.lease"}},
		{"an election of one heartbeat", more(`"times": {"heartbeat": "300ms"},`), []string{"5:11 1006 times.election"}},
		{"a presence bound of one probe", more(`"times": {"presence-bound": "300ms"},`), []string{"5:30 1006 times.presence-bound"}},
		{"a plain key where its hash belongs", more(`"operators": [{"name": "o", "key-hash": "secret"}],`), []string{"5:42 1005 operators[0].key-hash"}},
		{"a VM twice", more(`"upstreams": [{"name": "w", "address": "127.0.0.1:9", "hall": "h", "domain": "d", "accelerators": 8}, {"name": "w", "address": "127.0.0.1:9", "hall": "h", "domain": "d", "accelerators": 8}],`), []string{"5:113 1006 upstreams[1].name"}},
		{"a VM without accelerators", more(`"upstreams": [{"name": "w", "address": "127.0.0.1:9", "hall": "h", "domain": "d"}],`), []string{"5:16 1005 upstreams[0].accelerators"}},
		{"a route that is none", more(`"services": [{"name": "s", "addresses": ["127.0.0.1:9"], "not-repeatable": ["charges"]}],`), []string{"5:78 1005 services[0].not-repeatable[0]"}},
		{"weights of nothing", more(`"policy": {"downtime": 0, "stranded": 0},`), []string{"5:12 1005 policy"}},
		{"half of TLS", more(`"tls": {"certificate": "c", "key": "k"},`), []string{"5:9 1004 tls.authority"}},
	} {
		if diff := cmp.Diff(c.want, faultsOf(t, c.content)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestSuggestions(t *testing.T) {
	_, err := settings.Parse("f.json", []byte(`{"control-member": []}`))
	if err == nil || !strings.Contains(err.Error(), `did you mean "control-members"?`) {
		t.Errorf("no suggestion: %v", err)
	}
}

func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	if err != nil || len(files) < 3 {
		t.Fatalf("%d examples, error %v", len(files), err)
	}
	for _, file := range files {
		if _, err := settings.Load(file); err != nil {
			t.Errorf("%v", err)
		}
	}
}

func TestAMissingFileHasItsOwnCode(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none"))
	if code := result.CodeOf(err); code != result.SettingsUnreadable || !strings.Contains(result.Text(err), "no such file") {
		t.Errorf("code %d: %v", code, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(`{"name": 1, "peers": [{"name": {}}], "times": []}`)
	f.Add(`{"upstreams": [{"labels": {"a": 1}}]}`)
	f.Add("{")
	f.Fuzz(func(t *testing.T, content string) {
		cfg, err := settings.Parse("f.json", []byte(content))
		if (cfg == nil) != (err != nil) {
			t.Fatalf("settings %v with error %v", cfg, err)
		}
		var faults settings.Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0 || faults[0].Line < 1 || faults[0].Column < 1) {
			t.Fatalf("fault without a place: %v", err)
		}
	})
}
