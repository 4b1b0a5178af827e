package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// gate stands before a roster and passes bytes both ways, or, while it is shut, closes whoever comes.
type gate struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]bool
}

func newGate(t *testing.T, to string) *gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{ln: ln, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { ln.Close(); g.set(true) })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go g.pass(in)
		}
	}()
	return g
}

func (g *gate) pass(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", g.to)
	if err != nil {
		return
	}
	defer out.Close()
	g.mu.Lock()
	shut := g.shut
	g.conns[in] = true
	g.mu.Unlock()
	if shut {
		return
	}
	go func() {
		io.Copy(out, in)
		out.Close()
	}()
	io.Copy(in, out)
	g.mu.Lock()
	delete(g.conns, in)
	g.mu.Unlock()
}

// set shuts the gate, and closes all that is passed on, or opens it.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	for c := range g.conns {
		c.Close()
		delete(g.conns, c)
	}
}

// connectIdle connect to an address one after the other, and stay: each says its word and reads what it is answered, until
// so many have come or one is neither answered nor closed, as there is no descriptor left to take it.
func connectIdle(t *testing.T, addr, word string, most int) (taken int) {
	t.Helper()
	for ; taken < most; taken++ {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, word)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			return taken
		}
	}
	return taken
}

// unlistedThriftCall is a Thrift call of a method that is not listed, framed and binary: it is answered by an exception.
func unlistedThriftCall() string {
	msg := binary.BigEndian.AppendUint32(nil, 0x80010001)
	msg = binary.BigEndian.AppendUint32(msg, 4)
	msg = append(msg, "none"...)
	msg = binary.BigEndian.AppendUint32(msg, 1)
	msg = append(msg, 0)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(msg)))) + string(msg)
}

// Clients that idle on every door of the agent fill its descriptors while discovery is down, with as many connections
// to backends as there may be. At discovery's return it can be called, a change is told within 6 s, requests are
// served all the time, and the process goes on; whether the configuration tells the limit as it is, or the process
// may hold fewer.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	for _, told := range []int{64, 1024} {
		for _, doors := range []int{2, 3} { // clients over HTTP and operators, and over Thrift
			t.Run(fmt.Sprintf("%d of %d", doors, told), func(t *testing.T) {
				t.Parallel()
				idleClients(t, told, doors)
			})
		}
	}
}

func idleClients(t *testing.T, told, doors int) {
	const limit, backends = 64, 48
	server := func(name string) (membership.Entry, *httptest.Server) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) }))
		t.Cleanup(s.Close)
		return membership.Entry{ID: name, Addr: s.Listener.Addr().String(), Zone: "east", Kind: "big", State: "up", Weight: 1}, s
	}
	var entries []membership.Entry
	for i := range backends {
		e, _ := server("old-" + strconv.Itoa(i))
		entries = append(entries, e)
	}
	fresh, _ := server("fresh")
	roster, err := lab.NewRoster(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(roster.Close)
	g := newGate(t, roster.Addr)

	dir := t.TempDir()
	thrift := filepath.Join(dir, "thrift.toml")
	if err := os.WriteFile(thrift, []byte("listen = \"127.0.0.1:0\"\nunlisted = \"refuse\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
		"discovery": g.ln.Addr().String(), "seed": "1", "known": roster.List(),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": told}, "settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	as := newProgram(t, string(config))
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\"", limit), as.Path)
	if cmd.Env = append(as.Env, "TMPDIR="+dir); doors > 2 {
		cmd.Env = append(cmd.Env, "PROXY_THRIFT="+thrift)
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() { cmd.Process.Signal(syscall.SIGKILL); <-ended })
	addrs := make(chan map[string]string, 1)
	go func() {
		defer close(ended)
		found := map[string]string{}
		for lines := bufio.NewScanner(log); lines.Scan(); {
			for _, m := range regexp.MustCompile(`(Thrift" addr|admin|addr)=(127\S+)`).FindAllStringSubmatch(lines.Text(), -1) {
				if found[m[1]] = m[2]; len(found) == doors {
					addrs <- found
				}
			}
			t.Log(lines.Text())
		}
		cmd.Wait()
	}()
	var addr map[string]string
	select {
	case addr = <-addrs:
	case <-time.After(testTimeout):
		t.Fatal("no addresses")
	}
	ids := 0
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func() (string, error) {
		ids++
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/api/%016x", addr["addr"], uint64(ids)*0x9e3779b97f4a7c15), nil)
		for k, v := range map[string]string{"Request-Id": strconv.Itoa(ids), "Request-Class": "order", "Request-Timeout-Ms": "3000"} {
			req.Header.Set(k, v)
		}
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 {
			err = fmt.Errorf("answered %d", resp.StatusCode)
		}
		return string(body), err
	}
	waitFor := func(version uint64) bool {
		for over := time.After(testTimeout); ; {
			select {
			case index := <-roster.Asked:
				if index >= version {
					return true
				}
			case <-over:
				return false
			}
		}
	}
	if !waitFor(1) {
		t.Fatal("discovery is not watched")
	}
	used := map[string]bool{}
	for range 6 * backends { // to leave a connection at each backend that the pool has room for
		name, err := ask()
		if err != nil {
			t.Fatal(err)
		}
		used[name] = true
	}
	g.set(true)
	for range limit { // half a call each
		c, err := net.Dial("tcp", addr["admin"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /admin/health HTTP/1.1\r\nHo")
	}
	operators := connectIdle(t, addr["admin"], "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n", 1) // behind all of them
	thrifts := 0
	if doors > 2 {
		thrifts = connectIdle(t, addr[`Thrift" addr`], unlistedThriftCall(), 2*limit)
	}
	fronts := connectIdle(t, addr["addr"], "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 2*limit)
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	t.Logf("%d backends used; taken: %d clients, %d over Thrift, and the last operator: %d; %d descriptors of %d", len(used), fronts, thrifts, operators, len(open), limit)
	if operators != 1 {
		t.Error("an operator behind those who hold a connection is not answered")
	}
	if _, err := ask(); err != nil {
		t.Errorf("while discovery is down: %v", err)
	}

	version := roster.Set(fresh)
	for _, e := range entries {
		e.State = "draining"
		version = roster.Set(e)
	}
	g.set(false)
	back := time.Now()
	if !waitFor(version) {
		t.Fatal("discovery was never called again with the change")
	}
	if took := time.Since(back); took > 6*time.Second {
		t.Errorf("the change was told %v after discovery's return", took)
	} else {
		t.Logf("told after %v", took)
	}
	// The watch calls again before it hands on what it got: one change more, and the first is at work.
	if !waitFor(roster.Set(fresh)) {
		t.Fatal("discovery was not called again")
	}
	for range 3 {
		if name, err := ask(); err != nil || name != "fresh" {
			t.Errorf("after the change: %q, %v", name, err)
		}
	}
}
