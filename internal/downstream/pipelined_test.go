package downstream_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// pipelinedCalls is more than a connection reads ahead.
const pipelinedCalls = 40

// sendAll sends requests at once and records them in the ledger.
func sendAll(t *testing.T, w *world.World, c *world.Client, requests ...*world.Request) {
	t.Helper()
	var all []byte
	for _, r := range requests {
		w.Ledger.AttemptStarted(r.Op, r.Effect, r.Op, time.Now().Add(r.Timeout))
		all = append(all, w.Protocol.Encode(r)...)
	}
	if _, err := c.Write(all); err != nil {
		t.Fatal(err)
	}
}

// Calls that arrived behind an open one when a shutdown begins get an answer each; none is lost with its
// connection.
func TestCallsBehindAnOpenOneAreAnsweredAtShutdown(t *testing.T) {
	for _, p := range world.Protocols() {
		t.Run(p.Name, func(t *testing.T) {
			w, err := world.New(p, world.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			w.Set(lab.Silent)
			c, open := dial(t, w), w.Request("order", callTimeout)
			if err := w.Send(c, open); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "no call arrived", func() bool { return w.RequestCount() == 1 })
			var behind []*world.Request
			for range pipelinedCalls {
				behind = append(behind, w.Request("order", callTimeout))
			}
			sendAll(t, w, c, behind...)
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			waitForClosedListener(t, w)
			for _, s := range w.Servers {
				s.ResetConnections()
			}
			if a, err := w.Receive(c, open); err != nil || a.Outcome != lab.Failed {
				t.Errorf("the open call: answer %+v, error %v", a, err)
			}
			for i, r := range behind {
				if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Rejected {
					t.Fatalf("call %d behind it: answer %+v, error %v", i, a, err)
				}
			}
			if _, err := c.Conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("behind the last answer: %v, want the end of the connection", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
			if n := w.RequestCount(); n != 1 {
				t.Errorf("%d calls were forwarded, want 1", n)
			}
		})
	}
}

// A call behind one-way calls, which have no reply, is served when a shutdown begins before they were forwarded.
func TestCallBehindOneWayCallsIsServedAtShutdown(t *testing.T) {
	for _, p := range world.Protocols() {
		if !p.Thrift() {
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			w, err := world.New(p, world.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			c := dial(t, w)
			if a, err := w.CallOn(c, w.Request("order", callTimeout)); err != nil || a.Outcome != lab.Served {
				t.Fatalf("answer %+v, error %v", a, err)
			}
			held := make(chan struct{})
			w.Loop.Post(func() { <-held }) // nothing is forwarded meanwhile
			const oneWayCalls = 14
			var requests []*world.Request
			for range oneWayCalls {
				r := w.Request("order", callTimeout)
				r.Kind = thriftlab.Oneway
				requests = append(requests, r)
			}
			wanted := w.Request("order", callTimeout)
			sendAll(t, w, c, append(requests, wanted)...)
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			waitForClosedListener(t, w)
			close(held)
			if a, err := w.Receive(c, wanted); err != nil || a.Outcome != lab.Served {
				t.Errorf("answer %+v, error %v", a, err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
			for _, r := range requests {
				w.Ledger.Answered(r.Op, lab.Failed, time.Now()) // for the ledger, as a one-way call has no answer
			}
			if n := w.RequestCount(); n != oneWayCalls+2 {
				t.Errorf("%d calls were forwarded, want %d", n, oneWayCalls+2)
			}
		})
	}
}

// An open call is answered although what its client sends next can't be read, or there is no memory for it.
func TestOpenCallOutlivesAnUnreadableOne(t *testing.T) {
	for _, p := range world.Protocols() {
		for name, next := range map[string]func(w *world.World) string{
			"noise": func(*world.World) string { return strings.Repeat("\x00\xff noise", 100) },
			"no memory": func(w *world.World) string {
				w.TakeBodyMemory()
				r := w.Request("order", callTimeout)
				r.Key = strings.Repeat("x", 64<<10)
				return string(p.Encode(r))
			},
		} {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				w, err := world.New(p, world.Options{})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				for _, s := range w.Servers {
					s.SetWork(100 * time.Millisecond)
				}
				c, r := dial(t, w), w.Request("order", callTimeout)
				if err := w.Send(c, r); err != nil {
					t.Fatal(err)
				}
				waitFor(t, "no call arrived", func() bool { return w.RequestCount() == 1 })
				io.WriteString(c.Conn, next(w))
				if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Served {
					t.Errorf("answer %+v, error %v", a, err)
				}
				c.Conn.(*net.TCPConn).CloseWrite()
				if _, err := io.ReadAll(c.Conn); err != nil {
					t.Errorf("behind the answer: %v", err)
				}
				if n := w.RequestCount(); n != 1 {
					t.Errorf("%d calls were forwarded, want 1", n)
				}
			})
		}
	}
}
