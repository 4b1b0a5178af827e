package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the product, with a folder of its own that outlives each start of it.
type Process struct {
	Name      string
	Dir       string   // the rig's, for configuration and log
	Data      string   // the process's own; "": it has none
	Args      []string // program and arguments
	Env       []string
	Addr      string // where it answers
	AdminAddr string // where operators call; "": nowhere

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	log     bytes.Buffer
	stopped bool
	Starts  int
	woke    []time.Time // when it was continued
}

// mostProcessLog bounds what is kept of a process's log, in bytes.
const mostProcessLog = 1 << 20

type logWriter struct{ p *Process }

func (w logWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.p.log.Len()+len(b) > mostProcessLog {
		w.p.log.Reset()
	}
	return w.p.log.Write(b)
}

// Start starts the process, if it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Dir, cmd.Stderr, cmd.Stdout = p.Dir, logWriter{p}, logWriter{p}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = time.Second
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cluster: %s: %w", p.Name, err)
	}
	p.Starts++
	p.cmd, p.ended, p.stopped = cmd, make(chan struct{}), false
	go func(ended chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd, p.err = nil, err
		p.mu.Unlock()
		close(ended)
	}(p.ended)
	return nil
}

// Runs tells whether it runs, also while it is stopped.
func (p *Process) Runs() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.cmd != nil }

// PID is the process's id of this start; 0: it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log is what it wrote last.
func (p *Process) Log() string { p.mu.Lock(); defer p.mu.Unlock(); return p.log.String() }

// Err is how its last run ended.
func (p *Process) Err() error { p.mu.Lock(); defer p.mu.Unlock(); return p.err }

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
			p.woke = append(p.woke, time.Now())
		}
		p.stopped = false
	}
	p.cmd.Process.Signal(s)
	return p.ended
}

// wokeBefore is how long before t it was last continued; negative: never.
func (p *Process) wokeBefore(t time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.woke) - 1; i >= 0; i-- {
		if !p.woke[i].After(t) {
			return t.Sub(p.woke[i])
		}
	}
	return -1
}

// Freeze stops it where it stands (SIGSTOP), Thaw has it go on.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw has it go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Kill ends it by SIGKILL and waits.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL) }

// Terminate ends it by SIGTERM, by force where that takes longer than within, and returns how it ended.
func (p *Process) Terminate(within time.Duration) error {
	p.Thaw()
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(within):
		p.Kill()
		return fmt.Errorf("cluster: %s: still there %v after SIGTERM", p.Name, within)
	}
	return p.Err()
}

// PowerCut kills it and takes away what its disk had not made to last, but for a drawn part of it: sectors may have
// been written on their own. The disk seam's lab build says how much of each file lasts.
func (p *Process) PowerCut(rng *rand.Rand) error {
	p.Kill()
	files, err := filepath.Glob(filepath.Join(p.Data, "*.lasts"))
	if err != nil {
		return err
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		lasts, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(f, ".lasts")
		info, err := os.Stat(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		} else if err != nil {
			return err
		}
		if more := info.Size() - lasts; more > 0 && rng != nil && rng.IntN(2) == 0 {
			lasts += rng.Int64N(more + 1) // torn
		}
		if info.Size() > lasts {
			if err := os.Truncate(name, lasts); err != nil {
				return err
			}
		}
	}
	return nil
}

// Wipe empties its folder. It must not run.
func (p *Process) Wipe() error {
	if err := os.RemoveAll(p.Data); err != nil {
		return err
	}
	return os.MkdirAll(p.Data, 0o700)
}

// Backup keeps its folder as it is now; Restore puts that back. It must not run for Restore.
func (p *Process) Backup(to string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(p.Data))
}

// Restore puts a copy back.
func (p *Process) Restore(from string) error {
	if err := p.Wipe(); err != nil {
		return err
	}
	return os.CopyFS(p.Data, os.DirFS(from))
}

// FlipBit flips one bit of a file of its folder, at a drawn place. It must not run.
func (p *Process) FlipBit(name string, rng *rand.Rand) error {
	path := filepath.Join(p.Data, name)
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return err
	}
	text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
	return os.WriteFile(path, text, 0o600)
}

// SetDiskFault has its disk do this from now on, words of the seam's lab build; "" is a disk without fault.
func (p *Process) SetDiskFault(words string) error {
	path := filepath.Join(p.Data, "faults")
	if words == "" {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	if err := os.WriteFile(path+".new", []byte(words), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// CPU is the processor time that it has used in this start.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 on Linux
}

// RSS is the memory that it has resident now, in bytes.
func (p *Process) RSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := int64(0)
	fmt.Sscan(rest, &kb)
	return kb << 10
}
