package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startProcess starts a process of the agent whose processes share the folder tmp, and returns the address of
// its admin endpoint.
func startProcess(t *testing.T, config map[string]any, tmp string) (*exec.Cmd, string) {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	cmd := newProgram(t, string(text))
	cmd.Env = append(cmd.Env, "TMPDIR="+tmp, "PROXY_ADMIN_ADDR=127.0.0.1:0")
	log := bufio.NewReader(startLogged(t, cmd))
	for {
		line, err := log.ReadString('\n')
		if err != nil {
			t.Fatalf("the process ended: %v", err)
		}
		if _, addr, ok := strings.Cut(strings.TrimSpace(line), "admin="); ok {
			go io.Copy(io.Discard, log)
			return cmd, addr
		}
	}
}

// startLogged starts a process that ends with the test, and returns its log.
func startLogged(t *testing.T, cmd *exec.Cmd) io.Reader {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return stderr
}

func adminCall(addr, method, path string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	c := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Under load a new process takes over from the one that serves, twice: no connection is refused, no request
// is lost, the old process exits, and a backend that was cordoned at either process gets no requests from any
// until it is uncordoned.
func TestUpgradeUnderLoad(t *testing.T) {
	var used [2]atomic.Int64
	var servers []any
	for i := range used {
		b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			used[i].Add(1)
			time.Sleep(2 * time.Millisecond)
			io.WriteString(w, "done")
		}))
		defer b.Close()
		servers = append(servers, map[string]any{"id": fmt.Sprintf("s-%d", i), "addr": b.Listener.Addr().String(), "zone": "east", "kind": "big", "state": "up", "weight": 1})
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	addr := unusedAddr(t) // processes can share it
	config := map[string]any{"name": "n1", "listen": addr, "discovery": discovery.Listener.Addr().String(), "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":    map[string]any{"version": 1, "full": true, "servers": servers},
		"settings": json.RawMessage(strings.Replace(settings, `"giveUpMs":3000`, `"giveUpMs":1000`, 1))}
	tmp := t.TempDir()
	old, admin := startProcess(t, config, tmp)
	healthy := func(admin string) func() bool {
		return func() bool { status, _ := adminCall(admin, "GET", "/admin/health"); return status == 200 }
	}
	waitUntil(t, "the first process never serves", healthy(admin))

	var ids, served, refused, lost atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for worker := range 6 {
		clients.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					if c != nil {
						c.Close()
					}
					return
				default:
				}
				fresh := c == nil
				if fresh {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						refused.Add(1)
						continue
					}
					br = bufio.NewReader(c)
				}
				c.SetDeadline(time.Now().Add(testTimeout))
				fmt.Fprintf(c, "POST /api/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: order\r\n"+
					"Request-Timeout-Ms: 1000\r\nContent-Length: 1\r\n\r\nx", n, ids.Add(1))
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				switch {
				case err != nil && fresh:
					lost.Add(1)
				case err != nil:
					refused.Add(1) // an open connection was closed during the request
				case resp.StatusCode == 200:
					served.Add(1)
				}
				if err != nil || resp.Close || worker%2 == 0 && n%3 == 2 {
					c.Close()
					c = nil
				}
			}
		})
	}
	waitForTraffic := func() {
		t.Helper()
		from := served.Load()
		waitUntil(t, "no more requests are served", func() bool { return served.Load() > from+100 })
	}
	waitForTraffic()
	if status, body := adminCall(admin, "PUT", "/admin/cordon?name=s-0"); status != 200 {
		t.Fatalf("cordon: status %d, body %s", status, body)
	}
	if status, _ := adminCall(admin, "PUT", "/admin/cordon?name=s-9"); status != 404 {
		t.Errorf("cordon of an id that was never listed: status %d, want 404", status)
	}
	wantNoRequests := func(i int, what string) {
		t.Helper()
		time.Sleep(250 * time.Millisecond) // the shortest drain grace
		before := used[i].Load()
		waitForTraffic()
		if n := used[i].Load() - before; n > 0 {
			t.Errorf("%s: %d requests to the cordoned backend", what, n)
		}
	}
	wantNoRequests(0, "cordoned at this process")
	for round := range 2 {
		next, nextAdmin := startProcess(t, config, tmp)
		waitUntil(t, "the next process never serves", healthy(nextAdmin))
		wantNoRequests(0, "beside the new process")
		// Cordons at the new process reach the old one.
		if status, _ := adminCall(nextAdmin, "PUT", "/admin/uncordon?name=s-0"); status != 200 {
			t.Errorf("uncordon: status %d", status)
		}
		if status, _ := adminCall(nextAdmin, "PUT", "/admin/cordon?name=s-1"); status != 200 {
			t.Errorf("cordon: status %d", status)
		}
		wantNoRequests(1, "cordoned at the other process")
		before := used[0].Load()
		waitForTraffic()
		if used[0].Load() == before {
			t.Error("the uncordoned backend is not used")
		}
		adminCall(nextAdmin, "PUT", "/admin/uncordon?name=s-1")
		adminCall(nextAdmin, "PUT", "/admin/cordon?name=s-0")
		from := time.Now()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := old.Wait(); err != nil || time.Since(from) > 1700*time.Millisecond {
			t.Errorf("round %d: the old process ended after %v with %v", round, time.Since(from), err)
		}
		waitForTraffic()
		old, admin = next, nextAdmin
	}
	close(stop)
	clients.Wait()
	if lost.Load() > 0 || refused.Load() > 1 {
		t.Errorf("%d requests lost, %d refused or closed, of %d", lost.Load(), refused.Load(), ids.Load())
	}
	// The counters of the last process match its answers, no request is open, and only the cordoned backend
	// is out of the rotation. On a busy machine the balancer may also consider the other one silent, after
	// eight response times, which are a few ms here. Further requests end that, and without a request in
	// flight no backend is silent, so they are sent one at a time.
	var status int
	var body string
	for end := time.Now().Add(testTimeout); ; {
		req, err := http.NewRequest("POST", "http://"+addr+"/api/last", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Close = true
		req.Header.Set("Request-Id", strconv.FormatInt(ids.Add(1), 10))
		req.Header.Set("Request-Class", "order")
		req.Header.Set("Request-Timeout-Ms", "1000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		status, body = adminCall(admin, "GET", "/admin/stats")
		metrics := map[string]int64{}
		for line := range strings.Lines(body) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
			metrics[name], _ = strconv.ParseInt(value, 10, 64)
		}
		if status == 200 && metrics["app.fulfilled.order"] >= 100 && metrics["app.relayed"] >= metrics["app.fulfilled.order"] &&
			metrics["app.open_requests"] == 0 && metrics["app.registry_entries"] == 2 && metrics["app.out_of_rotation"] == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("metrics: status %d, %s", status, body)
		}
	}
}
