// Package scale measures how the resource usage of the product grows with the size of a deployment. A test
// measures each figure at three or more sizes, fits a line, and compares the line's prediction for one more
// size with what is measured there. It counts processor time, bytes and memory of processes; wall time counts
// only as a ratio within one run. It does not rely on what the code under test reports about itself. Run it
// with `ringtrack-lab scale NAME`; docs/CAPACITY.md holds the results.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
)

// Tolerance is the relative deviation of a measured figure from the predicted one above which the report
// mentions it.
const Tolerance = 0.2

// Options configure a run of a test.
type Options struct {
	Seed  uint64
	Scale float64   // scales sizes and times; 1 is the full test
	Log   io.Writer // receives the progress; nil: none

	SlowDisk bool // control only: just the changes at the target size, with slow disks at all replicas
	Defect   bool // injects the defect that the test has to detect
}

func (o *Options) logf(format string, args ...any) {
	if o.Log != nil {
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// Test is one scale test.
type Test struct {
	Name, About string
	Quick       float64 // scale at which it takes less than 40 s
	Smallest    float64 // scale at which CI runs it
	Defect      string  // what Options.Defect injects; "": nothing
	Run         func(ctx context.Context, o *Options) (*Report, error)
}

// All lists the tests, sorted by name.
var All = []Test{
	adminTest,
	{"control", "Usage of 470 real and hollow agents, 5 replicas and discovery: idle, during changes, and during faults.", 0.15, 0.02,
		"hollow agents that renew their leases without waiting; with slow disks, replicas whose event loop waits for the disk", Control},
	dataPathTest,
	pathsTest,
}

// Child runs the process as hollow agents or as a plain proxy and does not return, if the environment says
// so. A program that runs scale tests has to call it first.
func Child() {
	runHollowChild()
	runPlainProxyChild()
}

// Find returns the test with a name.
func Find(name string) (Test, bool) {
	for _, t := range All {
		if t.Name == name {
			return t, true
		}
	}
	return Test{}, false
}

// Point is the value of a figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a figure that grows with the size, fitted to Points by least squares and checked at one further
// size.
type Line struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"` // Unit per unit of size
	Base      float64 `json:"base"`  // in Unit, at size 0
	At        float64 `json:"at"`    // the size of the prediction
	Predicted float64 `json:"foretold"`
	Measured  float64 `json:"measured"` // -1: not measured; JSON has no NaN
}

// Fit returns the line through the points and its prediction for a size.
func Fit(name, unit string, points []Point, at, measured float64) Line {
	l := Line{Name: name, Unit: unit, Points: points, At: at, Measured: measured}
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.Size, sy+p.Value, sxx+p.Size*p.Size, sxy+p.Size*p.Value
	}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		l.Base = (sy - l.Slope*sx) / n
	}
	l.Predicted = l.Base + l.Slope*at
	return l
}

// Deviation returns the relative deviation of the measured figure from the predicted one.
func (l Line) Deviation() float64 {
	if l.Measured < 0 || l.Predicted == 0 {
		return 0
	}
	return math.Abs(l.Measured-l.Predicted) / math.Abs(l.Predicted)
}

func (l Line) String() string {
	s := fmt.Sprintf("%s: %.4g + %.4g x size %s, predicted at %g: %.4g", l.Name, l.Base, l.Slope, l.Unit, l.At, l.Predicted)
	if l.Measured < 0 {
		return s + ", not measured"
	}
	s += fmt.Sprintf(", measured %.4g", l.Measured)
	if l.Deviation() > Tolerance {
		s += fmt.Sprintf(" (off by %.0f %%)", 100*l.Deviation())
	}
	return s
}

// sizedFigure is a figure measured at several sizes.
type sizedFigure struct {
	name, unit string
	points     []Point
}

// sizedFigures are figures measured at increasing sizes, in the order of the report's lines.
type sizedFigures []sizedFigure

// record adds the value of a figure at a size.
func (s *sizedFigures) record(size int, name string, value float64, unit string) {
	p := Point{float64(size), value}
	for i := range *s {
		if figure := &(*s)[i]; figure.name == name {
			figure.points = append(figure.points, p)
			return
		}
	}
	*s = append(*s, sizedFigure{name, unit, []Point{p}})
}

// logPredictions logs what the sizes measured so far predict for another size.
func (s sizedFigures) logPredictions(o *Options, size int) {
	for _, figure := range s {
		o.logf("predicted: %s", Fit(figure.name, figure.unit, figure.points, float64(size), -1))
	}
}

// lines returns a line for each figure, fitted to all sizes but the last and checked at the last.
func (s sizedFigures) lines() (all []Line) {
	for _, figure := range s {
		last := len(figure.points) - 1
		all = append(all, Fit(figure.name, figure.unit, figure.points[:last], figure.points[last].Size, figure.points[last].Value))
	}
	return all
}

// Figure is a value measured once, at one size.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit,omitempty"`
}

// Report is the result of a test.
type Report struct {
	Test    string   `json:"test"`
	Seed    uint64   `json:"seed"`
	Scale   float64  `json:"scale"`
	Lines   []Line   `json:"lines"`
	Figures []Figure `json:"figures"`
	Short   []string `json:"short,omitempty"` // bounds that were not met
}

func (r *Report) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{name, value, unit})
}

// JSON returns the report as JSON.
func (r *Report) JSON() string {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// String returns the report as text: the lines, the figures, and the bounds that were not met.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, scale %g\n", r.Test, r.Seed, r.Scale)
	for _, l := range r.Lines {
		fmt.Fprintln(&b, " ", l)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(&b, "  %s: %.4g %s\n", f.Name, f.Value, f.Unit)
	}
	for _, s := range r.Short {
		fmt.Fprintln(&b, "  FAILED:", s)
	}
	return b.String()
}
