// Command bench runs the project's Go benchmarks several times and prints one JSON object a line for each figure.
package main

// Each figure that docs/MEASUREMENTS.md quotes has a line in figures: the
// benchmark and unit it comes from, the aim if there is one, and the figure
// that it is set against. The verdict of a figure that misses its aim is
// "short"; nothing fails, because a noisy machine is no defect.

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// group is a set of benchmarks of one package that run alike.
type group struct {
	pkg   string
	bench string
	time  string
}

var groups = []group{
	{"./planner", "Plan|NewWorld|State", "300ms"},
	{"./routing", ".", "300ms"},
	{"./admission", ".", "300ms"},
	{"./quorum", "Changes|Restart", "1s"},
	{"./quorum", "LeaderLoss", "5x"},
	{"./daemon", "InForce", "5x"},
	{"./daemon", "Through/^(1|100)-tokens$/", "1000x"},
	{"./daemon", "Through/one-by-one/", "20x"},
	{"./daemon", "Claims", "2000x"},
}

// figure says which measured value is reported, against which aim (the highest acceptable value) and baseline.
type figure struct {
	name, unit string
	baseline   string
	atMost     float64
}

var figures = []figure{
	{name: "PlanFromScratch/10000-vms", unit: "sec/op", atMost: 0.1},
	{name: "PlanOneRepair/10000-vms", unit: "sec/op", atMost: 0.001},
	{name: "NewWorld/10000-vms", unit: "sec/op"},
	{name: "StateBytes/10000-vms", unit: "bytes/vm"},
	{name: "Take/64-groups-of-8", unit: "sec/op", atMost: 5e-6},
	{name: "Take/64-groups-of-8", unit: "allocs/op", atMost: 0},
	{name: "Take/1250-groups-of-8", unit: "sec/op", baseline: "Take/64-groups-of-8"},
	{name: "Admit", unit: "sec/op", atMost: 1e-6},
	{name: "Changes/1-at-once", unit: "changes/s"},
	{name: "Changes/1024-at-once", unit: "changes/s", baseline: "Changes/1-at-once"},
	{name: "RestartAfter10000Changes/with-snapshot", unit: "sec/op", atMost: 1},
	{name: "RestartAfter10000Changes/without-snapshot", unit: "sec/op", atMost: 1},
	{name: "LeaderLoss", unit: "sec/op", atMost: 3},
	{name: "ChangeInForceOn9", unit: "sec/op", atMost: 1},
	{name: "Through/1-tokens/proxy", unit: "cpu-µs/op", baseline: "Through/1-tokens/engine"},
	{name: "Through/1-tokens/daemon", unit: "cpu-µs/op", baseline: "Through/1-tokens/proxy"},
	{name: "Through/1-tokens/daemon", unit: "first-byte-µs", baseline: "Through/1-tokens/engine"},
	{name: "Through/100-tokens/proxy", unit: "cpu-µs/op", baseline: "Through/100-tokens/engine"},
	{name: "Through/100-tokens/daemon", unit: "cpu-µs/op", baseline: "Through/100-tokens/proxy"},
	{name: "Through/100-tokens-one-by-one/proxy", unit: "cpu-µs/op", baseline: "Through/100-tokens-one-by-one/engine"},
	{name: "Through/100-tokens-one-by-one/daemon", unit: "cpu-µs/op", baseline: "Through/100-tokens-one-by-one/proxy"},
	{name: "Claims/1-at-once", unit: "claims/s"},
	{name: "Claims/256-at-once", unit: "claims/s", baseline: "Claims/1-at-once"},
}

// line is one figure as printed.
type line struct {
	Name     string   `json:"name"`
	Unit     string   `json:"unit"`
	Median   float64  `json:"median"`
	Min      float64  `json:"min"`
	Max      float64  `json:"max"`
	Baseline *float64 `json:"baseline"`
	Ratio    *float64 `json:"ratio"`
	Aim      *float64 `json:"aim"`
	Short    bool     `json:"short"`
}

type key struct{ name, unit string }

func main() {
	count := flag.Int("count", 5, "runs of each benchmark")
	flag.Parse()
	if err := run(*count); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(count int) error {
	values := map[key][]float64{}
	for _, g := range groups {
		if err := collect(g, count, values); err != nil {
			return err
		}
	}
	out := json.NewEncoder(os.Stdout)
	for i := range figures {
		if l, ok := report(&figures[i], values); ok {
			if err := out.Encode(l); err != nil {
				return err
			}
		}
	}
	return nil
}

func collect(g group, count int, values map[key][]float64) error {
	cmd := exec.Command("go", "test", "-run", "^$", "-bench", g.bench, "-benchtime", g.time, "-count", fmt.Sprint(count), g.pkg)
	cmd.Dir = ".."
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("%s %s: %w\n%s", g.pkg, g.bench, err, output)
	}
	reader := benchfmt.NewReader(bytes.NewReader(output), g.pkg)
	for reader.Scan() {
		r, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := string(r.Name.Full())
		// The number of processors at the end belongs to the machine, not to the figure.
		if i := strings.LastIndexByte(name, '-'); i > 0 {
			name = name[:i]
		}
		for _, v := range r.Values {
			values[key{name, v.Unit}] = append(values[key{name, v.Unit}], v.Value)
		}
	}
	return reader.Err()
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func report(f *figure, values map[key][]float64) (*line, bool) {
	v := values[key{f.name, f.unit}]
	if len(v) == 0 {
		return nil, false
	}
	l := &line{Name: f.name, Unit: f.unit, Median: median(v), Min: slices.Min(v), Max: slices.Max(v)}
	if b := values[key{f.baseline, f.unit}]; len(b) > 0 {
		base := median(b)
		ratio := l.Median / base
		l.Baseline, l.Ratio = &base, &ratio
	}
	if f.atMost > 0 || f.unit == "allocs/op" {
		l.Aim = &f.atMost
		l.Short = l.Median > f.atMost
	}
	return l, true
}
