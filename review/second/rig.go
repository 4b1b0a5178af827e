//go:build review

// Command second runs the cases 6 to 10 of the review. Each case starts the project's programs as processes of
// their own, with stand-ins for clients, servers and discovery on loopback addresses, writes what was sent, answered
// and run to record.txt in its folder, and ends all that it started. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	cantRun = 2
)

var cases = map[string]func(*rig) int{}

// rig holds what a case has started.
type rig struct {
	folder  string // of the case
	tmp     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(cantRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	r := &rig{folder: folder, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer func() {
		if failure := recover(); failure != nil {
			text, expected := failure.(failed)
			if !expected {
				r.endAll()
				panic(failure)
			}
			r.log("the case could not run: %s", string(text))
			code = cantRun
		}
		r.endAll()
		r.log("exit %d", code)
		record.Close()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(tmp)
		}
	}()
	watchdog := time.AfterFunc(118*time.Second, func() {
		r.log("the case took too long")
		r.endAll()
		os.RemoveAll(tmp)
		os.Exit(cantRun)
	})
	defer watchdog.Stop()
	go func() { // a case that is ended from outside leaves nothing behind
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		<-ended
		r.endAll()
		os.RemoveAll(tmp)
		os.Exit(cantRun)
	}()
	r.log("case %s, trouble %v", name, r.trouble)
	return cases[name](r)
}

// failed is the reason for which a case can't run.
type failed string

func (r *rig) fail(format string, args ...any) { panic(failed(fmt.Sprintf(format, args...))) }

func (r *rig) must(err error) {
	if err != nil {
		r.fail("%v", err)
	}
}

// log writes a line with the time since the start.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	io.WriteString(r.record, line)
	if os.Getenv("QUIET") == "" {
		io.WriteString(os.Stdout, line)
	}
}

// note writes a line to the record alone.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// proc is a process that the case started.
type proc struct {
	name  string
	cmd   *exec.Cmd
	logs  string
	ended chan struct{}
	err   error
}

// startProc runs a command of the shell in the repository's root.
func (r *rig) startProc(name, command string, env ...string) *proc {
	p := &proc{name: name, logs: filepath.Join(r.tmp, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.must(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		out.Close()
		close(p.ended)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.log("started %s (pid %d): %s", name, p.cmd.Process.Pid, strings.ReplaceAll(command, r.tmp, "TMP"))
	return p
}

func (p *proc) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *proc) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *proc) waitEnd(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// lastLog returns the last lines of the process's log.
func (p *proc) lastLog(n int) string {
	text, _ := os.ReadFile(p.logs)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-n, 0):], "\n         | ")
}

func (r *rig) endAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		if !p.hasEnded() {
			syscall.Kill(-p.cmd.Process.Pid, syscall.SIGCONT)
			syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		}
	}
	for _, p := range procs {
		p.waitEnd(5 * time.Second)
	}
}

var (
	portMu   sync.Mutex
	portsOut = map[string]bool{}
)

// freeAddr returns a loopback address with a port that is free.
func (r *rig) freeAddr() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		r.must(err)
		addr := ln.Addr().String()
		ln.Close()
		if !portsOut[addr] {
			portsOut[addr] = true
			return addr
		}
	}
}

func (r *rig) write(name, text string) string {
	path := filepath.Join(r.tmp, name)
	r.must(os.MkdirAll(filepath.Dir(path), 0o700))
	r.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// await polls until ok, for at most d.
func await(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// Keepers of the book.

type keeper struct {
	name, addr, config string
	proc               *proc
}

// startKeepers starts three keepers with the settings of deploy/keeper.toml and waits until one leads.
func (r *rig) startKeepers() []*keeper {
	var keepers []*keeper
	members := "[members]\n"
	for _, name := range []string{"k1", "k2", "k3"} {
		k := &keeper{name: name, addr: r.freeAddr()}
		keepers = append(keepers, k)
		members += fmt.Sprintf("%s = %q\n", name, k.addr)
	}
	for _, k := range keepers {
		k.config = r.write(k.name+".toml", fmt.Sprintf("name = %q\nlisten = %q\ndata = %q\njoin = false\nlease_ms = 2000\nlist_ms = 3000\ntick_ms = 25\n\n%s",
			k.name, k.addr, filepath.Join(r.tmp, "data-"+k.name), members))
		r.startKeeper(k)
	}
	if !await(15*time.Second, func() bool { return r.leader(keepers) != nil }) {
		r.fail("no keeper leads")
	}
	return keepers
}

func (r *rig) startKeeper(k *keeper) {
	k.proc = r.startProc(k.name, "exec bin/ringtrack-configstore run --config "+k.config)
}

type keeperStatus struct {
	Name    string            `json:"name"`
	Leader  string            `json:"leader"`
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Stage   uint64            `json:"stage"`
	Last    uint64            `json:"last"`
	Holders map[string]uint64 `json:"holders"`
	HeldUp  []string          `json:"held_up"`
}

var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (k *keeper) status() (*keeperStatus, error) {
	resp, err := quickClient.Get("http://" + k.addr + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	s := &keeperStatus{}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return s, json.NewDecoder(resp.Body).Decode(s)
}

// leader returns the keeper that leads by its own word; nil: none.
func (r *rig) leader(keepers []*keeper) *keeper {
	var leader *keeper
	term := uint64(0)
	for _, k := range keepers {
		if s, err := k.status(); err == nil && s.Leader == k.name && s.Term >= term {
			leader, term = k, s.Term
		}
	}
	return leader
}

func addrs(keepers []*keeper) string {
	var list []string
	for _, k := range keepers {
		list = append(list, k.addr)
	}
	return strings.Join(list, ",")
}

// operator runs the operators' command and returns what it printed.
func (r *rig) operator(timeout time.Duration, keepers []*keeper, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bin/ringtrack-configstore", args...)
	cmd.Env = append(os.Environ(), "RINGTRACK_KEEPERS="+addrs(keepers))
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}
