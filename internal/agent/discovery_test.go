package agent

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/policy"
)

const (
	// updateDeadline is the time within which a change at discovery has to reach the agent, whichever calls
	// failed before.
	updateDeadline = 6 * time.Second
	// maxQueueWait is the part of updateDeadline for which a call may wait in discovery's queue.
	maxQueueWait = 2 * time.Second
)

// failingDiscovery is a discovery server whose first calls fail. It reports when calls failed, and when
// others arrived.
type failingDiscovery struct {
	server   *httptest.Server
	ended    chan time.Time // when a call failed
	received chan time.Time // when a call arrived that does not fail
}

// newFailingDiscovery returns a server that passes its first calls to fail and answers the later ones with
// the list.
func newFailingDiscovery(t *testing.T, calls int, fail http.HandlerFunc, list membership.List) *failingDiscovery {
	f := &failingDiscovery{ended: make(chan time.Time, 1000), received: make(chan time.Time, 1000)}
	count := make(chan int, 1) // the number of calls so far
	count <- 0
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-count
		count <- n + 1
		if n < calls {
			fail(w, r)
			f.ended <- time.Now()
			return
		}
		f.received <- time.Now()
		if n > calls { // a watch stays open
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(list)
	}))
	t.Cleanup(func() { f.server.CloseClientConnections(); f.server.Close() })
	return f
}

// receive receives from a channel, and fails the test after a timeout.
func receive[T any](t *testing.T, c chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(3 * testTimeout):
		t.Fatal("not received: " + what)
	}
	return v
}

// However many calls to discovery have failed, and for whatever reason, a change arrives within
// updateDeadline: the next call comes early enough to wait in discovery's queue. Failures of a server that
// SIGHUP has replaced do not delay calls to the next server.
func TestChangeArrivesInTimeAfterFailedCalls(t *testing.T) {
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, c := range []struct {
		name   string
		before int              // failed calls to the server before SIGHUP
		fails  int              // failed calls to the server that has the change
		how    http.HandlerFunc // how they fail
	}{
		{"answered 503", 0, 7, unavailable},
		{"reset", 0, 7, reset},
		{"answered 503, then by SIGHUP", 7, discovery.MaxInitialFetches, unavailable},
		{"reset, then by SIGHUP", 7, discovery.MaxInitialFetches, reset},
		{"no answer after SIGHUP", 0, 1, silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, echo)
			drained := listedBackend("s-1", b.addr)
			drained.State = "draining"
			list := membership.List{Revision: 9, Full: true, Entries: []membership.Entry{drained, listedBackend("s-2", b.addr)}}
			reload := c.before > 0 || c.name == "no answer after SIGHUP"
			first := newFailingDiscovery(t, 1<<30, unavailable, list)
			last := newFailingDiscovery(t, c.fails, c.how, list)
			if !reload {
				first = last
			}
			a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(cfg *Config) {
				cfg.Discovery = first.server.Listener.Addr().String()
				cfg.Settings.Contract.PollIntervalMs = 10_000
			})
			for range c.before {
				receive(t, first.ended, "a failed call to the server before SIGHUP")
			}
			if reload {
				a.loop.Post(func() { a.loop.SwitchDiscovery(last.server.Listener.Addr().String()) })
			}
			var failed time.Time
			for range c.fails {
				failed = receive(t, last.ended, "a failed call")
			}
			if gap := receive(t, last.received, "a call after the failed ones").Sub(failed); gap > updateDeadline-maxQueueWait {
				t.Errorf("the next call came %v after the last failed one, want at most %v", gap, updateDeadline-maxQueueWait)
			}
			waitUntil(t, "the list is not applied", func() bool {
				known := make(chan bool, 1)
				a.loop.Post(func() { known <- a.loop.IsListed("s-2") })
				return <-known
			})
		})
	}
}

// join joins the agent's folder as another process, until the test ends.
func join(t *testing.T, tmp string) *upgrade.Dir {
	t.Helper()
	dir, err := upgrade.Join(tmp)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dir.Close() })
	return dir
}

// A process whose poll of discovery has no answer saves that in the agent's folder for the next process,
// until a poll is answered.
func TestUnansweredPollOutlivesProcess(t *testing.T) {
	tmp := t.TempDir()
	lastPoll := func() policy.LastPoll {
		loopConfig := core.Config{}
		if _, err := newSharedState(&Config{UpgradeDir: join(t, tmp)}, &loopConfig); err != nil {
			t.Fatal(err)
		}
		return loopConfig.Settings.LastPoll
	}
	until := func(want policy.LastPoll, when string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); lastPoll() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s the next process has %v, want %v", when, lastPoll(), want)
			}
		}
	}
	if got := lastPoll(); got != policy.PollUnknown {
		t.Errorf("the first process has a last poll: %v", got)
	}
	b := newBackend(t, echo)
	arrived, release, failed, answer := make(chan bool, 10), make(chan bool), make(chan bool, 10), make(chan bool)
	calls := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			arrived <- true
			select {
			case <-release:
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			failed <- true
			select {
			case <-answer:
			case <-r.Context().Done():
			}
			json.NewEncoder(w).Encode(membership.List{Revision: 9, Full: true, Entries: []membership.Entry{listedBackend("s-1", b.addr)}})
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(c *Config) {
		c.UpgradeDir, c.Discovery = join(t, tmp), server.Listener.Addr().String()
	})
	receive(t, arrived, "the first call")
	until(policy.PollUnanswered, "while the first call is in flight")
	close(release)
	receive(t, failed, "the call after the failed one")
	if got := lastPoll(); got != policy.PollUnanswered {
		t.Errorf("after a failed call the next process has %v", got)
	}
	close(answer)
	until(policy.PollAnswered, "after an answer")
}

// A process that is killed before its first poll leaves the saved state stale, although the previous process
// had an answer: its endpoint list may be as old as both processes.
func TestProcessThatNeverPolledIsStale(t *testing.T) {
	tmp := t.TempDir()
	before := join(t, tmp)
	if err := before.SetDiscoveryStale(false); err != nil {
		t.Fatal(err)
	}
	before.Close()
	calls := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	dir := join(t, tmp)
	startAgent(t, newDiscoveryServer(t, listedBackend("s-1", newBackend(t, echo).addr)), func(c *Config) {
		c.UpgradeDir, c.Discovery = dir, server.Listener.Addr().String()
		// The last of 10,000 agents: its first poll comes after 480 s.
		c.Settings.ReplicaIndex, c.Settings.Replicas, c.Settings.Contract.PollIntervalMs = 9999, 10_000, 600_000
	})
	waitUntil(t, "the saved state is still that of the previous process", func() bool {
		stale, found, err := dir.DiscoveryStale()
		return err == nil && found && stale
	})
	if n := calls.Load(); n > 0 {
		t.Errorf("%d calls came before the process's poll slot", n)
	}
}
