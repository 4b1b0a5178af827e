// Package scale measures how what the product needs grows with the size of the deployment: a slope from three sizes
// or more, the figure that it foretells at a further size, and the figure that is measured there. It counts processor
// time, bytes and memory of processes, and wall time only as a ratio within one run. `ringtrack-lab scale NAME` runs it;
// docs/CAPACITY.md holds what came out. It never asks the code under test how it did.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
)

// Tolerance is how far a measured figure may lie from the foretold one, as a part of the latter, before the report says so.
const Tolerance = 0.2

// Options say how a test is run.
type Options struct {
	Seed  uint64
	Scale float64   // of sizes and times; 1 is the whole test
	Log   io.Writer // progress; nil: none

	SlowDisk bool // of control: changes at the aimed size while all keepers' disks are slow, and nothing else
	Defect   bool // the lab's defect is seeded, which the test is to find
}

func (o *Options) logf(format string, args ...any) {
	if o.Log != nil {
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// Test is one scale test.
type Test struct {
	Name, About string
	Quick       float64 // the scale at which it takes under 40 s
	Smallest    float64 // the scale at which CI runs it
	Defect      string  // what Options.Defect seeds; "": there is none
	Run         func(ctx context.Context, o *Options) (*Report, error)
}

// All are the tests by their names' order.
var All = []Test{
	adminTest,
	{"control", "470 agents, hollow and real, 5 keepers, discovery: what control needs, quiet and under changes and faults", 0.15, 0.02,
		"hollow agents that ask again at once; with slow disks, keepers whose loop waits for its disk", Control},
	dataPathTest,
	pathsTest,
}

// Child runs the process as hollow agents or as a plain proxy, if its environment says so, and does not return then. A
// program that runs scale tests calls it first.
func Child() {
	runHollowChild()
	runPlainProxyChild()
}

// Find returns the test of a name.
func Find(name string) (Test, bool) {
	for _, t := range All {
		if t.Name == name {
			return t, true
		}
	}
	return Test{}, false
}

// Point is a figure at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a figure that grows with a size: fitted by least squares to Points, and checked at one further size.
type Line struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"` // Unit for each unit of size
	Base      float64 `json:"base"`  // Unit at size 0
	At        float64 `json:"at"`    // the size that is foretold
	Predicted float64 `json:"foretold"`
	Measured  float64 `json:"measured"` // NaN is not allowed in JSON: -1 where nothing was measured there
}

// Fit returns the line through the points and what it foretells for a size.
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

// Deviation is how far the measured figure lies from the foretold one, as a part of the latter.
func (l Line) Deviation() float64 {
	if l.Measured < 0 || l.Predicted == 0 {
		return 0
	}
	return math.Abs(l.Measured-l.Predicted) / math.Abs(l.Predicted)
}

func (l Line) String() string {
	s := fmt.Sprintf("%s: %.4g + %.4g x size %s, foretold at %g %.4g", l.Name, l.Base, l.Slope, l.Unit, l.At, l.Predicted)
	if l.Measured < 0 {
		return s + ", not measured"
	}
	s += fmt.Sprintf(", measured %.4g", l.Measured)
	if l.Deviation() > Tolerance {
		s += fmt.Sprintf(" (off by %.0f %%)", 100*l.Deviation())
	}
	return s
}

// sized is a figure at each size.
type sizedFigure struct {
	name, unit string
	points     []Point
}

// series are figures at sizes that are measured one after the other, in the order of their lines.
type sizedFigures []sizedFigure

// at notes a figure of a size.
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

// foretell tells what the sizes so far foretell for one that was not measured yet.
func (s sizedFigures) logPredictions(o *Options, size int) {
	for _, figure := range s {
		o.logf("foretold: %s", Fit(figure.name, figure.unit, figure.points, float64(size), -1))
	}
}

// lines are fitted to all sizes but the last, and checked there.
func (s sizedFigures) lines() (all []Line) {
	for _, figure := range s {
		last := len(figure.points) - 1
		all = append(all, Fit(figure.name, figure.unit, figure.points[:last], figure.points[last].Size, figure.points[last].Value))
	}
	return all
}

// Figure is a thing measured once, at one size.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit,omitempty"`
}

// Report is what a test found.
type Report struct {
	Test    string   `json:"test"`
	Seed    uint64   `json:"seed"`
	Scale   float64  `json:"scale"`
	Lines   []Line   `json:"lines"`
	Figures []Figure `json:"figures"`
	Short   []string `json:"short,omitempty"` // what fell short of its bound
}

func (r *Report) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{name, value, unit})
}

// JSON is the report for programs.
func (r *Report) JSON() string {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// String is the report for people: the lines, the figures, what fell short.
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
		fmt.Fprintln(&b, "  SHORT:", s)
	}
	return b.String()
}
