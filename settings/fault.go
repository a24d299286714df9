package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/dunlinquay/dunlinquay/result"
)

// Fault is one thing wrong in a settings file: its place (line and column from 1, in bytes), kebab-case path, code and words.
type Fault struct {
	File   string
	Line   int
	Column int
	Path   string
	Code   result.Code
	Text   string
}

// String returns the fault on one line: place, code, name, path and words.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %d %s: %s: %s", f.File, f.Line, f.Column, f.Code, result.Lookup(f.Code).Name, f.Path, f.Text)
}

// Faults is every fault of one file in the order of the file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return f
}
