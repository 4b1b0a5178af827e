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

// fleetAgent is one agent: a name and an address, and the process of now.
type fleetAgent struct {
	f        *fleet
	dir      string
	addr     string
	mu       sync.Mutex
	cmd      *exec.Cmd
	tmp      string       // where it is set, the folder that its processes share
	lastKill atomic.Int64 // ns; when a process of it was last killed
	signaled atomic.Int64 // ns; when one was last signaled to end
}

// config is the agent's file as the platform writes it now.
func (a *fleetAgent) config() []byte {
	r := a.f.rosters[a.f.now.Load()]
	text, err := json.Marshal(map[string]any{"name": filepath.Base(a.dir), "listen": a.addr, "discovery": r.Addr, "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "known": r.List(), "settings": json.RawMessage(a.f.settings())})
	if err != nil {
		panic(err)
	}
	return text
}

func (a *fleetAgent) path() string { return filepath.Join(a.dir, "config.json") }

// write writes the file in two parts, in place, and does something between them.
func (a *fleetAgent) write(between func() error) error {
	text := a.config()
	if err := os.WriteFile(a.path(), text[:len(text)/2], 0o600); err != nil {
		return err
	}
	if err := between(); err != nil {
		return err
	}
	if a.f.defect == unwritten {
		return nil
	}
	return os.WriteFile(a.path(), text, 0o600)
}

// start starts a process while its file is being written, and returns once it is ready.
func (a *fleetAgent) start(ctx context.Context) error {
	tmp := a.tmp
	if tmp == "" {
		var err error
		if tmp, err = os.MkdirTemp(a.dir, "tmp"); err != nil {
			return err
		}
	}
	return a.launch(ctx, tmp, "http://"+a.addr+"/-/ready")
}

// startBeside starts the next process beside the one that serves, and returns once it serves too.
func (a *fleetAgent) startBeside(ctx context.Context) error {
	addrs, err := freeAddrs(1)
	if err != nil {
		return err
	}
	return a.launch(ctx, a.tmp, "http://"+addrs[0]+"/admin/health", "PROXY_ADMIN_ADDR="+addrs[0])
}

// launch starts a process while its file is being written, and returns once this address answers 200.
func (a *fleetAgent) launch(ctx context.Context, tmp, ready string, env ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), childEnv+"=agent", "PROXY_CONFIG="+a.path(), "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = new(strings.Builder)
	from := time.Now()
	if err := a.write(func() error {
		defer time.Sleep(50 * time.Millisecond) // until it has looked at the half of it
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
			a.f.fails("%s: not ready %v after its start", filepath.Base(a.dir), readyWithin)
			return nil
		}
	}
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	a.f.starts++
	a.f.slowestReady = max(a.f.slowestReady, time.Since(from))
	return nil
}

// end ends the process with SIGTERM, or by force.
func (a *fleetAgent) end(force bool) {
	if force {
		a.lastKill.Store(math.MaxInt64) // until it is dead, what comes may die with it
		a.cmd.Process.Kill()
		a.cmd.Wait()
		a.lastKill.Store(time.Now().UnixNano())
		a.f.mu.Lock()
		defer a.f.mu.Unlock()
		a.f.kills++
		return
	}
	series := []signalAfter{{signal: syscall.SIGTERM}}
	if a.f.defect == stuck {
		series = append(series, signalAfter{signal: syscall.SIGSTOP})
	}
	a.endBy(a.cmd, series)
}

// kill ends what is left of the agent.
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

// lowestPort and highestPort bound the ports of agents: below those from which the kernel takes the ports of outgoing
// connections, one of which could have an agent's while that restarts.
const lowestPort, highestPort = 10_000, 32_000

// nextPort is where the next agent's port is looked for: processes that run beside one another begin elsewhere.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 97) }

// freeAddrs are n addresses that nobody listens on: processes started later do.
// All are held until the last is chosen: agents share an address without a word, as two processes of one may.
func freeAddrs(n int) (addrs []string, err error) {
	const tries = highestPort - lowestPort
	for try := 0; len(addrs) < n; try++ {
		port := lowestPort + nextPort.Add(1)%(highestPort-lowestPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) && try < tries {
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
