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

// gate is a proxy before a discovery server. While it is blocked it closes each connection.
type gate struct {
	ln net.Listener
	to string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]bool
}

func newGate(t *testing.T, to string) *gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{ln: ln, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { ln.Close(); g.setBlocked(true) })
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
	blocked := g.blocked
	g.conns[in] = true
	g.mu.Unlock()
	if blocked {
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

// setBlocked blocks or opens the gate, and closes all connections.
func (g *gate) setBlocked(blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = blocked
	for c := range g.conns {
		c.Close()
		delete(g.conns, c)
	}
}

// connectIdle opens up to maxConnections connections that stay open. Each sends a text and reads the first byte of the
// answer. It returns how many were accepted: one that is neither answered nor closed found no descriptor left.
func connectIdle(t *testing.T, addr, text string, maxConnections int) (accepted int) {
	t.Helper()
	for ; accepted < maxConnections; accepted++ {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted
		}
	}
	return accepted
}

// unlistedThriftCall is a Thrift call, framed and binary, of a method that is not listed. The answer is an exception.
func unlistedThriftCall() string {
	msg := binary.BigEndian.AppendUint32(nil, 0x80010001)
	msg = binary.BigEndian.AppendUint32(msg, 4)
	msg = append(msg, "none"...)
	msg = binary.BigEndian.AppendUint32(msg, 1)
	msg = append(msg, 0)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(msg)))) + string(msg)
}

// Idle clients on every listener of the agent use up its descriptors while discovery is down, with as many connections to
// backends as there may be. Once discovery is back it is called, a change arrives within 6 s, and requests are served
// all the time, whether the configuration has the limit of the process or a higher one.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	for _, sockets := range []int{64, 1024} {
		for _, listeners := range []int{2, 3} { // clients over HTTP and operators, and over Thrift
			t.Run(fmt.Sprintf("%d of %d", listeners, sockets), func(t *testing.T) {
				t.Parallel()
				idleClients(t, sockets, listeners)
			})
		}
	}
}

func idleClients(t *testing.T, sockets, listeners int) {
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
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	g := newGate(t, discovery.Addr)

	dir := t.TempDir()
	thrift := filepath.Join(dir, "thrift.toml")
	if err := os.WriteFile(thrift, []byte("listen = \"127.0.0.1:0\"\nunlisted = \"refuse\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
		"discovery": g.ln.Addr().String(), "seed": "1", "known": discovery.List(),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets}, "settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	program := newProgram(t, string(config))
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\"", limit), program.Path)
	if cmd.Env = append(program.Env, "TMPDIR="+dir); listeners > 2 {
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
				if found[m[1]] = m[2]; len(found) == listeners {
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
	request := func() (string, error) {
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
		for timeout := time.After(testTimeout); ; {
			select {
			case index := <-discovery.WatchIndexes:
				if index >= version {
					return true
				}
			case <-timeout:
				return false
			}
		}
	}
	if !waitFor(1) {
		t.Fatal("discovery is not watched")
	}
	used := map[string]bool{}
	for range 6 * backends { // to leave a connection to each backend that the pool has capacity for
		name, err := request()
		if err != nil {
			t.Fatal(err)
		}
		used[name] = true
	}
	g.setBlocked(true)
	for range limit { // half a request each
		c, err := net.Dial("tcp", addr["admin"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /admin/health HTTP/1.1\r\nHo")
	}
	admins := connectIdle(t, addr["admin"], "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n", 1) // after all of them
	thrifts := 0
	if listeners > 2 {
		thrifts = connectIdle(t, addr[`Thrift" addr`], unlistedThriftCall(), 2*limit)
	}
	clients := connectIdle(t, addr["addr"], "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 2*limit)
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	t.Logf("%d backends used; accepted: %d clients, %d over Thrift, and the last of the admin endpoint: %d; %d descriptors of %d", len(used), clients, thrifts, admins, len(open), limit)
	if admins != 1 {
		t.Error("a request to the admin endpoint after idle connections is not answered")
	}
	if _, err := request(); err != nil {
		t.Errorf("while discovery is down: %v", err)
	}

	version := discovery.Set(fresh)
	for _, e := range entries {
		e.State = "draining"
		version = discovery.Set(e)
	}
	g.setBlocked(false)
	back := time.Now()
	if !waitFor(version) {
		t.Fatal("discovery was never called with the revision of the change")
	}
	if took := time.Since(back); took > 6*time.Second {
		t.Errorf("the change arrived %v after discovery was back", took)
	} else {
		t.Logf("arrived after %v", took)
	}
	// A watch makes its next call before it passes a change on: after one more change the first one is applied.
	if !waitFor(discovery.Set(fresh)) {
		t.Fatal("discovery was not called once more")
	}
	for range 3 {
		if name, err := request(); err != nil || name != "fresh" {
			t.Errorf("after the change: %q, %v", name, err)
		}
	}
}
