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

// A change that discovery has counts as told updateTold later, whatever calls failed before (mass page). inQueue is the
// part of it that a call may have to stand in discovery's queue.
const updateTold, inQueue = 6 * time.Second, 2 * time.Second

// failing is a discovery that answers calls as a script says, one after the other, and tells when each came and failed.
type failing struct {
	server *httptest.Server
	ended  chan time.Time // when a call failed
	came   chan time.Time // when a call came that is not to fail
}

// newFailing returns a discovery whose first calls end by fail, and whose later ones are answered with the list.
func newFailing(t *testing.T, calls int, fail http.HandlerFunc, list membership.List) *failing {
	f := &failing{ended: make(chan time.Time, 1000), came: make(chan time.Time, 1000)}
	turn := make(chan int, 1) // the number of calls so far
	turn <- 0
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-turn
		turn <- n + 1
		if n < calls {
			fail(w, r)
			f.ended <- time.Now()
			return
		}
		f.came <- time.Now()
		if n > calls { // a watch goes on
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(list)
	}))
	t.Cleanup(func() { f.server.CloseClientConnections(); f.server.Close() })
	return f
}

// next is what comes on a channel next.
func next[T any](t *testing.T, c chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(3 * testTimeout):
		t.Fatal("never: " + what)
	}
	return v
}

// However often calls to discovery failed, and in whatever way, what it has when one fails is known to the agent before
// it counts as told: the next call leaves time for the queue. Failures of a discovery that was left by SIGHUP count
// for nothing with the next one.
func TestAChangeIsKnownInTimeBehindFailedCalls(t *testing.T) {
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	broken := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	held := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, c := range []struct {
		name   string
		before int              // failed calls to a discovery that is then left
		fails  int              // failed calls to the one that has the change
		how    http.HandlerFunc // how they fail
	}{
		{"answered 503", 0, 7, unavailable},
		{"reset", 0, 7, broken},
		{"answered 503, then by SIGHUP", 7, discovery.MaxInitialFetches, unavailable},
		{"reset, then by SIGHUP", 7, discovery.MaxInitialFetches, broken},
		{"given up behind SIGHUP", 0, 1, held},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, echo)
			drained := listedBackend("s-1", b.addr)
			drained.State = "draining"
			list := membership.List{Revision: 9, Full: true, Entries: []membership.Entry{drained, listedBackend("s-2", b.addr)}}
			reload := c.before > 0 || c.name == "given up behind SIGHUP"
			first := newFailing(t, 1<<30, unavailable, list)
			last := newFailing(t, c.fails, c.how, list)
			if !reload {
				first = last
			}
			a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(cfg *Config) {
				cfg.Discovery = first.server.Listener.Addr().String()
				cfg.Settings.Contract.PollIntervalMs = 10_000
			})
			for range c.before {
				next(t, first.ended, "a failed call to the discovery that is left")
			}
			if reload {
				a.loop.Post(func() { a.loop.SwitchDiscovery(last.server.Listener.Addr().String()) })
			}
			var failed time.Time
			for range c.fails {
				failed = next(t, last.ended, "a failed call")
			}
			if gap := next(t, last.came, "a call behind the failed ones").Sub(failed); gap > updateTold-inQueue {
				t.Errorf("the next call came %v after the last failed, want %v at the most", gap, updateTold-inQueue)
			}
			until(t, "the list is not taken", func() bool {
				known := make(chan bool, 1)
				a.loop.Post(func() { known <- a.loop.IsListed("s-2") })
				return <-known
			})
		})
	}
}

// join makes a process one of the agent's folder, until the test ends.
func join(t *testing.T, tmp string) *upgrade.Dir {
	t.Helper()
	dir, err := upgrade.Join(tmp)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dir.Close() })
	return dir
}

// A process whose call to discovery has no answer says so in the agent's folder, for the one that is started in its
// place should it be killed; an answer takes that back.
func TestAMissingAnswerOutlivesItsProcess(t *testing.T) {
	tmp := t.TempDir()
	lastCall := func() policy.LastPoll {
		loop := core.Config{}
		if _, err := newSharedState(&Config{UpgradeDir: join(t, tmp)}, &loop); err != nil {
			t.Fatal(err)
		}
		return loop.Settings.LastPoll
	}
	until := func(want policy.LastPoll, when string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); lastCall() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s the next process is told %v, not %v", when, lastCall(), want)
			}
		}
	}
	if got := lastCall(); got != policy.PollUnknown {
		t.Errorf("the first process of all is told of a last call: %v", got)
	}
	b := newBackend(t, echo)
	came, release, failed, answer := make(chan bool, 10), make(chan bool), make(chan bool, 10), make(chan bool)
	calls := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			came <- true
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
	next(t, came, "the first call")
	until(policy.PollUnanswered, "while the first call is out")
	close(release)
	next(t, failed, "the call behind the failed one")
	if got := lastCall(); got != policy.PollUnanswered {
		t.Errorf("behind a failed call the next process is told %v", got)
	}
	close(answer)
	until(policy.PollAnswered, "behind an answer")
}

// A process that is killed before its turn at discovery leaves no word of an answer that the one before it had: the next
// one's list is as old as both their lives.
func TestAnOldAnswerIsNoWordOfAProcessThatNeverAsked(t *testing.T) {
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
		c.Settings.ReplicaIndex, c.Settings.Replicas, c.Settings.Contract.PollIntervalMs = 9999, 10_000, 600_000 // the last of many: 480 s
	})
	until(t, "the word of the process before it stands", func() bool {
		stale, found, err := dir.DiscoveryStale()
		return err == nil && found && stale
	})
	if n := calls.Load(); n > 0 {
		t.Errorf("%d calls came before its turn", n)
	}
}
