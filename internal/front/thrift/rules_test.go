package thrift

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/policy"
)

// patience bounds every wait of the tests; none of them needs more than a part of it.
const patience = 20 * time.Second

var testClasses = []policy.Class{
	{Name: "read", AimMs: 1000, GiveUpMs: 2000, Effect: policy.Free, Credit: 1},
	{Name: "send", AimMs: 1000, GiveUpMs: 2000, Effect: policy.Guarded, Group: policy.GroupAll, KeyTTLMs: 8000, Credit: 2},
	{Name: "order", AimMs: 1000, GiveUpMs: 2000, Effect: policy.SingleShot, Credit: 5}}

func testTable(t *testing.T, unlisted string) *Table {
	t.Helper()
	c := &Config{Listen: "127.0.0.1:1", FrameLimit: 1 << 20, DepthLimit: 32, Unlisted: unlisted, Class: "order"}
	for _, name := range []string{"read", "send", "order"} {
		m := MethodConfig{Name: name, Class: name, Key: "1.3", Deadline: "1.4"}
		m.NeverRan.Exceptions = []int16{2}
		c.Method = append(c.Method, m)
	}
	c.Method = append(c.Method, MethodConfig{Name: "tell", Class: "order", Oneway: true})
	table, err := c.Table(testClasses)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// world is a front with the core behind it, stand-in servers and a ledger.
type world struct {
	t       *testing.T
	enc     thriftlab.Encoding
	addr    string
	front   *Front
	loop    *core.Loop
	ledger  *lab.Ledger
	roster  *lab.Roster
	servers []*thriftlab.Server
	pool    *conns.Pool
	budget  *semaphore.Weighted
	stop    func()
}

func newWorld(t *testing.T, enc thriftlab.Encoding, servers int) *world {
	t.Helper()
	w := &world{t: t, enc: enc, ledger: lab.NewLedger(lab.DefaultRules())}
	var entries []membership.Entry
	for i := range servers {
		s, err := thriftlab.NewServer(fmt.Sprint("s-", i), enc, w.ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.servers, entries = append(w.servers, s), append(entries, s.Entry)
	}
	w.start(entries)
	return w
}

// start starts the core and the front before servers.
func (w *world) start(entries []membership.Entry) {
	t := w.t
	t.Helper()
	w.budget, w.pool = semaphore.NewWeighted(1<<20), conns.New(time.Second, time.Minute, 64)
	var err error
	if w.roster, err = lab.NewRoster(entries...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.roster.Close)
	limits := thriftwire.Limits{Size: 1 << 20, Depth: 32}
	up := &upstream.Upstream{Pool: w.pool, Budget: w.budget, Limits: limits}
	ctx, cancel := context.WithCancel(context.Background())
	w.loop, err = core.New(ctx, core.Config{Discovery: w.roster.Addr, Seed: 7, Known: w.roster.List(), Zones: []string{"east"},
		Settings: policy.Settings{Classes: testClasses, Limits: policy.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 600, OpenCap: 1000},
			Contract:   policy.Contract{AskWithinMs: 800, ColdFrom: 0.3, ColdMs: 8000, DrainGraceMs: 250, FallMultiple: 2.5, TipAfterMs: 1000},
			Membership: "on_request", Replicas: 1, RoundMs: 5}}, w.budget, []core.Upstream{up}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); w.loop.Run() }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.addr = ln.Addr().String()
	w.front = &Front{Loop: w.loop, Upstream: up, Budget: w.budget, Table: testTable(t, "unsafe"), Limits: limits, Most: 64, AfterMs: 600, Linger: 10 * time.Millisecond}
	served := make(chan error, 1)
	go func() { served <- w.front.Serve(ln) }()
	var once atomic.Bool
	w.stop = func() {
		if !once.Swap(true) {
			w.front.Shutdown(ln, 3*time.Second)
			if err := <-served; err != nil {
				t.Error(err)
			}
			cancel()
			<-ended
		}
	}
	t.Cleanup(w.stop)
}

var lastOp atomic.Int64

var effects = map[string]lab.Effect{"read": lab.Safe, "send": lab.Keyed, "order": lab.Unsafe, "nobody": lab.Unsafe}

// call makes one call on a connection of its own and keeps the ledger's books.
func (w *world) call(method string, ms int32) (thriftlab.Placed, int32) {
	w.t.Helper()
	c, err := thriftlab.Dial(w.addr, w.enc, patience)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	return w.callOn(c, method, ms)
}

func (w *world) callOn(c *thriftlab.Client, method string, ms int32) (thriftlab.Placed, int32) {
	w.t.Helper()
	op := fmt.Sprint(method, "-", lastOp.Add(1))
	w.ledger.Asked(op, effects[method], op, time.Now().Add(time.Duration(ms)*time.Millisecond))
	r, code, err := c.Place(method, &thriftlab.Order{Op: op, Key: "key", Ms: ms, Lines: []string{"a", "b"}})
	v := lab.Failed
	switch {
	case err == nil:
		v = lab.Served
		if r.Declared == 0 && !strings.HasSuffix(r.Receipt, " "+op) {
			w.t.Errorf("the answer to %s is %q", op, r.Receipt)
		}
	case code == Refused:
		v = lab.Refused
		if !strings.Contains(err.Error(), "come back after 600 ms") {
			w.t.Errorf("refused with %q", err)
		}
	case code < 0:
		w.t.Errorf("no answer: %v", err)
		w.ledger.Unanswered(op)
		return r, code
	}
	w.ledger.Answered(op, v, time.Now())
	return r, code
}

func (w *world) set(m thriftlab.Mode) {
	for _, s := range w.servers {
		s.Set(m)
	}
}

func (w *world) calls() (n int64) {
	for _, s := range w.servers {
		n += s.Calls.Load()
	}
	return n
}

// rules are the rule tests; each runs once per encoding.
var rules = map[string]func(*testing.T, *world){
	"1 served, failed and refused calls have one answer": func(t *testing.T, w *world) {
		if _, code := w.call("order", 2000); code != -1 {
			t.Errorf("served with %d", code)
		}
		w.set(thriftlab.Raising)
		if _, code := w.call("order", 2000); code != Failed {
			t.Errorf("raised: %d", code)
		}
		w.set(thriftlab.Full)
		if _, code := w.call("order", 2000); code != Refused {
			t.Errorf("full: %d", code)
		}
	},
	"1 a silent server: answered before the client's time is over": func(t *testing.T, w *world) {
		w.set(thriftlab.Silent)
		from := time.Now()
		if _, code := w.call("order", 400); code != Failed && code != Expired {
			t.Errorf("answered %d", code)
		}
		if took := time.Since(from); took > 420*time.Millisecond {
			t.Errorf("took %v of 400 ms", took)
		}
	},
	"1 half a reply and silence": func(t *testing.T, w *world) {
		w.set(thriftlab.Half)
		if _, code := w.call("order", 400); code != Failed && code != Expired {
			t.Errorf("answered %d", code)
		}
	},
	"1 a reply one byte at a time": func(t *testing.T, w *world) {
		w.set(thriftlab.Slow)
		if _, code := w.call("order", 2000); code != -1 {
			t.Errorf("answered %d", code)
		}
	},
	"2 unsafe: not again after a reset, an exception or a spoilt reply": func(t *testing.T, w *world) {
		for _, m := range []thriftlab.Mode{thriftlab.Breaking, thriftlab.Raising, thriftlab.WrongSeq, thriftlab.OtherName, thriftlab.NotThrift} {
			w.set(m)
			n := w.calls()
			if _, code := w.call("order", 2000); code != Failed {
				t.Errorf("mode %d: answered %d", m, code)
			}
			if got := w.calls() - n; got != 1 {
				t.Errorf("mode %d: %d attempts", m, got)
			}
		}
		// Whatever came on a connection, the next call has its own answer.
		w.set(thriftlab.Serving)
		for range 5 {
			w.call("read", 2000)
		}
	},
	"2 unsafe: again where it never ran": func(t *testing.T, w *world) {
		for _, s := range w.servers[1:] {
			s.Close() // connections are refused
		}
		w.servers[0].Set(thriftlab.Serving)
		for range 6 {
			if _, code := w.call("order", 2000); code != -1 {
				t.Errorf("answered %d", code)
			}
		}
	},
	"2 keyed and safe: again after a reset": func(t *testing.T, w *world) {
		w.set(thriftlab.Breaking)
		for _, method := range []string{"send", "read"} {
			n := w.calls()
			w.call(method, 2000)
			if got := w.calls() - n; got < 2 || got > 3 {
				t.Errorf("%s: %d attempts", method, got)
			}
		}
	},
	"2 answers twice: the second is nobody's": func(t *testing.T, w *world) {
		w.set(thriftlab.Twice)
		for range 4 {
			w.call("read", 2000) // the receipt is checked
		}
	},
	"2 a declared exception is an answer": func(t *testing.T, w *world) {
		w.front.Table.methods["order"].neverRan.Exceptions = nil
		w.set(thriftlab.Declaring)
		if r, code := w.call("order", 2000); code != -1 || r.Declared != 2 || r.Text != "full" {
			t.Errorf("answered %+v, %d", r, code)
		}
	},
	"3 nothing new to a server that drains": func(t *testing.T, w *world) {
		select {
		case <-w.roster.Asked:
		case <-time.After(patience):
			t.Fatal("the roster is not followed")
		}
		for range 10 {
			w.call("order", 2000)
		}
		for _, s := range w.servers[:2] {
			e := s.Entry
			e.State = membership.Draining
			w.ledger.Told(s.ID, time.Now())
			w.roster.Set(e)
		}
		time.Sleep(250 * time.Millisecond)
		n := w.servers[0].Calls.Load() + w.servers[1].Calls.Load()
		for range 20 {
			if _, code := w.call("order", 2000); code != -1 {
				t.Errorf("answered %d", code)
			}
		}
		if got := w.servers[0].Calls.Load() + w.servers[1].Calls.Load() - n; got != 0 {
			t.Errorf("%d calls to servers that drain", got)
		}
	},
	"oneway: taken, never answered, never twice": func(t *testing.T, w *world) {
		c, err := thriftlab.Dial(w.addr, w.enc, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for i := range 10 {
			op := fmt.Sprint("tell-", lastOp.Add(1))
			w.ledger.Asked(op, lab.Unsafe, op, time.Now().Add(2*time.Second))
			if err := c.Tell("order", &thriftlab.Order{Op: op, Key: "key"}); err != nil {
				t.Fatal(err)
			}
			// A call with an answer on the same connection: it is that call's.
			if _, code := w.callOn(c, "order", 2000); code != -1 {
				t.Errorf("call %d answered %d", i, code)
			}
			for end := time.Now().Add(patience); w.calls() < int64(2*(i+1)) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			w.ledger.Answered(op, lab.Failed, time.Now()) // nobody answers a oneway call: it promises nothing
		}
		if n := w.calls(); n != 20 {
			t.Errorf("%d calls came, want 20", n)
		}
	},
	"oneway that is sent as a call, as the Go library does": func(t *testing.T, w *world) {
		c, err := thriftlab.Dial(w.addr, w.enc, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for i := range 5 {
			op := fmt.Sprint("tell-", lastOp.Add(1))
			w.ledger.Asked(op, lab.Unsafe, op, time.Now().Add(2*time.Second))
			if err := c.TellAsCall("tell", &thriftlab.Order{Op: op, Key: "key"}); err != nil {
				t.Fatal(err)
			}
			if _, code := w.callOn(c, "order", 2000); code != -1 {
				t.Errorf("call %d answered %d", i, code)
			}
			for end := time.Now().Add(patience); w.calls() < int64(2*(i+1)) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			w.ledger.Answered(op, lab.Failed, time.Now())
		}
	},
	"calls sent ahead are answered in their order": func(t *testing.T, w *world) {
		w.servers[0].Work, w.servers[1].Work, w.servers[2].Work = time.Millisecond, 5*time.Millisecond, 10*time.Millisecond
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		var all []byte
		for i := range 20 {
			all = append(all, w.raw(thriftwire.Call, "order", int32(1000+i))...)
		}
		go c.Write(all)
		for i := range 20 {
			if head := w.readReply(c); head.Seq != int32(1000+i) || head.Kind != thriftwire.Reply {
				t.Fatalf("answer %d: %+v", i, head)
			}
		}
	},
	"a client that leaves": func(t *testing.T, w *world) {
		w.set(thriftlab.Silent)
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(w.raw(thriftwire.Call, "order", 1))
		for end := time.Now().Add(patience); w.calls() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		c.Close()
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			got := make(chan core.Figures, 1)
			w.loop.Post(func() { got <- w.loop.Figures() })
			if f := <-got; f.Gone == 1 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("nobody noticed")
			}
		}
	},
	"a call cut off in the midst never goes out": func(t *testing.T, w *world) {
		whole := w.raw(thriftwire.Call, "order", 1)
		for _, n := range []int{1, 3, 5, len(whole) / 2, len(whole) - 1} {
			c, err := net.Dial("tcp", w.addr)
			if err != nil {
				t.Fatal(err)
			}
			c.Write(whole[:n])
			c.(*net.TCPConn).CloseWrite()
			c.SetDeadline(time.Now().Add(patience))
			if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
				t.Errorf("cut at %d: answered %x, %v", n, b, err)
			}
			c.Close()
		}
		if n := w.calls(); n != 0 {
			t.Errorf("%d calls went out", n)
		}
	},
	"a REPLY that is sent as a call": func(t *testing.T, w *world) {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		c.Write(w.raw(thriftwire.Reply, "order", 5))
		if head := w.readReply(c); head.Kind != thriftwire.Exception || head.Seq != 5 || int32(head.Fields[0].Int) != Kind {
			t.Errorf("answered %+v", head)
		}
		if n := w.calls(); n != 0 {
			t.Errorf("%d calls went out", n)
		}
	},
	"an unlisted method is unsafe": func(t *testing.T, w *world) {
		w.set(thriftlab.Breaking)
		n := w.calls()
		if _, code := w.call("nobody", 2000); code != Failed || w.calls()-n != 1 {
			t.Errorf("answered %d, %d attempts", code, w.calls()-n)
		}
	},
	"an unlisted method that is refused": func(t *testing.T, w *world) {
		w.front.Table.rest = nil
		if _, code := w.call("nobody", 2000); code != Unknown || w.calls() != 0 {
			t.Errorf("answered %d, %d attempts", code, w.calls())
		}
	},
	"the end waits for open calls": func(t *testing.T, w *world) {
		for _, s := range w.servers {
			s.Work = 300 * time.Millisecond
		}
		c, err := thriftlab.Dial(w.addr, w.enc, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		done := make(chan int32, 1)
		go func() {
			_, code := w.callOn(c, "order", 2000)
			done <- code
		}()
		for end := time.Now().Add(patience); w.calls() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		w.stop()
		if code := <-done; code != -1 {
			t.Errorf("answered %d", code)
		}
	},
}

// raw is a message of a method with empty arguments, as it stands on the connection.
func (w *world) raw(kind thriftwire.Kind, method string, seq int32) []byte {
	p := thriftwire.Binary
	switch {
	case strings.HasSuffix(w.enc.Name, "compact"):
		p = thriftwire.Compact
	case strings.HasSuffix(w.enc.Name, "old binary"):
		p = thriftwire.OldBinary
	}
	msg := append(thriftwire.AppendHeader(nil, p, kind, []byte(method), seq), 0)
	if w.enc.Framed {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(msg))), msg...)
	}
	return msg
}

// readReply reads one reply, byte by byte.
func (w *world) readReply(c net.Conn) thriftwire.Message {
	w.t.Helper()
	if w.enc.Framed {
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			w.t.Fatal(err)
		}
	}
	r := thriftwire.NewReader(thriftwire.Limits{}, thriftwire.Path{2})
	var msg []byte
	for {
		var one [1]byte
		if _, err := io.ReadFull(c, one[:]); err != nil {
			w.t.Fatal(err)
		}
		msg = append(msg, one[0])
		ok, err := r.Read(msg)
		if err != nil {
			w.t.Fatal(err)
		}
		if ok {
			return r.Message
		}
	}
}

// TestRules runs every rule once per encoding and prints the table.
func TestRules(t *testing.T) {
	for _, enc := range thriftlab.Encodings() {
		for name, rule := range rules {
			t.Run(enc.Name+"/"+name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, enc, 3)
				rule(t, w)
				w.stop()
				if broken, words := w.ledger.Breaches(time.Now().Add(time.Hour)); len(broken) > 0 {
					t.Errorf("rules broken %v: %q", broken, words)
				}
				if !w.budget.TryAcquire(1 << 20) {
					t.Error("memory of the budget is not given back")
				}
			})
		}
	}
}

// Who speaks something else is told so, or let go, and nobody else notices.
func TestOtherClients(t *testing.T) {
	w := newWorld(t, thriftlab.Encodings()[0], 1)
	for text, want := range map[string]string{"GET / HTTP/1.1\r\n\r\n": "HTTP/1.1 400", "\x00\x00\x00\x20\x0f\xff\x00\x00": "",
		"\x00\x00\x00\x00\x80\x01\x00\x01": "", "\x7f\xff\xff\xff\x80\x01\x00\x01": "", "\xff\xff\xff\xff\x80\x01": "", "HELO there": ""} {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, text)
		if b, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(b), want) || want == "" && len(b) > 0 {
			t.Errorf("%q: answered %q, %v", text, b, err)
		}
		c.Close()
	}
	if _, code := w.call("order", 2000); code != -1 {
		t.Errorf("answered %d", code)
	}
}
