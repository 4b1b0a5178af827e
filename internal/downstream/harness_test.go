// Package downstream_test is one table of rules: each is tested unchanged in every protocol that the agent speaks, on
// the core with that protocol's downstream, upstream and test servers.
package downstream_test

import (
	"slices"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// waitTimeout bounds each wait of the tests; none of them needs more than a part of it.
const waitTimeout = 20 * time.Second

const long = 2 * time.Second

// rule is one line of the table.
type rule struct {
	name   string
	thrift bool // not for HTTP
	opts   world.Options
	run    func(*testing.T, *world.World)
	timed  func(*world.World) (late, wrong error) // in place of run: it compares answers with real time, see retryWhenHostStalled
}

const (
	// maxSchedulingGap is how late a goroutine that sleeps 1 ms at a time may be while an answer is compared with real
	// time.
	maxSchedulingGap = 10 * time.Millisecond
	// maxTimedAttempts is how often such a rule is run at most.
	maxTimedAttempts = 6
)

// retryWhenHostStalled runs a rule that compares answers with real time, and repeats it if the host stalled meanwhile,
// which it measures by a goroutine that only sleeps. Only late answers are repeated, no other error, and the last attempt
// counts whatever the host did.
func retryWhenHostStalled(attempt func() (late, wrong error)) (late, wrong error) {
	for range maxTimedAttempts {
		stop, gap := make(chan struct{}), make(chan time.Duration)
		go func() {
			maxGap, last := time.Duration(0), time.Now()
			for {
				time.Sleep(time.Millisecond)
				now := time.Now()
				maxGap, last = max(maxGap, now.Sub(last)), now
				select {
				case <-stop:
					gap <- maxGap
					return
				default:
				}
			}
		}()
		late, wrong = attempt()
		close(stop)
		if <-gap <= maxSchedulingGap || wrong != nil {
			break
		}
	}
	return late, wrong
}

// call makes one call and checks that its verdict is one of these.
func call(t *testing.T, w *world.World, method string, within time.Duration, want ...lab.Outcome) world.Answer {
	t.Helper()
	a, err := w.Call(method, within)
	if err != nil {
		t.Errorf("%s: %v", method, err)
	} else if !slices.Contains(want, a.Outcome) {
		t.Errorf("%s: answered %+v, want %v", method, a, want)
	}
	return a
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func dial(t *testing.T, w *world.World) *world.Client {
	t.Helper()
	c, err := w.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
