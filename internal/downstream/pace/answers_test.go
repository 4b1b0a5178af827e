package pace

import (
	"testing"
	"time"
)

// A connection that asks without a pause is slowed down behind its free answers, and others are not.
func TestOnlyFastConnectionsArePaused(t *testing.T) {
	answers := NewAnswers()
	fast, slow := answers.NewConn(), answers.NewConn()
	begin := time.Now()
	for range freeAnswerBurst {
		fast.Wait()
		fast.Charge()
	}
	if !fast.notBefore.IsZero() {
		t.Error("a connection is paused within its free answers")
	}
	const more = 20
	for range more {
		fast.Wait()
		fast.Charge()
	}
	if took := time.Since(begin); took < (more-5)*minAnswerPause {
		t.Errorf("%d further answers took %v", more, took)
	}
	if slow.Charge(); !slow.notBefore.IsZero() {
		t.Error("the first answer of another connection pauses it")
	}
}

// However many connections ask without a pause, a pause is bounded.
func TestPausesAreBounded(t *testing.T) {
	answers := NewAnswers()
	for range 1000 {
		c := answers.NewConn()
		for range freeAnswerBurst + 1 {
			c.Charge()
		}
		if pause := time.Until(c.notBefore); pause > maxAnswerPause {
			t.Fatalf("a pause of %v", pause)
		}
	}
}
