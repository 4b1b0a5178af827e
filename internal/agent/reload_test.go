package agent

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
)

// wantServedBy sends requests until a backend serves one; others may serve meanwhile.
func wantServedBy(t *testing.T, a *testAgent, b *fakeBackend) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.count() == 0; {
		if time.Now().After(end) {
			t.Fatal("the backend is not used")
		}
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
}

// When its address changes, the agent stops calls to the old discovery server at once and applies the
// complete list of the new one, although that has a lower revision. Late responses of the old server are
// dropped.
func TestReloadSwitchesDiscovery(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, listedBackend("s-1", old.addr))
	d.SetRevision(1000)
	a := startAgent(t, d, nil)
	d.wait(t, 1000)
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)

	next := newDiscoveryServer(t, listedBackend("s-2", fresh.addr))
	before := a.loop.Discovery()
	a.loop.Post(func() { a.loop.SwitchDiscovery(next.Addr) })
	next.wait(t, 1) // the watch continues from the revision of the new list
	wantServedBy(t, a, fresh)
	select {
	case <-before.Done():
	default:
		t.Error("the old discovery client is not closed")
	}
	calls, n := d.Calls(), old.count()
	before.OnUpdate(&membership.List{Revision: 2000, Full: true, Entries: []membership.Entry{listedBackend("s-1", old.addr)}}, true, nil)
	next.update(t, listedBackend("s-3", fresh.addr))
	for range 10 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if d.Calls() != calls || old.count() != n {
		t.Errorf("%d calls to the old discovery, %d requests to its backend, after the switch", d.Calls()-calls, old.count()-n)
	}
	done := make(chan bool)
	a.loop.Post(func() {
		defer close(done)
		if a.loop.IsListed("s-1") || !a.loop.IsListed("s-3") {
			t.Error("the endpoints are not those of the new discovery")
		}
	})
	<-done
}

// While the new discovery server is down the current endpoints stay in use. The agent calls it again later.
func TestReloadToUnavailableDiscovery(t *testing.T) {
	old, fresh := newBackend(t, echo), newBackend(t, echo)
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", old.addr)), nil)
	next := newDiscoveryServer(t, listedBackend("s-2", fresh.addr))
	next.SetDown(true)
	a.loop.Post(func() { a.loop.SwitchDiscovery(next.Addr) })
	for next.Calls() < discovery.MaxInitialFetches+1 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	next.SetDown(false)
	wantServedBy(t, a, fresh)
}

// An invalid file changes nothing and is read again. Repeated signals are handled.
func TestReloadRetriesInvalidConfiguration(t *testing.T) {
	signals, used := make(chan os.Signal, 1), make(chan string, 10)
	var reads atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reload(ctx, signals, func() (*Config, error) {
			if reads.Add(1) <= 3 {
				return nil, errors.New("half-written")
			}
			return &Config{Discovery: "new"}, nil
		}, &Config{Discovery: "old"}, func(d string) { used <- d })
	}()
	signals <- syscall.SIGHUP
	for want := int64(4); want < 6; want++ {
		select {
		case d := <-used:
			if d != "new" || reads.Load() != want {
				t.Errorf("discovery %q is used after %d reads", d, reads.Load())
			}
		case <-time.After(testTimeout):
			t.Fatal("the valid file is not used")
		}
		signals <- syscall.SIGHUP
	}
	cancel()
	<-ended
}
