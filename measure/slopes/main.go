// Command slopes measures how the cost of control grows with the size of a fleet and fits a line to each series.
package main

// The page docs/CAPACITY.md works out each role's load at the target size from
// these slopes. Bytes and counts are exact; processor time is that of the whole
// process between two points, so it is best read as a slope over sizes.
//
//	cd measure && go run ./slopes --json ../out/slopes.json --plots ../out

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is one quantity at several sizes and the line through it: y = intercept + slope*x.
type Series struct {
	Name      string    `json:"name"`
	X         string    `json:"x"`
	Y         string    `json:"y"`
	Xs        []float64 `json:"xs"`
	Ys        []float64 `json:"ys"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	Fit       float64   `json:"r-squared"`
}

func newSeries(name, x, y string, xs []float64, measure func(x float64) float64) *Series {
	s := &Series{Name: name, X: x, Y: y, Xs: xs}
	for _, v := range xs {
		s.Ys = append(s.Ys, measure(v))
	}
	s.Intercept, s.Slope = stat.LinearRegression(s.Xs, s.Ys, nil, false)
	s.Fit = stat.RSquared(s.Xs, s.Ys, nil, s.Intercept, s.Slope)
	return s
}

func (s *Series) draw(folder string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name, s.X, s.Y
	points := make(plotter.XYs, len(s.Xs))
	for i := range s.Xs {
		points[i].X, points[i].Y = s.Xs[i], s.Ys[i]
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.Slope*x })
	p.Add(scatter, line)
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, filepath.Join(folder, strings.ReplaceAll(s.Name, " ", "-")+".svg"))
}

func main() {
	jsonFile := flag.String("json", "", "also write the series to this file")
	plots := flag.String("plots", "", "also draw each series as SVG into this folder")
	flag.Parse()
	if err := run(*jsonFile, *plots); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(jsonFile, plots string) error {
	all := measureAll()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERIES\tX\tY\tSLOPE\tINTERCEPT\tR2\tPOINTS")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4f\t%s\n", s.Name, s.X, s.Y, s.Slope, s.Intercept, s.Fit, points(s))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if jsonFile != "" {
		b, err := json.MarshalIndent(all, "", "  ")
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Dir(jsonFile), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(jsonFile, b, 0o644); err != nil {
			return err
		}
	}
	if plots == "" {
		return nil
	}
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	for _, s := range all {
		if err := s.draw(plots); err != nil {
			return err
		}
	}
	return nil
}

func points(s *Series) string {
	var parts []string
	for i := range s.Xs {
		parts = append(parts, fmt.Sprintf("%g:%.4g", s.Xs[i], s.Ys[i]))
	}
	return strings.Join(parts, " ")
}
