package cluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// maxLogBytes bounds the output that is retained of a process.
	maxLogBytes = 1 << 20
	// outputTimeout is how long output is still read after a process has ended.
	outputTimeout = time.Second
)

// Process is an agent, a replica or another program, with a directory that persists over restarts. Its
// methods may be called from any goroutine.
type Process struct {
	Name      string
	Dir       string   // working directory, with the configuration files
	Data      string   // data directory; "": none
	Args      []string // program and arguments
	Env       []string
	Addr      string // listen address
	AdminAddr string // admin endpoint; "": none

	mu      sync.Mutex
	cmd     *exec.Cmd     // nil: not running
	ended   chan struct{} // closed when cmd has ended
	err     error         // of the last exit
	log     bytes.Buffer
	stopped bool        // by SIGSTOP
	Starts  int         // number of starts
	resumed []time.Time // times of SIGCONT after a SIGSTOP
}

// logWriter appends to the log of a process. A write that exceeds maxLogBytes clears the log first.
type logWriter struct{ p *Process }

func (w logWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.p.log.Len()+len(b) > maxLogBytes {
		w.p.log.Reset()
	}
	return w.p.log.Write(b)
}

// Start starts the process if it is not running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Dir = p.Dir
	cmd.Stdout = logWriter{p}
	cmd.Stderr = logWriter{p}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = outputTimeout
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cluster: %s: %w", p.Name, err)
	}
	p.Starts++
	p.cmd = cmd
	p.ended = make(chan struct{})
	p.stopped = false
	go func(ended chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd, p.err = nil, err
		p.mu.Unlock()
		close(ended)
	}(p.ended)
	return nil
}

// Runs reports whether the process is running or stopped by SIGSTOP.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID returns the process id; 0: not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the most recent output, at most maxLogBytes.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Err returns the error of the process's last exit.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// signal sends a signal if the process is running, and returns a channel that is closed when the process has
// ended.
func (p *Process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		if p.stopped {
			p.resumed = append(p.resumed, time.Now())
		}
		p.stopped = false
	}
	p.cmd.Process.Signal(s)
	return p.ended
}

// sinceResumed returns the time from the last SIGCONT before t until t; negative: there was none.
func (p *Process) sinceResumed(t time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.resumed) - 1; i >= 0; i-- {
		if !p.resumed[i].After(t) {
			return t.Sub(p.resumed[i])
		}
	}
	return -1
}

// Freeze stops the process with SIGSTOP; Thaw continues it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw continues a stopped process with SIGCONT.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL) }

// Terminate sends SIGTERM and returns the error of the exit. After the timeout it kills the process and
// returns an error.
func (p *Process) Terminate(timeout time.Duration) error {
	p.Thaw()
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("cluster: %s: still running %v after SIGTERM", p.Name, timeout)
	}
	return p.Err()
}
