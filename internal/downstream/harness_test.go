// Package downstream_test tests one table of rules. Each rule is tested unchanged with every protocol of the
// agent, on the core with that protocol's downstream, upstream and test servers.
package downstream_test

import (
	"slices"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// waitTimeout bounds each wait in the tests. It is far longer than any of them needs.
const waitTimeout = 20 * time.Second

// callTimeout is the timeout of calls in rules that do not test the deadline.
const callTimeout = 2 * time.Second

// rule is one row of the table.
type rule struct {
	name   string
	thrift bool // for Thrift only
	opts   world.Options
	run    func(*testing.T, *world.World)
	// timed replaces run for a rule that compares answers with real time; see retryWhenHostStalled.
	timed func(*world.World) (late, wrong error)
}

const (
	// maxSchedulingGap is how late a goroutine that sleeps 1 ms at a time may wake up for a late answer to
	// count.
	maxSchedulingGap = 10 * time.Millisecond
	// maxTimedAttempts is how often such a rule is run at most.
	maxTimedAttempts = 6
)

// retryWhenHostStalled runs a rule that compares answers with real time, and repeats it if the host stalled
// meanwhile, which it measures with a goroutine that only sleeps. It repeats only after late answers, not
// after other errors. The result of the last attempt counts even if the host stalled.
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

// call makes one call and checks that its verdict is one of want.
func call(t *testing.T, w *world.World, method string, timeout time.Duration, want ...lab.Outcome) world.Answer {
	t.Helper()
	a, err := w.Call(method, timeout)
	if err != nil {
		t.Errorf("%s: %v", method, err)
	} else if !slices.Contains(want, a.Outcome) {
		t.Errorf("%s: answered %+v, want %v", method, a, want)
	}
	return a
}

// waitFor waits until a condition holds, else it fails the test with the message.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
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
