package scale

import (
	"math"
	"strings"
	"testing"
)

// TestSmallestForms runs each test at its smallest scale. Each has to report lines with predictions and
// measurements, and to meet all its bounds.
func TestSmallestForms(t *testing.T) {
	for _, s := range All {
		t.Run(s.Name, func(t *testing.T) {
			r, err := s.Run(t.Context(), &Options{Seed: 1, Scale: s.Smallest})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			if len(r.Short) > 0 || len(r.Lines) == 0 {
				t.Errorf("%d lines, bounds not met: %v", len(r.Lines), r.Short)
			}
		})
	}
}

func TestFit(t *testing.T) {
	l := Fit("calls", "/s", []Point{{10, 25}, {20, 45}, {40, 85}}, 100, 300)
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Base-5) > 1e-9 || math.Abs(l.Predicted-205) > 1e-9 {
		t.Errorf("%+v", l)
	}
	if s := l.String(); !strings.Contains(s, "off by 46 %") {
		t.Error(s)
	}
	if l := Fit("none", "", nil, 1, -1); l.Deviation() != 0 || !strings.Contains(l.String(), "not measured") {
		t.Error(l)
	}
}
