package downstream_test

import (
	"encoding/binary"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// thriftRules test what is specific to Thrift.
var thriftRules = []rule{
	{name: "equal sequence ids of two clients", thrift: true, run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers {
			s.SetWork(20 * time.Millisecond)
		}
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() {
				c, err := w.Dial()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				for i := range int32(5) {
					r := w.Request("order", callTimeout)
					r.Seq = i
					if a, err := w.CallOn(c, r); err != nil || a.Outcome != lab.Served {
						t.Errorf("answer %+v, error %v", a, err)
					}
				}
			})
		}
		clients.Wait()
	}},
	{name: "a declared exception is an answer", thrift: true, run: func(t *testing.T, w *world.World) {
		w.Set(lab.DeclaredException)
		if a := call(t, w, "stamp", callTimeout, lab.Served); a.ExceptionID != 2 || a.Text != "full" {
			t.Errorf("answered with %+v", a)
		}
	}},
	{name: "one-way: forwarded once and never answered", thrift: true, run: testOneWay(thriftlab.Oneway, "order")},
	{name: "one-way that is sent as a call, as by the Go library", thrift: true, run: testOneWay(thriftlab.OnewayAsCall, "tell")},
	{name: "one-way: retry where the last byte was not sent", thrift: true, run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers[1:] {
			s.Close()
		}
		c := dial(t, w)
		for i := range int64(6) {
			r := w.Request("order", callTimeout)
			r.Kind = thriftlab.Oneway
			if err := w.Send(c, r); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "a one-way call is lost", func() bool { return w.RequestCount() == i+1 })
			w.Ledger.Answered(r.Op, lab.Failed, time.Now())
		}
	}},
	{name: "a message of type REPLY", thrift: true, run: func(t *testing.T, w *world.World) {
		c, r := dial(t, w), w.Request("order", callTimeout)
		r.Kind = thriftlab.Reply
		c.Write(w.Protocol.Encode(r))
		if a, err := c.Read(); err != nil || a.Code != thrift.CodeInvalidMessageType || a.Seq != r.Seq || w.RequestCount() != 0 {
			t.Errorf("answer %+v, error %v; %d calls were forwarded", a, err, w.RequestCount())
		}
	}},
	{name: "the error of a malformed call speaks of a call", thrift: true, run: func(t *testing.T, w *world.World) {
		c, r := dial(t, w), w.Request("order", callTimeout)
		r.Key = "marker" // its position shows where the next field begins
		b := w.Protocol.Encode(r)
		i := strings.LastIndex(string(b), "marker")
		// The type of the field that follows the key becomes invalid.
		b[i+len("marker")] = 0x7f
		c.Write(b)
		a, err := c.Read()
		if err != nil || a.Code != thrift.CodeMalformed || a.Seq != r.Seq || strings.Contains(a.Text, "reply") || !strings.Contains(a.Text, "call") {
			t.Errorf("answer %+v, error %v", a, err)
		}
		if w.RequestCount() != 0 {
			t.Errorf("%d calls were forwarded", w.RequestCount())
		}
	}},
	{name: "a frame longer or shorter than its message", thrift: true, run: func(t *testing.T, w *world.World) {
		if !w.Protocol.Encoding.Framed {
			t.Skip("there are no frames")
		}
		for _, more := range []int{1, -1, -4} {
			c, r := dial(t, w), w.Request("order", callTimeout)
			b := append(w.Protocol.Encode(r), 0, 0)
			binary.BigEndian.PutUint32(b, uint32(len(b)-2-4+more))
			c.Write(b)
			if a, err := c.Read(); err != nil || a.Code != thrift.CodeMalformed || a.Seq != r.Seq {
				t.Errorf("%+d bytes: answer %+v, error %v", more, a, err)
			}
			if _, err := c.Read(); err == nil {
				t.Errorf("%+d bytes: the connection stays open", more)
			}
		}
		if n := w.RequestCount(); n != 0 {
			t.Errorf("%d calls were forwarded", n)
		}
	}},
	{name: "an unlisted method is not idempotent", thrift: true, run: func(t *testing.T, w *world.World) {
		w.Set(lab.ResetAfterRun)
		if call(t, w, "nobody", callTimeout, lab.Failed); w.RequestCount() != 1 {
			t.Errorf("%d attempts, want 1", w.RequestCount())
		}
	}},
	{name: "an unlisted method that is rejected", thrift: true, opts: world.Options{RejectUnlisted: true}, run: func(t *testing.T, w *world.World) {
		if a := call(t, w, "nobody", callTimeout, lab.Failed); a.Code != thrift.CodeUnknownMethod || w.RequestCount() != 0 {
			t.Errorf("answer %+v after %d attempts", a, w.RequestCount())
		}
	}},
}

// testOneWay sends one-way calls, each followed by a call with an answer on the same connection.
func testOneWay(kind thriftlab.Kind, method string) func(*testing.T, *world.World) {
	return func(t *testing.T, w *world.World) {
		c := dial(t, w)
		for i := range int64(10) {
			r := w.Request(method, callTimeout)
			r.Kind = kind
			if err := w.Send(c, r); err != nil {
				t.Fatal(err)
			}
			// The next answer belongs to the next call.
			if a, err := w.CallOn(c, w.Request("order", callTimeout)); err != nil || a.Outcome != lab.Served {
				t.Errorf("call %d: answer %+v, error %v", i, a, err)
			}
			waitFor(t, "a one-way call is lost", func() bool { return w.RequestCount() >= 2*(i+1) })
			w.Ledger.Answered(r.Op, lab.Failed, time.Now()) // for the ledger, as a one-way call has no answer
		}
		if n := w.RequestCount(); n != 20 {
			t.Errorf("%d calls arrived, want 20", n)
		}
	}
}
