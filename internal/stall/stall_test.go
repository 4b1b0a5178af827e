package stall

import (
	"slices"
	"testing"
	"time"
)

// What is noticed at the end of a stall may have happened since its beginning; what is noticed later has not.
func TestEarliest(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name  string
		notes []int // ms
		now   int
		want  int
	}{
		{"no stall", []int{20, 40}, 50, 50},
		{"noticed before the next note", []int{20}, 500, 20},
		{"noticed behind the next note", []int{20, 500}, 510, 20},
		{"noticed long behind it", []int{20, 500, 520, 540, 560}, 580, 580},
		{"a short delay", []int{20, 60}, 65, 65},
		{"the second of two stalls", []int{20, 500, 900}, 905, 500},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &Watcher{lastNote: begin}
			for _, note := range test.notes {
				w.note(at(note))
			}
			if got := w.Earliest(at(test.now)); !got.Equal(at(test.want)) {
				t.Errorf("%v after the beginning, want %d ms", got.Sub(begin), test.want)
			}
		})
	}
	if now := time.Now(); !(*Watcher)(nil).Earliest(now).Equal(now) {
		t.Error("a nil Watcher knows of a stall")
	}
}

// Each stall is reported once, with its length.
func TestStallsAreReportedOnce(t *testing.T) {
	begin := time.Now()
	w := &Watcher{lastNote: begin}
	var reported []time.Duration
	w.Report(func(length time.Duration) { reported = append(reported, length) })
	for _, ms := range []int{20, 40, 540, 560, 580, 880} {
		if length, report := w.tick(begin.Add(time.Duration(ms) * time.Millisecond)); report != nil {
			report(length)
		}
	}
	want := []time.Duration{500 * time.Millisecond, 300 * time.Millisecond}
	if !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}
