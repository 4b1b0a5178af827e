package downstream_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// clientRules test pipelining, disconnecting clients and graceful shutdown.
var clientRules = []rule{
	{name: "pipelined calls are answered in order", run: func(t *testing.T, w *world.World) {
		for i, s := range w.Servers {
			s.SetWork(time.Duration(1+5*i) * time.Millisecond)
		}
		c := dial(t, w)
		var sent []*world.Request
		var all []byte
		for range 20 {
			r := w.Request("order", waitTimeout)
			w.Ledger.AttemptStarted(r.Op, r.Effect, r.Op, time.Now().Add(r.Timeout))
			sent, all = append(sent, r), append(all, w.Protocol.Encode(r)...)
		}
		go c.Write(all)
		for _, r := range sent {
			if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Served {
				t.Fatalf("answer %+v, error %v", a, err)
			}
		}
	}},
	{name: "a client that disconnects", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Silent)
		c := dial(t, w)
		r := w.Request("order", callTimeout)
		if err := w.Send(c, r); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
		c.Close()
		// Records in the ledger that the client has disconnected and expects no answer.
		w.Ledger.Answered(r.Op, lab.Failed, time.Now())
		waitFor(t, "the disconnect is not detected", func() bool { return w.Stats().Disconnected == 1 })
	}},
	{name: "a client that disconnects after pipelined calls", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Silent)
		c := dial(t, w)
		r := w.Request("order", callTimeout)
		if err := w.Send(c, r); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
		for range 2 { // complete calls, which must not be handled
			c.Write(w.Protocol.Encode(w.Request("order", callTimeout)))
		}
		disconnectedAt := time.Now()
		c.Close()
		// Records in the ledger that the client has disconnected and expects no answer.
		w.Ledger.Answered(r.Op, lab.Failed, time.Now())
		waitFor(t, "the disconnect is not detected", func() bool { f := w.Stats(); return f.Disconnected+f.Failed == 1 })
		if f := w.Stats(); f.Disconnected != 1 || f.Accepted != 1 {
			t.Errorf("detected only at its deadline, %v later: %+v", time.Since(disconnectedAt), f)
		}
		if n := w.RequestCount(); n != 1 {
			t.Errorf("%d calls were forwarded", n)
		}
	}},
	{name: "a truncated call is never forwarded", run: func(t *testing.T, w *world.World) {
		message := w.Protocol.Encode(w.Request("order", callTimeout))
		for _, n := range []int{1, 3, 5, len(message) / 2, len(message) - 1} {
			c := dial(t, w)
			c.Write(message[:n])
			c.Conn.(*net.TCPConn).CloseWrite()
			b, err := io.ReadAll(c.Conn)
			if err != nil || strings.HasPrefix(string(b), "HTTP/1.1 2") || w.Protocol.Thrift() && len(b) > 0 {
				t.Errorf("truncated at %d: answered %x, %v", n, b, err)
			}
		}
		if n := w.RequestCount(); n != 0 {
			t.Errorf("%d calls were forwarded", n)
		}
	}},
	{name: "a graceful shutdown waits for open calls", run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers {
			s.SetWork(300 * time.Millisecond)
		}
		done := make(chan struct{})
		go func() { defer close(done); call(t, w, "order", callTimeout, lab.Served) }()
		waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
		w.Stop()
		<-done
	}},
}
