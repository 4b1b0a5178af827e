package limits

import (
	"math"
	"testing"
)

func TestQueueTimeoutFraction(t *testing.T) {
	var q QueueTimeout
	q.QueueLength(1000, 0)
	q.QueueLength(2000, 5)
	if w := q.Fraction(2000, 1500, 0.05); w != burstFraction {
		t.Errorf("in a burst: %v, want %v", w, burstFraction)
	}
	if w := q.Fraction(2600, 1500, 0); w != burstFraction {
		t.Errorf("baseline latency unknown: %v, want %v", w, burstFraction)
	}
	if w := q.Fraction(2600, 1500, 0.05); w != burstFraction {
		t.Errorf("standing queue, all served: %v, want %v", w, burstFraction)
	}
	for range 5000 {
		q.RequestEnded(false)
	}
	if w := q.Fraction(2600, 1500, 0.05); math.Abs(w-3*0.05) > 1e-3 {
		t.Errorf("standing queue, none served: %v, want three answer times", w)
	}
	if w := q.Fraction(2600, 1500, 0.3); w != burstFraction {
		t.Errorf("long answer times: %v, want at most %v", w, burstFraction)
	}
	q.QueueLength(2600, 0)
	if w := q.Fraction(2700, 1500, 0.05); w != burstFraction {
		t.Errorf("queue just emptied: %v, want %v", w, burstFraction)
	}
	last := 0.0
	for range 5000 { // served requests extend it again gradually
		w := q.Fraction(9000, 1500, 0.05)
		if w < last-1e-12 || w > burstFraction {
			t.Fatalf("fraction %v after %v", w, last)
		}
		last = w
		q.RequestEnded(true)
	}
	if last != burstFraction && math.Abs(last-burstFraction) > 1e-3 {
		t.Errorf("all served again: %v, want %v", last, burstFraction)
	}
}
