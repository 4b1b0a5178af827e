package downstream_test

import (
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/membership"
)

// membershipRules test draining and removed servers, and the slow start.
var membershipRules = []rule{
	{name: "3 nothing new to a draining server", run: func(t *testing.T, w *world.World) {
		testNothingNewAfter(t, w, func(s *world.Server) {
			e := s.Entry
			e.State = membership.Draining
			w.Discovery.Set(e)
		})
	}},
	{name: "3 nothing new to a removed server", run: func(t *testing.T, w *world.World) {
		testNothingNewAfter(t, w, func(s *world.Server) { w.Discovery.Remove(s.Entry.ID) })
	}},
	{name: "3 a draining server completes the call in flight", run: func(t *testing.T, w *world.World) {
		if err := w.AwaitWatch(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, s := range w.Servers {
			s.SetWork(400 * time.Millisecond)
		}
		done := make(chan struct{})
		go func() { defer close(done); call(t, w, "order", callTimeout, lab.Served) }()
		waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
		for _, s := range w.Servers {
			e := s.Entry
			e.State = membership.Draining
			w.Ledger.NotifiedDraining(e.ID, time.Now())
			w.Discovery.Set(e)
		}
		<-done
	}},
	{name: "4 a warming server is not overloaded", run: func(t *testing.T, w *world.World) {
		if err := w.AwaitWatch(t.Context()); err != nil {
			t.Fatal(err)
		}
		// Four clients send as fast as they are answered. An even share of that is several times the capacity
		// that the ledger permits during the slow start.
		const capacity = 60
		startedAt := time.Now()
		e := w.Servers[0].Entry
		e.StartedMs = float64(startedAt.UnixMilli())
		w.Ledger.Started(e.ID, startedAt, capacity)
		w.Discovery.Set(e)
		for _, s := range w.Servers {
			s.SetWork(5 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // until the agent has the update
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() {
				c, err := w.Dial()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				for time.Since(startedAt) < time.Second {
					r := w.Request("order", callTimeout)
					r.Key = r.Op
					if a, err := w.CallOn(c, r); err != nil || a.Outcome == lab.Failed {
						t.Errorf("answer %+v, error %v", a, err)
						return
					}
				}
			})
		}
		clients.Wait()
		if w.Servers[1].RequestCount() < 2*capacity {
			t.Skipf("this host is too slow to overload a server: it got %d requests", w.Servers[1].RequestCount())
		}
		t.Logf("calls begun: %d at the server in slow start, %d at another", w.Servers[0].RequestCount(), w.Servers[1].RequestCount())
	}},
}

// testNothingNewAfter drains or removes two servers, and checks that no call is sent to them from 250 ms
// later on.
func testNothingNewAfter(t *testing.T, w *world.World, drain func(*world.Server)) {
	if err := w.AwaitWatch(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		call(t, w, "order", callTimeout, lab.Served)
	}
	draining := w.Servers[:2]
	for _, s := range draining {
		w.Ledger.NotifiedDraining(s.Entry.ID, time.Now())
		drain(s)
	}
	time.Sleep(250 * time.Millisecond)
	n := draining[0].RequestCount() + draining[1].RequestCount()
	for range 20 {
		call(t, w, "order", callTimeout, lab.Served)
	}
	if got := draining[0].RequestCount() + draining[1].RequestCount() - n; got != 0 {
		t.Errorf("%d calls to servers that drain or are removed", got)
	}
}
