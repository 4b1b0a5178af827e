package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// TestMain runs the program itself instead of the tests if RINGTRACK_AS_PROGRAM is set.
func TestMain(m *testing.M) {
	if os.Getenv("RINGTRACK_AS_PROGRAM") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newProgram returns a command that runs the program with a configuration.
func newProgram(t *testing.T, config string) *exec.Cmd {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RINGTRACK_AS_PROGRAM=1", "PROXY_CONFIG="+path,
		"PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=",
		"GORACE=atexit_sleep_ms=0") // otherwise the race detector sleeps for 1 s at exit
	return cmd
}

const settings = `{"classes":[{"name":"order","aimMs":2000,"giveUpMs":3000,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"askWithinMs":1600,"drainGraceMs":250},"failureDomains":["east"],"shapes":["big"],"replicasOfMe":1,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600},
"membershipMode":"on_request","objectiveMix":{"whole":1},"roundMs":5}`

func TestInvalidConfigExitsWithOneLine(t *testing.T) {
	cmd := newProgram(t, strings.Replace(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":`+settings+`}`, "single_shot", "twice", 1))
	var stderr strings.Builder
	cmd.Stderr = &stderr
	err := cmd.Run()
	if code := cmd.ProcessState.ExitCode(); err == nil || code != 1 {
		t.Errorf("exit code %d, want 1", code)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "classes[0].effect") {
		t.Errorf("standard error %q, want one line that names the key", text)
	}
}

// After SIGTERM under load new connections are accepted for a while and open ones stay in use. Each request
// on an accepted connection is answered, and the program exits without error before SIGKILL.
func TestSIGTERMAnswersAcceptedRequests(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/long" {
			time.Sleep(time.Second) // longer than new connections are accepted
		}
		if r.URL.Path == "/api/never" {
			io.Copy(io.Discard, r.Body) // otherwise the server would not notice a disconnect
			<-r.Context().Done()
			return
		}
		time.Sleep(20 * time.Millisecond) // so that requests are in flight at the signal
		fmt.Fprint(w, "done")
	}))
	defer backend.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(testTimeout):
		}
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.Listener.Addr().String(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known": map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "s-1",
			"addr": backend.Listener.Addr().String(), "zone": "east", "kind": "big", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	cmd := newProgram(t, string(config))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	log := bufio.NewReader(stderr)
	line, err := log.ReadString('\n')
	found := regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(line)
	if err != nil || found == nil {
		t.Fatalf("no address in %q: %v", line, err)
	}
	addr := found[1]

	var answered, lost, answeredAfterSignal atomic.Int64
	var signalled atomic.Bool
	var ids atomic.Int64
	request := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: order\r\n"+
			"Request-Timeout-Ms: 3000\r\nContent-Length: 1\r\n\r\nx", path, ids.Add(1))
	}
	stop := make(chan struct{})
	worker := func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return // no longer accepted
			}
			c.SetDeadline(time.Now().Add(testTimeout))
			br := bufio.NewReader(c)
			for first := true; ; first = false {
				sentAfterSignal := signalled.Load()
				_, err := c.Write([]byte(request("/api/a1")))
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(br, nil)
				}
				if err != nil {
					// An open connection may be closed between requests, but the first request on a new
					// connection must be answered.
					if first {
						lost.Add(1)
					}
					break
				}
				resp.Body.Close()
				answered.Add(1)
				if sentAfterSignal {
					answeredAfterSignal.Add(1)
				}
				if resp.Close {
					break
				}
			}
			c.Close()
		}
	}
	var workers sync.WaitGroup
	for range 8 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			worker()
		}()
	}
	for end := time.Now().Add(testTimeout); answered.Load() < 50 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	// One client has a connection that it uses again; then it sends a request on a new one that is never answered by the
	// backend, as late as clients may.
	type reuseResult struct {
		closes bool          // the connection says that it ends with its first answer after the signal
		status int           // of the request that the backend never answered
		at     time.Duration // when that request was answered, after the signal
		err    error
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	exchange := func(c net.Conn, path string) (status int, closes bool, err error) {
		if _, err := fmt.Fprint(c, request(path)); err != nil {
			return 0, false, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, false, err
		}
		return resp.StatusCode, resp.Close, nil
	}
	signal, reused := make(chan time.Time, 1), make(chan reuseResult, 1)
	go func() {
		var e reuseResult
		defer func() { reused <- e }()
		from := <-signal
		for !e.closes && time.Since(from) < 350*time.Millisecond {
			if _, e.closes, e.err = exchange(conn, "/api/a1"); e.err != nil {
				return
			}
		}
		time.Sleep(time.Until(from.Add(350 * time.Millisecond)))
		c, err := net.Dial("tcp", addr)
		if err != nil {
			e.err = err
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		e.status, _, e.err = exchange(c, "/api/never")
		e.at = time.Since(from)
	}()
	signalled.Store(true)
	from := time.Now()
	signal <- from
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	long := make(chan error, 1)
	go func() {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			_, err = fmt.Fprint(c, request("/api/long"))
		}
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode != 200 {
				err = fmt.Errorf("unexpected status %d", resp.StatusCode)
			}
		}
		long <- err
	}()
	time.AfterFunc(300*time.Millisecond, func() { close(stop) }) // new connections end before 0.4 s
	for err == nil {
		_, err = log.ReadString('\n')
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
	took := time.Since(from)
	workers.Wait()
	if err := <-long; err != nil {
		t.Errorf("a request in flight at the end: %v", err)
	}
	if lost.Load() > 0 || answeredAfterSignal.Load() == 0 {
		t.Errorf("%d requests lost; %d answered, %d of them sent after the signal", lost.Load(), answered.Load(), answeredAfterSignal.Load())
	}
	if e := <-reused; e.err != nil || !e.closes || e.status < 500 || e.at > 3600*time.Millisecond {
		t.Errorf("an open connection closes with its answer: %v; the last request: %d at %v, %v", e.closes, e.status, e.at, e.err)
	}
	if took > 3700*time.Millisecond {
		t.Errorf("ended %v after SIGTERM", took)
	}
}

// SIGHUP never ends the program, whatever the configuration file contains. The discovery server that the file
// names then is used, even if the environment named another one at the start.
func TestSIGHUPSwitchesDiscovery(t *testing.T) {
	discovery := func(called chan struct{}) string {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case called <- struct{}{}:
			default:
			}
			if r.URL.Query().Has("index") {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
		}))
		t.Cleanup(func() {
			d.CloseClientConnections()
			d.Close()
		})
		return d.Listener.Addr().String()
	}
	before, after := make(chan struct{}, 1), make(chan struct{}, 1)
	old, next := discovery(before), discovery(after)
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[]},"settings":%s}`, discovery, settings)
	}
	cmd := newProgram(t, config(old))
	cmd.Env = append(cmd.Env, "PROXY_DISCOVERY="+old)
	path := ""
	for _, v := range cmd.Env {
		if value, ok := strings.CutPrefix(v, "PROXY_CONFIG="); ok {
			path = value
		}
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := make(chan string, 100)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(stderr); in.Scan(); {
			lines <- in.Text()
		}
	}()
	wait := func(what string, got <-chan struct{}) {
		t.Helper()
		select {
		case <-got:
		case <-time.After(testTimeout):
			t.Fatal(what)
		}
	}
	logged := func(text string) {
		t.Helper()
		for {
			select {
			case line, ok := <-lines:
				if !ok {
					t.Fatalf("the program ended without %q in its log", text)
				}
				if strings.Contains(line, text) {
					return
				}
			case <-time.After(testTimeout):
				t.Fatalf("no %q in the log", text)
			}
		}
	}
	wait("the first discovery server is not called", before)
	for _, text := range []string{"", config(next)[:200], config(next)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		if text != config(next) {
			logged("not used")
		}
	}
	wait("the new discovery server is not called", after)
	cmd.Process.Signal(syscall.SIGHUP)
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	logged("stopped")
	for range lines { // read to the end before Wait closes the pipe
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
