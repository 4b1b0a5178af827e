package pressure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

const (
	readyTimeout = 10 * time.Second
	// memoryPollInterval is how often the memory of the agent is read.
	memoryPollInterval = 5 * time.Millisecond
	// readyPollInterval is how often a process that starts is asked whether it is ready.
	readyPollInterval = 10 * time.Millisecond
	// listensBeside is what a second process logs once it listens.
	listensBeside = "listening beside the other process"
	// servingSavedTime is how long it then takes at most to let the first one know.
	servingSavedTime = 200 * time.Millisecond
)

// agentProcess is an agent: its configuration, and its current process.
type agentProcess struct {
	program    string
	dir        string
	addr       string // of the HTTP listener
	thriftAddr string // of the Thrift listener; "": there is none
	env        []string
	log        lockedBuffer

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed once the current process has ended
	peak    atomic.Int64  // KiB
	stopped atomic.Bool   // the current process is being killed by this package
	ready   atomic.Bool   // the current process has been ready
	crashed atomic.Bool   // a process has ended by itself

	terminatedAt atomic.Pointer[time.Time] // when SIGTERM was sent; nil: it was not
}

// sinceTermination returns how long ago SIGTERM was sent at a time; 0: it was not.
func (a *agentProcess) sinceTermination(at time.Time) time.Duration {
	terminatedAt := a.terminatedAt.Load()
	if terminatedAt == nil {
		return 0
	}
	return max(at.Sub(*terminatedAt), 0)
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newAgent writes the configuration of an agent that no process runs yet.
func newAgent(s *Scenario, dir string, config map[string]any) (*agentProcess, error) {
	addr, err := lab.UnusedAddr()
	if err != nil {
		return nil, err
	}
	a := &agentProcess{program: s.Program, dir: dir, addr: addr}
	config["name"] = "a1"
	config["listen"] = addr
	config["seed"] = strconv.FormatUint(s.Seed, 16)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	a.env = []string{"PROXY_CONFIG=" + path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=", "TMPDIR=" + dir}
	return a, os.WriteFile(path, text, 0o600)
}

// startSuccessor starts a second process of the agent and returns once it listens beside the first one.
func (a *agentProcess) startSuccessor() (*agentProcess, error) {
	successor := &agentProcess{program: a.program, dir: a.dir, addr: a.addr, thriftAddr: a.thriftAddr, env: a.env}
	if err := successor.start(); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if strings.Contains(successor.log.String(), listensBeside) {
			time.Sleep(servingSavedTime)
			return successor, nil
		}
	}
	successor.stop()
	return nil, fmt.Errorf("no second process within %v: %s", readyTimeout, successor.log.String())
}

// start starts a process and returns once it is ready.
func (a *agentProcess) start() error {
	cmd := exec.Command(a.program)
	cmd.Env = append(os.Environ(), a.env...)
	cmd.Stderr = &a.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	a.mu.Lock()
	a.cmd = cmd
	a.ended = ended
	a.mu.Unlock()
	a.stopped.Store(false)
	go func() {
		_ = cmd.Wait()
		a.crashed.Store(a.crashed.Load() || !a.stopped.Load())
		close(ended)
	}()
	go a.watchMemory(cmd.Process.Pid, ended)
	return a.awaitReady()
}

func (a *agentProcess) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		resp, err := client.Get("http://" + a.addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			a.ready.Store(true)
			return nil
		}
	}
	return fmt.Errorf("not ready within %v: %s", readyTimeout, a.log.String())
}

// process returns the current process.
func (a *agentProcess) process() *exec.Cmd {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cmd
}

// restart kills the process and starts another one.
func (a *agentProcess) restart() error {
	a.stop()
	return a.start()
}

// stop kills the process, unless it has ended.
func (a *agentProcess) stop() {
	a.mu.Lock()
	cmd, ended := a.cmd, a.ended
	a.mu.Unlock()
	select {
	case <-ended:
		return
	default:
	}
	a.stopped.Store(true)
	a.ready.Store(false)
	_ = cmd.Process.Kill()
	<-ended
}

// terminate sends SIGTERM, and returns how long the process then takes to end. After timeout it is killed.
func (a *agentProcess) terminate(timeout time.Duration) (took time.Duration, ended bool) {
	cmd := a.process()
	a.stopped.Store(true)
	begin := time.Now()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-a.ended:
		return time.Since(begin), true
	case <-time.After(timeout):
		a.stop()
		return timeout, false
	}
}

func (a *agentProcess) endedByItself() bool { return a.crashed.Load() }

func (a *agentProcess) peakMemoryKB() int64 { return a.peak.Load() }

// watchMemory records the peak of a process's memory until it has ended.
func (a *agentProcess) watchMemory(pid int, ended <-chan struct{}) {
	for {
		a.peak.Store(max(a.peak.Load(), memoryKB(pid)))
		select {
		case <-ended:
			return
		case <-time.After(memoryPollInterval):
		}
	}
}

// memoryKB returns the memory of a process without that of files which it maps, in KiB.
func memoryKB(pid int) (kb int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name == "RssAnon" || name == "RssShmem" {
			n, _ := strconv.ParseInt(strings.Fields(value + " 0")[0], 10, 64)
			kb += n
		}
	}
	return kb
}
