package concurrency

import (
	"math"
	"testing"
)

func TestIdleByLoadReport(t *testing.T) {
	f := NewReportFields([]string{"qps", "util", "x7", "inflight"})
	if x, ok := f.Inflight([]float32{1, 0.5, 3, 9}); !ok || x != 9 {
		t.Errorf("inflight %v %v", x, ok)
	}
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for name, c := range map[string]struct {
		fields   ReportFields
		report   []float32
		ageMs    float64
		rejected bool // recently
		idle     bool
	}{
		"idle":                    {f, []float32{1, 0.5}, 0, false, true},
		"utilization 1":           {f, []float32{1, 1}, 0, false, false},
		"busy":                    {f, []float32{1, 0.97}, 0, false, false},
		"report absent":           {f, nil, 0, false, true},
		"report absent, rejected": {f, nil, 0, true, false},
		"report too short":        {f, []float32{1}, 0, true, false},
		"no such field":           {NewReportFields([]string{"qps", "cpu"}), []float32{1, 0}, 0, true, false},
		"not a number":            {f, []float32{1, nan}, 0, true, false},
		"infinite":                {f, []float32{1, inf}, 0, true, false},
		"negative":                {f, []float32{1, -1}, 0, true, false},
		"busy, old":               {f, []float32{1, 1}, maxReportAgeMs + 1, false, true},
		"idle, old, rejected":     {f, []float32{1, 0}, maxReportAgeMs + 1, true, false},
		"1.4 s late":              {f, []float32{1, 0.2}, 1400, false, true},
	} {
		var l LoadReport
		l.Update(1000, c.fields, c.report)
		if got := l.Idle(1000+c.ageMs, c.rejected); got != c.idle {
			t.Errorf("%s: idle %v, want %v", name, got, c.idle)
		}
	}
	var l LoadReport
	l.Update(0, f, []float32{1, 0.99})
	if l.Update(10, f, []float32{1, nan}); l.Idle(10, false) {
		t.Error("an invalid report replaced the previous one")
	}
}
