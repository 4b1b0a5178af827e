package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// The plan of a planned end, for deployments with short, usual and long deadlines: clients are served at
// least while new connections still come, and what is taken last has its answer before SIGKILL may come.
func TestEnding(t *testing.T) {
	for giveUpMs, want := range map[float64][2]time.Duration{
		20:   {500 * time.Millisecond, 550 * time.Millisecond},
		1200: {1225 * time.Millisecond, 1700 * time.Millisecond},
		3000: {3000 * time.Millisecond, 3500 * time.Millisecond},
		6000: {3000 * time.Millisecond, 3500 * time.Millisecond},
	} {
		c := &Config{Settings: policy.Settings{Classes: []policy.Class{{ClientTimeoutMs: giveUpMs}, {ClientTimeoutMs: 10}}}}
		if serve, answer := c.shutdownPlan(); serve != want[0] || answer != want[1] {
			t.Errorf("deadlines of %v ms: served for %v, answered by %v, want %v", giveUpMs, serve, answer, want)
		}
	}
}

// A request that came before the signal, with more time than SIGKILL leaves, has its answer before that, and the
// process has ended by then (roll+mass 502: two agents of 60 waited for requests of 5.3 s until they were killed).
func TestWhatIsHeldAtTheSignalIsAnsweredBeforeSIGKILL(t *testing.T) {
	for class, want := range map[string]int{"order": http.StatusGatewayTimeout, "read": http.StatusGatewayTimeout} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			came := make(chan struct{}, 1)
			b := newBackend(t, func(net.Conn, *http.Request, int) bool { came <- struct{}{}; return true })
			d := newDiscoveryServer(t, listedBackend("s-1", b.addr))
			a := startAgent(t, d, func(c *Config) {
				for i := range c.Settings.Classes {
					c.Settings.Classes[i].ClientTimeoutMs = 50
				}
				c.serveAfterSignal = 0
			})
			req := newRequest(a.addr, class, "x")
			req.Header.Set("Request-Timeout-Ms", "30000")
			status := statusOf(t, req)
			<-came
			kill := killGrace + a.cfg.longestClientTimeout()
			from := time.Now()
			a.stop()
			if err := <-a.done; err != nil {
				t.Error(err)
			}
			a.done <- nil // for who looks behind the test
			if took := time.Since(from); took > kill {
				t.Errorf("ended %v after the signal, SIGKILL may come after %v", took, kill)
			}
			if got := <-status; got != want {
				t.Errorf("answered %d, want %d", got, want)
			}
			if f := a.loop.Stats(); f.DeadlineExceeded != 0 || f.GuardViolations != 0 || f.Failed != 1 {
				t.Errorf("figures %+v", f)
			}
		})
	}
}

// statusOf sends a request and returns where its answer's status comes; 0: there was none.
func statusOf(t *testing.T, req *http.Request) <-chan int {
	status := make(chan int, 1)
	go func() {
		defer close(status)
		resp, err := testClient.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

// What has not been sent on when its time is cut short is refused, as nothing can have run.
func TestWhatWaitsAtTheSignalIsRefused(t *testing.T) {
	d := newDiscoveryServer(t)
	a := startAgentNotReady(t, d, func(c *Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].ClientTimeoutMs = 50
		}
		c.serveAfterSignal = 0
	})
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "30000")
	status := statusOf(t, req)
	for a.stats().Accepted == 0 {
		time.Sleep(time.Millisecond)
	}
	a.stop()
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want a refusal", got)
	}
}

// A request whose connection was there at the end of service, and whose last byte comes while the process still
// waits for what is held, has its answer; net/http's own end closes its connection without a word.
func TestARequestThatComesAsServiceEndsIsAnswered(t *testing.T) {
	a, b := startWithBackend(t, echo)
	c := a.dial()
	text := rawOrder("/api/a1", "late", "Content-Length: 1\r\n", "x")
	if _, err := io.WriteString(c, text[:20]); err != nil {
		t.Fatal(err)
	}
	held := a.dial() // a request that is open keeps the process there
	wait := make(chan struct{})
	b.answer = func(c net.Conn, req *http.Request, n int) bool { <-wait; return echo(c, req, n) }
	io.WriteString(held, rawOrder("/api/a1", "held", "Content-Length: 1\r\n", "x"))
	for a.stats().Accepted == 0 {
		time.Sleep(time.Millisecond)
	}
	a.stop()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // until the listener is closed
		probe, err := net.Dial("tcp", a.addr)
		if err != nil {
			break
		}
		probe.Close()
		if time.Now().After(end) {
			t.Fatal("it still listens")
		}
	}
	if _, err := io.WriteString(c, text[20:]); err != nil {
		t.Fatal(err)
	}
	close(wait)
	for name, c := range map[string]net.Conn{"late": c, "held": held} {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: answered %d, closes %v", name, resp.StatusCode, resp.Close)
		}
	}
}
