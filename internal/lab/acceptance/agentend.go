package acceptance

import (
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxCheckLateness is how late the check of whether a process has ended may run for its finding to count.
	// A process that is found to have ended in a later check may have ended too late, and counts as overdue.
	maxCheckLateness = 5 * time.Millisecond
	// traceTime is how long an overdue process has to write its goroutine dump.
	traceTime = time.Second
)

// signalAfter is a signal and its delay after the previous one in a series.
type signalAfter struct {
	after  time.Duration
	signal syscall.Signal
}

// agentEnd tracks the termination of one process of an agent.
type agentEnd struct {
	agent    *fleetAgent
	cmd      *exec.Cmd
	beganAt  chan time.Time // receives the time of the first SIGTERM or SIGINT
	ended    chan struct{}  // closed once the process has ended
	deadline *time.Timer    // calls check
	overdue  atomic.Bool
}

// endBy ends a process with a series of signals, which holds at least one SIGTERM or SIGINT. The process has
// to end with exit code 0 within endWithin after the first of these. Whether it has is read from the kernel's
// process state and not from Wait, as on a busy machine this process may get no core just then.
func (a *fleetAgent) endBy(cmd *exec.Cmd, series []signalAfter) {
	e := &agentEnd{agent: a, cmd: cmd, beganAt: make(chan time.Time, 1), ended: make(chan struct{})}
	go e.sendSignals(series)
	from := <-e.beganAt
	err := cmd.Wait()
	close(e.ended)
	e.deadline.Stop()
	if e.overdue.Load() {
		a.f.o.logf("%s: %s", e.name(), cmd.Stderr)
	} else if err != nil {
		a.f.fail("%s: ended with %v; %s", e.name(), err, lastLine(cmd.Stderr.(*strings.Builder).String()))
	}
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	a.f.ends++
	a.f.slowestEnd = max(a.f.slowestEnd, time.Since(from))
}

func (e *agentEnd) name() string { return filepath.Base(e.agent.dir) }

// sendSignals sends the series, without delays once the process has ended.
func (e *agentEnd) sendSignals(series []signalAfter) {
	for _, s := range series {
		select {
		case <-time.After(s.after):
		case <-e.ended:
		}
		requestsEnd := s.signal == syscall.SIGTERM || s.signal == syscall.SIGINT
		if requestsEnd && e.deadline == nil {
			e.begin()
		}
		e.cmd.Process.Signal(s.signal) // fails once the process has ended, which is expected
	}
}

// begin starts the timer within which the process has to end.
func (e *agentEnd) begin() {
	now := time.Now()
	e.agent.signaled.Store(now.UnixNano())
	e.deadline = time.AfterFunc(e.agent.f.endWithin, e.check)
	e.beganAt <- now
}

// check fails the proof if the process still runs, and logs its kernel state and its goroutine dump.
func (e *agentEnd) check() {
	f := e.agent.f
	signaledAt := time.Unix(0, e.agent.signaled.Load())
	if hasEnded(e.cmd.Process.Pid) && time.Since(signaledAt) < f.endWithin+maxCheckLateness {
		return
	}
	e.overdue.Store(true)
	e.agent.lastKill.Store(math.MaxInt64)
	f.fail("%s: still running %v after SIGTERM", e.name(), f.endWithin)
	f.o.logf("%s", describeProcess(e.cmd.Process.Pid))
	f.o.logf("idle processes since SIGTERM: slowest end %v", f.idleExits.longestSince(signaledAt))
	e.cmd.Process.Signal(syscall.SIGQUIT)
	time.AfterFunc(traceTime, func() { e.cmd.Process.Kill() })
}
