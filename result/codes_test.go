package result_test

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

func TestTableIsInOrderAndNamed(t *testing.T) {
	last := result.Code(-1)
	names := map[string]bool{}
	for _, info := range result.Table() {
		if info.Code <= last {
			t.Errorf("code %d stands after %d", info.Code, last)
		}
		last = info.Code
		if names[info.Name] || !ident.ValidName(info.Name) || strings.ContainsAny(info.Name, "_.") {
			t.Errorf("code %d: name %q is taken or not in kebab case", info.Code, info.Name)
		}
		names[info.Name] = true
		if info.Meaning == "" || info.Next == "" {
			t.Errorf("code %d lacks its meaning or advice", info.Code)
		}
	}
}

func TestDocsHoldTheTable(t *testing.T) {
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(page), "| code |")
	if !ok {
		t.Fatal("docs/RESULT-CODES.md has no table")
	}
	if diff := cmp.Diff(result.Markdown(), "| code |"+table); diff != "" {
		t.Errorf("docs/RESULT-CODES.md differs from `dunlinquay codes` (-code +page):\n%s", diff)
	}
}

func TestErrorsKeepTheirCode(t *testing.T) {
	inner := result.New(result.NeverSent, "no %s", "way")
	outer := result.Wrap(inner, result.NoWholeGroup, "gave up")
	for _, c := range []struct {
		name string
		err  error
		code result.Code
		text string
	}{
		{"none", nil, result.OK, ""},
		{"plain", os.ErrExist, result.Unnamed, "file already exists"},
		{"coded", inner, result.NeverSent, "5008 never-sent: no way"},
		{"wrapped", outer, result.NoWholeGroup, "2008 no-whole-group: gave up: no way"},
	} {
		if got := result.CodeOf(c.err); got != c.code {
			t.Errorf("%s: code %d, want %d", c.name, got, c.code)
		}
		if c.err == nil {
			continue
		}
		if diff := cmp.Diff(c.text, result.Text(c.err)); diff != "" {
			t.Errorf("%s: text (-want +got):\n%s", c.name, diff)
		}
	}
}
