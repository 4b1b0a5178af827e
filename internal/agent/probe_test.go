package agent

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Where the settings allow probes a backend that failed is asked how it is, each probe is answered to the
// module, and it comes back without a request having to try it. An endpoint that fails probes at first must
// not use up the probes there may be.
func TestProbeValidates(t *testing.T) {
	for name, first := range map[string]func(c net.Conn) bool{
		"turned away":  func(c net.Conn) bool { return send(c, 503, "", "") },
		"knows none":   func(c net.Conn) bool { return send(c, 404, "", "") },
		"error":        func(c net.Conn) bool { return send(c, 500, "", "") },
		"reset":        reset,
		"spoilt":       func(c net.Conn) bool { c.Write([]byte("noise\r\n\r\n")); return true },
		"much too big": func(c net.Conn) bool { return send(c, 200, "", strings.Repeat("x", 8<<10)) },
		"silent":       func(c net.Conn) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			probes := make(chan string, 64)
			probed := 0 // in the backend's order: probes of one agent to one backend never overlap
			well, b := newBackend(t, echo), newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				if !strings.HasPrefix(req.URL.Path, "/-/") {
					return send(c, 500, "", "")
				}
				if req.Header.Get("Request-Id") != "" {
					t.Error("a probe with the id of a request")
				}
				probes <- req.URL.Path
				if probed++; probed <= 2 {
					return first(c)
				}
				return send(c, 200, "", "qps=1,util=0.5,eps=0")
			})
			d := newDiscoveryServer(t, listedBackend("s-1", b.addr), listedBackend("s-2", well.addr))
			a := startAgent(t, d, func(c *Config) {
				c.Settings.Limits.HealthChecks = true
				for i := range c.Settings.Classes {
					c.Settings.Classes[i].LatencyObjectiveMs = 20 // by which holds are measured
				}
			})
			over := time.After(testTimeout)
			for n := 0; n < 4; {
				a.roundTrip(newRequest(a.addr, "read", ""))
				select {
				case path := <-probes:
					if n++; path != "/-/load" {
						t.Fatalf("probed at %s", path)
					}
				case <-over:
					t.Fatalf("%d probes", n)
				case <-time.After(2 * time.Millisecond):
				}
			}
			if f := a.stats(); f.GuardViolations != 0 {
				t.Errorf("%d guarded", f.GuardViolations)
			}
		})
	}
}
