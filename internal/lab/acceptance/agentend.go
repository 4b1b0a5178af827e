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
	// maxCheckLateness is how late the check for an end may be that is decided by what it finds; later, the process may
	// have ended too late, and counts as if it had.
	maxCheckLateness = 5 * time.Millisecond
	// traceTime is how long an overdue process has to write what its goroutines do.
	traceTime = time.Second
)

// signalAfter is a signal, and how long after the one before it it comes.
type signalAfter struct {
	after  time.Duration
	signal syscall.Signal
}

// agentEnd is the end of one process of an agent.
type agentEnd struct {
	agent    *fleetAgent
	cmd      *exec.Cmd
	beganAt  chan time.Time // gets the time of the first signal that asks it to end
	ended    chan struct{}  // closed once it has
	deadline *time.Timer    // calls check
	overdue  atomic.Bool
}

// endBy ends a process with a series of signals, of which one at least asks it to end. It has to have ended, with exit
// code 0, endWithin after the first that does. The kernel says whether it has: this process may get no core just then.
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
		a.f.fails("%s: ended with %v; %s", e.name(), err, lastLine(cmd.Stderr.(*strings.Builder).String()))
	}
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	a.f.ends++
	a.f.slowestEnd = max(a.f.slowestEnd, time.Since(from))
}

func (e *agentEnd) name() string { return filepath.Base(e.agent.dir) }

// sendSignals sends the series, at once where the process has ended.
func (e *agentEnd) sendSignals(series []signalAfter) {
	for _, s := range series {
		select {
		case <-time.After(s.after):
		case <-e.ended:
		}
		asksToEnd := s.signal == syscall.SIGTERM || s.signal == syscall.SIGINT
		if asksToEnd && e.deadline == nil {
			e.begin()
		}
		e.cmd.Process.Signal(s.signal) // one that comes after its end finds nobody
	}
}

// begin begins the time in which the process has to end.
func (e *agentEnd) begin() {
	now := time.Now()
	e.agent.signaled.Store(now.UnixNano())
	e.deadline = time.AfterFunc(e.agent.f.endWithin, e.check)
	e.beganAt <- now
}

// check fails the proof if the process is still there, and has it say what it waits for.
func (e *agentEnd) check() {
	f := e.agent.f
	signaledAt := time.Unix(0, e.agent.signaled.Load())
	if hasEnded(e.cmd.Process.Pid) && time.Since(signaledAt) < f.endWithin+maxCheckLateness {
		return
	}
	e.overdue.Store(true)
	e.agent.lastKill.Store(math.MaxInt64)
	f.fails("%s: still there %v after SIGTERM", e.name(), f.endWithin)
	f.o.logf("%s", describeProcess(e.cmd.Process.Pid))
	f.o.logf("idle processes since SIGTERM: slowest end %v", f.idleExits.longestSince(signaledAt))
	e.cmd.Process.Signal(syscall.SIGQUIT)
	time.AfterFunc(traceTime, func() { e.cmd.Process.Kill() })
}
