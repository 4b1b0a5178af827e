package prove

import (
	"context"
	"encoding/json"
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
	log      strings.Builder
	lastKill atomic.Int64 // ns; when a process of it was last killed
	told     atomic.Int64 // ns; when one was last told to end
}

// config is the agent's file as the platform writes it now.
func (a *fleetAgent) config() []byte {
	r := a.f.rosters[a.f.now.Load()]
	text, err := json.Marshal(map[string]any{"name": filepath.Base(a.dir), "listen": a.addr, "discovery": r.Addr, "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "known": r.List(), "settings": json.RawMessage(fleetSettings)})
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
	tmp, err := os.MkdirTemp(a.dir, "tmp")
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), childEnv+"=agent", "PROXY_CONFIG="+a.path(), "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
	a.log.Reset()
	cmd.Stderr = &a.log
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
		resp, err := http.Get("http://" + a.addr + "/-/ready")
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
	from := time.Now()
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
	a.told.Store(time.Now().UnixNano())
	a.cmd.Process.Signal(syscall.SIGTERM)
	if a.f.defect == stuck {
		a.cmd.Process.Signal(syscall.SIGSTOP)
	}
	killed := time.AfterFunc(a.f.endWithin, func() {
		a.lastKill.Store(math.MaxInt64)
		a.f.fails("%s: still there %v after SIGTERM", filepath.Base(a.dir), a.f.endWithin)
		a.cmd.Process.Kill()
	})
	err := a.cmd.Wait()
	if killed.Stop() && err != nil {
		a.f.fails("%s: ended with %v; %s", filepath.Base(a.dir), err, lastLine(a.log.String()))
	}
	a.f.mu.Lock()
	defer a.f.mu.Unlock()
	a.f.ends++
	a.f.slowestEnd = max(a.f.slowestEnd, time.Since(from))
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// freeAddrs are n addresses that the kernel chose, and that are free again: processes started later listen there.
// All are held until the last is chosen: agents share an address without a word, as two processes of one may.
func freeAddrs(n int) (addrs []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}
