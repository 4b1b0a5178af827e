package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A process is ready within its time limit, however discovery behaves: at once if its configuration lists a
// backend, otherwise once discovery has answered.
func TestStartIsReadyInTime(t *testing.T) {
	const list = `{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"east","kind":"big","state":"up","weight":1}]}`
	const none = `{"version":0,"full":true,"servers":[]}`
	silent := func(http.ResponseWriter, *http.Request) bool { return false }
	unavailable := func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(503); return true }
	slow := func(w http.ResponseWriter, r *http.Request) bool {
		select {
		case <-time.After(8 * time.Second):
			fmt.Fprint(w, list)
			return true
		case <-r.Context().Done():
			return true
		}
	}
	for name, test := range map[string]struct {
		known  string                                        // the endpoint list in the configuration
		fails  int64                                         // calls that fail before an answer; -1: all
		fail   func(http.ResponseWriter, *http.Request) bool // false: keep the call open
		late   bool                                          // the configuration is complete only after 2 s
		agents int
		index  int
		within time.Duration
	}{
		"known, silent":                     {list, -1, silent, false, 1, 0, 2 * time.Second},
		"known, 503":                        {list, -1, unavailable, false, 30, 29, 2 * time.Second},
		"known, late, silent":               {list, -1, silent, true, 30, 29, 4 * time.Second},
		"none":                              {none, 0, silent, false, 30, 29, 6 * time.Second},
		"none, late":                        {none, 0, silent, true, 30, 29, 6 * time.Second},
		"none, 503 three times":             {none, 3, unavailable, false, 1, 0, 10 * time.Second},
		"none, 503 three times, last of 30": {none, 3, unavailable, false, 30, 29, 10 * time.Second},
		"none, 503 four times":              {none, 4, unavailable, false, 1, 0, 10 * time.Second},
		"none, silent once":                 {none, 1, silent, false, 1, 0, 6 * time.Second},
		"none, silent once, last of 30":     {none, 1, silent, false, 30, 29, 10 * time.Second},
		"none, slow":                        {none, -1, slow, false, 1, 0, 10 * time.Second},
		"none, slow, middle of 30":          {none, -1, slow, false, 30, 15, 10 * time.Second},
		"none, slow, last of 30":            {none, -1, slow, false, 30, 29, 11 * time.Second},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				testEnded := make(chan struct{})
				var calls atomic.Int64
				discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					n := calls.Add(1)
					switch {
					case test.fails < 0 || n <= test.fails:
						if !test.fail(w, r) {
							select {
							case <-r.Context().Done():
							case <-testEnded:
							}
						}
					case r.URL.Query().Get("index") == "7":
						select {
						case <-r.Context().Done():
						case <-testEnded:
						}
					default:
						fmt.Fprint(w, list)
					}
				}))
				defer discovery.Close()
				defer close(testEnded)
				testSettings := strings.NewReplacer(`"askWithinMs":1600`, `"askWithinMs":10000`, `"on_request"`, `"`+mode+`"`,
					`"replicasOfMe":1`, fmt.Sprintf(`"replicasOfMe":%d,"index":%d`, test.agents, test.index)).Replace(settings)
				text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, discovery.Listener.Addr().String(), test.known, testSettings)
				cmd := newProgram(t, text)
				path := ""
				for _, v := range cmd.Env {
					if value, ok := strings.CutPrefix(v, "PROXY_CONFIG="); ok {
						path = value
					}
				}
				if test.late { // truncated, as in the middle of a write
					if err := os.WriteFile(path, []byte(text[:len(text)/2]), 0o600); err != nil {
						t.Fatal(err)
					}
				}
				log, err := cmd.StderrPipe()
				if err != nil {
					t.Fatal(err)
				}
				from := time.Now()
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				defer func() { cmd.Process.Kill(); cmd.Wait() }()
				if test.late {
					time.AfterFunc(2*time.Second, func() { os.WriteFile(path, []byte(text), 0o600) })
				}
				addrs := make(chan string, 1)
				go func() {
					for lines := bufio.NewScanner(log); lines.Scan(); {
						if m := regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(lines.Text()); m != nil {
							addrs <- m[1]
						}
					}
				}()
				addr := ""
				select {
				case addr = <-addrs:
				case <-time.After(testTimeout):
					t.Fatal("the process does not listen")
				}
				waitUntil(t, "the process was never ready", func() bool {
					status, _ := adminCall(addr, "GET", "/-/ready")
					return status == 200
				})
				took := time.Since(from)
				t.Logf("ready after %v, %d calls", took.Round(10*time.Millisecond), calls.Load())
				if took > test.within {
					t.Errorf("ready after %v, want at most %v", took, test.within)
				}
			})
		}
	}
}
