package agent

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// If the settings allow health checks, a failed backend is checked, and gets requests again once a check
// succeeds. Checks that failed before do not use up the limit of checks in progress.
func TestHealthChecksRestoreBackend(t *testing.T) {
	for name, first := range map[string]func(c net.Conn) bool{
		"rejected":  func(c net.Conn) bool { return writeResponse(c, 503, "", "") },
		"not found": func(c net.Conn) bool { return writeResponse(c, 404, "", "") },
		"error":     func(c net.Conn) bool { return writeResponse(c, 500, "", "") },
		"reset":     resetConnection,
		"malformed": func(c net.Conn) bool { c.Write([]byte("noise\r\n\r\n")); return true },
		"too large": func(c net.Conn) bool { return writeResponse(c, 200, "", strings.Repeat("x", 8<<10)) },
		"silent":    func(c net.Conn) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checks := make(chan string, 64)
			checked := 0 // needs no lock: checks of one backend never overlap
			healthy, b := newBackend(t, echo), newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				if !strings.HasPrefix(req.URL.Path, "/-/") {
					return writeResponse(c, 500, "", "")
				}
				if req.Header.Get("Request-Id") != "" {
					t.Error("a health check has the id of a request")
				}
				checks <- req.URL.Path
				if checked++; checked <= 2 {
					return first(c)
				}
				return writeResponse(c, 200, "", "qps=1,util=0.5,eps=0")
			})
			d := newDiscoveryServer(t, listedBackend("s-1", b.addr), listedBackend("s-2", healthy.addr))
			a := startAgent(t, d, func(c *Config) {
				c.Settings.Limits.HealthChecks = true
				for i := range c.Settings.Classes {
					// Short, so that the backend is checked soon.
					c.Settings.Classes[i].LatencyObjectiveMs = 20
				}
			})
			timeout := time.After(testTimeout)
			for n := 0; n < 4; {
				a.roundTrip(newRequest(a.addr, "read", ""))
				select {
				case path := <-checks:
					if n++; path != "/-/load" {
						t.Fatalf("the health check has the path %s", path)
					}
				case <-timeout:
					t.Fatalf("%d health checks were made", n)
				case <-time.After(2 * time.Millisecond):
				}
			}
			if f := a.stats(); f.GuardViolations != 0 {
				t.Errorf("%d guard violations, want none", f.GuardViolations)
			}
		})
	}
}
