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

// blockableProxy is a TCP proxy in front of a discovery server. While it is blocked it closes every
// connection.
type blockableProxy struct {
	ln net.Listener
	to string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]bool
}

func newBlockableProxy(t *testing.T, to string) *blockableProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &blockableProxy{ln: ln, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { ln.Close(); p.setBlocked(true) })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(in)
		}
	}()
	return p
}

func (p *blockableProxy) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	blocked := p.blocked
	p.conns[in] = true
	p.mu.Unlock()
	if blocked {
		return
	}
	go func() {
		io.Copy(out, in)
		out.Close()
	}()
	io.Copy(in, out)
	p.mu.Lock()
	delete(p.conns, in)
	p.mu.Unlock()
}

// setBlocked blocks or unblocks the proxy, and closes all connections.
func (p *blockableProxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	for c := range p.conns {
		c.Close()
		delete(p.conns, c)
	}
}

// connectIdle opens up to maxConnections connections that stay open. Each sends a text and reads the first
// byte of the answer. It returns how many were accepted, and stops at a connection that is neither answered
// nor closed, since the agent had no descriptor left for it.
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

// unlistedThriftCall returns a framed, binary Thrift call of a method that is not listed. Its answer is an
// exception.
func unlistedThriftCall() string {
	msg := binary.BigEndian.AppendUint32(nil, 0x80010001)
	msg = binary.BigEndian.AppendUint32(msg, 4)
	msg = append(msg, "none"...)
	msg = binary.BigEndian.AppendUint32(msg, 1)
	msg = append(msg, 0)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(msg)))) + string(msg)
}

// While discovery is down, idle clients on every listener use up the agent's descriptors, and the agent has
// as many connections to backends as its limit allows. Once discovery is back it is called, a change arrives
// within 6 s, and requests are served all the time, whether the configured limit is that of the process or
// higher.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	for _, sockets := range []int{64, 1024} {
		for _, listeners := range []int{2, 3} { // for HTTP clients and operators, and also for Thrift clients
			t.Run(fmt.Sprintf("%d listeners, %d descriptors", listeners, sockets), func(t *testing.T) {
				t.Parallel()
				testIdleClients(t, sockets, listeners)
			})
		}
	}
}

func testIdleClients(t *testing.T, sockets, listeners int) {
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
	proxy := newBlockableProxy(t, discovery.Addr)

	dir := t.TempDir()
	thrift := filepath.Join(dir, "thrift.toml")
	if err := os.WriteFile(thrift, []byte("listen = \"127.0.0.1:0\"\nunlisted = \"refuse\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
		"discovery": proxy.ln.Addr().String(), "seed": "1", "known": discovery.List(),
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
		t.Fatal("the program did not log its addresses in time")
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
			err = fmt.Errorf("unexpected status %d", resp.StatusCode)
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
	for range 6 * backends { // to open a connection to as many backends as the pool has capacity for
		name, err := request()
		if err != nil {
			t.Fatal(err)
		}
		used[name] = true
	}
	proxy.setBlocked(true)
	for range limit { // each sends a partial request
		c, err := net.Dial("tcp", addr["admin"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /admin/health HTTP/1.1\r\nHo")
	}
	// A complete request, after all the idle connections.
	adminConns := connectIdle(t, addr["admin"], "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n", 1)
	thriftConns := 0
	if listeners > 2 {
		thriftConns = connectIdle(t, addr[`Thrift" addr`], unlistedThriftCall(), 2*limit)
	}
	clientConns := connectIdle(t, addr["addr"], "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 2*limit)
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	t.Logf("%d backends used; accepted: %d clients, %d over Thrift, and the last of the admin endpoint: %d; %d descriptors of %d", len(used), clientConns, thriftConns, adminConns, len(open), limit)
	if adminConns != 1 {
		t.Error("a request to the admin endpoint after idle connections is not answered")
	}
	if _, err := request(); err != nil {
		t.Errorf("a request while discovery is down: %v", err)
	}

	version := discovery.Set(fresh)
	for _, e := range entries {
		e.State = "draining"
		version = discovery.Set(e)
	}
	proxy.setBlocked(false)
	unblocked := time.Now()
	if !waitFor(version) {
		t.Fatal("discovery was never called with the revision of the change")
	}
	if took := time.Since(unblocked); took > 6*time.Second {
		t.Errorf("the change arrived %v after discovery was back", took)
	} else {
		t.Logf("the change arrived %v after discovery was back", took)
	}
	// A watch makes its next call before it passes a change on: once there is a call after one more change,
	// the first change is applied.
	if !waitFor(discovery.Set(fresh)) {
		t.Fatal("discovery was not called once more")
	}
	for range 3 {
		if name, err := request(); err != nil || name != "fresh" {
			t.Errorf("a request after the change: backend %q, error %v", name, err)
		}
	}
}
