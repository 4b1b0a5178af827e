//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// run is one run of a case: its record and its processes.
type run struct {
	start    time.Time
	tmp      string
	trouble  bool
	memoryMB int // limit of an agent

	mu        sync.Mutex
	record    io.Writer
	processes []*process
}

// ms returns a time in ms since the start of the run.
func (r *run) ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *run) logAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f %s\n", r.ms(t), fmt.Sprintf(format, args...))
}

func (r *run) say(format string, args ...any) { fmt.Printf(format+"\n", args...) }

// process is a program that the run started.
type process struct {
	name  string
	run   *run
	cmd   *exec.Cmd
	ended chan struct{}
	log   bytes.Buffer
}

// command starts a command line by /bin/sh -c from the current folder, the root of the repository.
func (r *run) command(name, line string, env ...string) (*process, error) {
	p := &process{name: name, run: r, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", line)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = &p.log
	p.cmd.Stderr = &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	r.logf("started %s, process %d: %s", name, p.cmd.Process.Pid, line)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
		return
	default:
	}
	p.run.logf("%v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

func (p *process) runs() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// endAll ends all programs and writes what they logged to the record.
func (r *run) endAll() {
	for _, p := range r.processes {
		if p.runs() {
			p.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-p.ended
		r.mu.Lock()
		fmt.Fprintf(r.record, "---- log of %s\n%s", p.name, p.log.String())
		r.mu.Unlock()
	}
}

// deployRun returns the command that the deploy file names for an agent.
func deployRun() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil || deploy.Run == "" {
		return "", fmt.Errorf("deploy/balancer.toml: no run: %v", err)
	}
	return deploy.Run, nil
}

// agent is an agent's process and its addresses.
type agent struct {
	*process
	name, listen, admin string
}

// startAgent starts an agent with a folder of its own for temporary files.
func (r *run) startAgent(name, discovery string, known any, env ...string) (*agent, error) {
	a := &agent{name: name, listen: freeAddr(), admin: freeAddr()}
	tmp := filepath.Join(r.tmp, name+"-tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": name, "listen": a.listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "admin_addr": a.admin,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": 1024},
		"known":    known,
		"settings": settings(),
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.tmp, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	line, err := deployRun()
	if err != nil {
		return nil, err
	}
	env = append(env, "PROXY_CONFIG="+file, "PROXY_NAME="+name, "PROXY_LISTEN="+a.listen, "PROXY_DISCOVERY="+discovery,
		"PROXY_ADMIN_ADDR="+a.admin, "TMPDIR="+tmp)
	a.process, err = r.command(name, line, env...)
	return a, err
}

// await waits until a GET of the URL answers 200.
func await(url string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get(url); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s did not answer 200 within %v", url, timeout)
}

// call makes one call at an agent's door and returns the status.
func (a *agent) call(method, path string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(bytes.TrimSpace(text)), nil
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// settings are those of a small deployment.
func settings() map[string]any {
	return map[string]any{
		"classes": []map[string]any{
			{"name": "bulletin-send", "aimMs": 300, "giveUpMs": 600, "effect": "guarded", "group": "all", "keyTtlMs": 1200, "credit": 2, "lateShare": 0.2},
			{"name": "point-order", "aimMs": 500, "giveUpMs": 1200, "effect": "single_shot", "credit": 5, "lateShare": 0.2},
		},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.31, "coldMs": 8600, "drainGraceMs": 250,
			"fallMultiple": 2.5, "tipAfterMs": 1000},
		"failureDomains": []string{"kagoshima", "miyazaki", "nagasaki"},
		"family":         "mesh",
		"index":          0,
		"limits": map[string]any{"cancelling": true, "connectTimeoutMs": 150, "keepaliveMs": 30000, "maxAttempts": 3, "maxRetryAfterMs": 600,
			"maxStreams": 1, "openCap": 10000, "parallelTries": false, "probing": false, "retryAfter": true},
		"membershipMode": "on_request",
		"objectiveMix":   map[string]any{"whole": 0.55, "worstClass": 0.3, "worstWindow": 0.15},
		"prices":         map[string]any{"crossZone": 0.02, "lateFail": 0.03, "waste": 0.05},
		"replicasOfMe":   3,
		"roundMs":        5,
		"shapes":         []string{"fast", "standard", "slow"},
		"tiers":          []string{"order-api"},
		"weights":        "nominal",
		"worthBy":        "request",
		"zone":           0,
	}
}
