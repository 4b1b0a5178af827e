package agent

import (
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
		c := &Config{Settings: policy.Settings{Classes: []policy.Class{{GiveUpMs: giveUpMs}, {GiveUpMs: 10}}}}
		if serve, answer := c.ending(); serve != want[0] || answer != want[1] {
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
			d := newDiscoveryServer(t, target("s-1", b.addr))
			a := startAgent(t, d, func(c *Config) {
				for i := range c.Settings.Classes {
					c.Settings.Classes[i].GiveUpMs = 50
				}
				c.linger = 0
			})
			req := newRequest(a.addr, class, "x")
			req.Header.Set("Request-Timeout-Ms", "30000")
			status := make(chan int, 1)
			go func() {
				resp, err := testClient.Do(req)
				if err != nil {
					t.Error(err)
					close(status)
					return
				}
				resp.Body.Close()
				status <- resp.StatusCode
			}()
			<-came
			kill := killAfter + a.cfg.longest()
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
			if f := a.loop.Figures(); f.Backstops != 0 || f.Guarded != 0 || f.Failed != 1 {
				t.Errorf("figures %+v", f)
			}
		})
	}
}

// What has not been sent on when its time is cut short is refused, as nothing can have run.
func TestWhatWaitsAtTheSignalIsRefused(t *testing.T) {
	d := newDiscoveryServer(t)
	a := startAgentNotReady(t, d, func(c *Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].GiveUpMs = 50
		}
		c.linger = 0
	})
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "30000")
	status := make(chan int, 1)
	go func() {
		resp, err := testClient.Do(req)
		if err != nil {
			t.Error(err)
			close(status)
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	for a.figures().Taken == 0 {
		time.Sleep(time.Millisecond)
	}
	a.stop()
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want a refusal", got)
	}
}
