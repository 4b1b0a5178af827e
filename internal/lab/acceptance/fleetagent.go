package acceptance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleetAgent is one agent: its directory and address, and its current process.
type fleetAgent struct {
	f        *fleet
	dir      string
	addr     string
	mu       sync.Mutex
	cmd      *exec.Cmd
	tempDir  string       // if set, the TMPDIR that its processes share; otherwise each has its own
	lastKill atomic.Int64 // Unix time in ns when a process was last killed; MaxInt64 while one is being killed
	signaled atomic.Int64 // Unix time in ns when a process was last signaled to end
}

// config returns the agent's current configuration file.
func (a *fleetAgent) config() []byte {
	r := a.f.discoveries[a.f.current.Load()]
	text, err := json.Marshal(map[string]any{"name": filepath.Base(a.dir), "listen": a.addr, "discovery": r.Addr, "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "known": r.List(), "settings": json.RawMessage(a.f.settings())})
	if err != nil {
		panic(err)
	}
	return text
}

func (a *fleetAgent) configPath() string { return filepath.Join(a.dir, "config.json") }

// writeConfig writes the file in place in two parts and calls between after the first.
func (a *fleetAgent) writeConfig(between func() error) error {
	text := a.config()
	if err := os.WriteFile(a.configPath(), text[:len(text)/2], 0o600); err != nil {
		return err
	}
	if err := between(); err != nil {
		return err
	}
	if a.f.defect == halfWritten {
		return nil
	}
	return os.WriteFile(a.configPath(), text, 0o600)
}

// start starts a process while its configuration is being written, and returns once it is ready.
func (a *fleetAgent) start(ctx context.Context) error {
	tempDir := a.tempDir
	if tempDir == "" {
		var err error
		if tempDir, err = os.MkdirTemp(a.dir, "tmp"); err != nil {
			return err
		}
	}
	return a.launch(ctx, tempDir, "http://"+a.addr+"/-/ready")
}

// startBeside starts the successor of the process that serves, and returns once it serves, too.
func (a *fleetAgent) startBeside(ctx context.Context) error {
	addrs, err := freeAddrs(1)
	if err != nil {
		return err
	}
	return a.launch(ctx, a.tempDir, "http://"+addrs[0]+"/admin/health", "PROXY_ADMIN_ADDR="+addrs[0])
}

// launch starts a process while its configuration is being written, and returns once the URL ready answers
// 200.
func (a *fleetAgent) launch(ctx context.Context, tempDir, ready string, env ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), childEnv+"=agent", "PROXY_CONFIG="+a.configPath(), "TMPDIR="+tempDir, "GORACE=atexit_sleep_ms=0")
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = new(strings.Builder)
	from := time.Now()
	if err := a.writeConfig(func() error {
		defer time.Sleep(50 * time.Millisecond) // until the process has read the first half
		return cmd.Start()
	}); err != nil {
		return err
	}
	a.mu.Lock()
	a.cmd = cmd
	a.mu.Unlock()
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get(ready)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(from) > readyWithin {
			a.f.fail("%s: not ready %v after its start", filepath.Base(a.dir), readyWithin)
			return nil
		}
	}
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	a.f.starts++
	a.f.slowestReady = max(a.f.slowestReady, time.Since(from))
	return nil
}

// end ends the process with SIGTERM, or with SIGKILL if force is set.
func (a *fleetAgent) end(force bool) {
	if force {
		a.lastKill.Store(math.MaxInt64) // requests that arrive until it is dead may be lost with it
		a.cmd.Process.Kill()
		a.cmd.Wait()
		a.lastKill.Store(time.Now().UnixNano())
		a.f.mu.Lock()
		defer a.f.mu.Unlock()
		a.f.kills++
		return
	}
	series := []signalAfter{{signal: syscall.SIGTERM}}
	if a.f.defect == stoppedProcess {
		series = append(series, signalAfter{signal: syscall.SIGSTOP})
	}
	a.endBy(a.cmd, series)
}

// kill kills the agent's process if it still runs.
func (a *fleetAgent) kill() {
	if a.cmd != nil && a.cmd.Process != nil && a.cmd.ProcessState == nil {
		a.cmd.Process.Kill()
		a.cmd.Wait()
	}
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// lowestPort and highestPort bound the agents' ports. They are below the kernel's ephemeral ports, as an
// outgoing connection could otherwise get the port of an agent while that restarts.
const lowestPort, highestPort = 10_000, 32_000

// nextPort is where the search for the next agent's port starts, which differs between processes of the lab
// that run at the same time.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 97) }

// freeAddrs returns n addresses that nobody listens on, for processes that are started later. All stay bound
// until the last is chosen: two agents with the same address would share it without an error, as two
// processes of one agent may.
func freeAddrs(n int) (addrs []string, err error) {
	const maxAttempts = highestPort - lowestPort
	for attempt := 0; len(addrs) < n; attempt++ {
		port := lowestPort + nextPort.Add(1)%(highestPort-lowestPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) && attempt < maxAttempts {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}
