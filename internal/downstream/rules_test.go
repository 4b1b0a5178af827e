// Package front_test is the one table of rule tests: each runs in every protocol that the agent speaks,
// unchanged, on the core with that protocol's front, upstream and stand-in servers.
package front_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/membership"
)

// patience bounds every wait of the tests; none of them needs more than a part of it.
const patience = 20 * time.Second

// rule is one line of the table.
type rule struct {
	name   string
	thrift bool // HTTP has no such thing
	opts   world.Options
	run    func(*testing.T, *world.World)
	timed  func(*world.World) (late, wrong error) // in place of run: it holds answers to real time, see calmly
}

const (
	// calmGap is the most that a goroutine that sleeps 1 ms at a time may be late while an answer is held to its time, and
	// calmTries how often a rule is tried at most until it is not.
	calmGap   = 10 * time.Millisecond
	calmTries = 6
)

// calmly tries what holds answers to real time until the machine did not stand still meanwhile, which a goroutine that
// only sleeps tells; it knows nothing of the answers. Only what came late is tried again, nothing else that is wrong, and
// the last try counts whatever the machine did.
func calmly(try func() (late, wrong error)) (late, wrong error) {
	for range calmTries {
		stop, gap := make(chan struct{}), make(chan time.Duration)
		go func() {
			most, last := time.Duration(0), time.Now()
			for {
				time.Sleep(time.Millisecond)
				now := time.Now()
				most, last = max(most, now.Sub(last)), now
				select {
				case <-stop:
					gap <- most
					return
				default:
				}
			}
		}()
		late, wrong = try()
		close(stop)
		if <-gap <= calmGap || wrong != nil {
			break
		}
	}
	return late, wrong
}

// failedIn is a call to servers that do this, which is to be answered as failed within its time.
func failedIn(within time.Duration, m lab.Mode) func(*world.World) (late, wrong error) {
	return func(w *world.World) (late, wrong error) {
		w.Set(m)
		from := time.Now()
		a, wrong := w.Call("order", within)
		if took := time.Since(from); took > within+20*time.Millisecond {
			late = fmt.Errorf("took %v of %v", took, within)
		}
		if wrong == nil && a.Verdict != lab.Failed {
			wrong = fmt.Errorf("answered %+v, want %v", a, lab.Failed)
		}
		return late, wrong
	}
}

// call makes one call and wants one of these verdicts.
func call(t *testing.T, w *world.World, method string, within time.Duration, want ...lab.Verdict) world.Answer {
	t.Helper()
	a, err := w.Call(method, within)
	if err != nil {
		t.Errorf("%s: %v", method, err)
	} else if !slices.Contains(want, a.Verdict) {
		t.Errorf("%s: answered %+v, want %v", method, a, want)
	}
	return a
}

// until waits for something.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func dial(t *testing.T, w *world.World) *world.Client {
	t.Helper()
	c, err := w.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

const long = 2 * time.Second

var rules = []rule{
	{name: "1 served, failed and refused have one answer each", run: func(t *testing.T, w *world.World) {
		call(t, w, "order", long, lab.Served)
		w.Set(lab.Failing)
		call(t, w, "order", long, lab.Failed)
		w.Set(lab.Full)
		if a := call(t, w, "order", long, lab.Refused); a.After != 600*time.Millisecond {
			t.Errorf("to come back after %v", a.After)
		}
	}},
	{name: "1 a silent server: answered within the time", timed: failedIn(400*time.Millisecond, lab.Silent)},
	{name: "1 half a reply and silence", timed: failedIn(400*time.Millisecond, lab.Half)},
	{name: "1 a reply one byte at a time", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Slow)
		call(t, w, "order", long, lab.Served)
	}},
	{name: "1 a deadline that ends while the reply comes", timed: failedIn(300*time.Millisecond, lab.Trickle)},
	{name: "2 unsafe: never again after it may have run", run: func(t *testing.T, w *world.World) {
		modes := []lab.Mode{lab.Breaking, lab.Failing, lab.Foreign}
		if w.Protocol.Thrift() {
			modes = append(modes, lab.WrongSeq, lab.OtherName)
		}
		for _, m := range modes {
			w.Set(m)
			n := w.Begun()
			call(t, w, "order", long, lab.Failed)
			if got := w.Begun() - n; got != 1 {
				t.Errorf("mode %d: %d attempts", m, got)
			}
		}
		// Whatever came on a connection, the next call has its own answer.
		w.Set(lab.Serving)
		for range 5 {
			call(t, w, "read", long, lab.Served)
		}
	}},
	{name: "2 unsafe: again where it never ran", run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers[1:] {
			s.Close() // connections are refused
		}
		for range 6 {
			call(t, w, "order", long, lab.Served)
		}
	}},
	{name: "2 unsafe: again where it was turned away", run: func(t *testing.T, w *world.World) {
		w.Servers[0].Set(lab.Full)
		w.Servers[1].Set(lab.Full)
		for range 6 {
			call(t, w, "order", long, lab.Served)
		}
	}},
	{name: "2 keyed and safe: again after a reset", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Breaking)
		for _, method := range []string{"send", "read"} {
			n := w.Begun()
			call(t, w, method, long, lab.Refused, lab.Failed)
			if got := w.Begun() - n; got < 2 || got > 3 {
				t.Errorf("%s: %d attempts", method, got)
			}
		}
	}},
	{name: "2 answers twice: the second is nobody's", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Twice)
		for range 4 {
			call(t, w, "read", long, lab.Served) // the receipt is checked
		}
	}},
	{name: "3 nothing new to a server that drains", run: func(t *testing.T, w *world.World) {
		away(t, w, func(s *world.Server) {
			e := s.Entry
			e.State = membership.Draining
			w.Roster.Set(e)
		})
	}},
	{name: "3 nothing new to a server that is gone", run: func(t *testing.T, w *world.World) {
		away(t, w, func(s *world.Server) { w.Roster.Remove(s.Entry.ID) })
	}},
	{name: "3 a server that drains ends the call that it has", run: func(t *testing.T, w *world.World) {
		if err := w.Followed(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, s := range w.Servers {
			s.SetWork(400 * time.Millisecond)
		}
		done := make(chan struct{})
		go func() { defer close(done); call(t, w, "order", long, lab.Served) }()
		until(t, "no call came", func() bool { return w.Begun() > 0 })
		for _, s := range w.Servers {
			e := s.Entry
			e.State = membership.Draining
			w.Ledger.Told(e.ID, time.Now())
			w.Roster.Set(e)
		}
		<-done
	}},
	{name: "4 a cold server is not pushed over", run: func(t *testing.T, w *world.World) {
		if err := w.Followed(t.Context()); err != nil {
			t.Fatal(err)
		}
		// Four clients send as fast as they are answered; an even share would be several times what
		// the ledger allows.
		const capacity = 60
		from := time.Now()
		e := w.Servers[0].Entry
		e.StartedMs = float64(from.UnixMilli())
		w.Ledger.Started(e.ID, from, capacity)
		w.Roster.Set(e)
		for _, s := range w.Servers {
			s.SetWork(5 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // it is told
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() {
				c, err := w.Dial()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				for time.Since(from) < time.Second {
					r := w.Request("order", long)
					r.Key = r.Op
					if a, err := w.CallOn(c, r); err != nil || a.Verdict == lab.Failed {
						t.Errorf("%+v, %v", a, err)
						return
					}
				}
			})
		}
		clients.Wait()
		if w.Servers[1].Begun() < 2*capacity {
			t.Skipf("this machine is too slow to push anybody over: %d", w.Servers[1].Begun())
		}
		t.Logf("the cold one got %d, another %d", w.Servers[0].Begun(), w.Servers[1].Begun())
	}},
	{name: "calls sent ahead are answered in their order", run: func(t *testing.T, w *world.World) {
		for i, s := range w.Servers {
			s.SetWork(time.Duration(1+5*i) * time.Millisecond)
		}
		c := dial(t, w)
		var sent []*world.Request
		var all []byte
		for range 20 {
			r := w.Request("order", patience)
			w.Ledger.Asked(r.Op, r.Effect, r.Op, time.Now().Add(r.Within))
			sent, all = append(sent, r), append(all, w.Protocol.Encode(r)...)
		}
		go c.Write(all)
		for _, r := range sent {
			if a, err := w.Answered(c, r); err != nil || a.Verdict != lab.Served {
				t.Fatalf("%+v, %v", a, err)
			}
		}
	}},
	{name: "a client that leaves", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Silent)
		c := dial(t, w)
		r := w.Request("order", long)
		if err := w.Send(c, r); err != nil {
			t.Fatal(err)
		}
		until(t, "no call came", func() bool { return w.Begun() > 0 })
		c.Close()
		w.Ledger.Answered(r.Op, lab.Failed, time.Now()) // it left by itself
		until(t, "nobody noticed", func() bool { return w.Figures().Disconnected == 1 })
	}},
	{name: "a client that leaves behind what it sent ahead", run: func(t *testing.T, w *world.World) {
		w.Set(lab.Silent)
		c := dial(t, w)
		r := w.Request("order", long)
		if err := w.Send(c, r); err != nil {
			t.Fatal(err)
		}
		until(t, "no call came", func() bool { return w.Begun() > 0 })
		for range 2 { // whole calls, whose turn never comes
			c.Write(w.Protocol.Encode(w.Request("order", long)))
		}
		from := time.Now()
		c.Close()
		w.Ledger.Answered(r.Op, lab.Failed, time.Now()) // it left by itself
		until(t, "nobody noticed", func() bool { f := w.Figures(); return f.Disconnected+f.Failed == 1 })
		if f := w.Figures(); f.Disconnected != 1 || f.Accepted != 1 {
			t.Errorf("noticed only as its time was over, %v later: %+v", time.Since(from), f)
		}
		if n := w.Begun(); n != 1 {
			t.Errorf("%d calls were sent on", n)
		}
	}},
	{name: "a call cut off in the midst never goes out", run: func(t *testing.T, w *world.World) {
		whole := w.Protocol.Encode(w.Request("order", long))
		for _, n := range []int{1, 3, 5, len(whole) / 2, len(whole) - 1} {
			c := dial(t, w)
			c.Write(whole[:n])
			c.Conn.(*net.TCPConn).CloseWrite()
			b, err := io.ReadAll(c.Conn)
			if err != nil || strings.HasPrefix(string(b), "HTTP/1.1 2") || w.Protocol.Thrift() && len(b) > 0 {
				t.Errorf("cut at %d: answered %x, %v", n, b, err)
			}
		}
		if n := w.Begun(); n != 0 {
			t.Errorf("%d calls went out", n)
		}
	}},
	{name: "the end waits for open calls", run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers {
			s.SetWork(300 * time.Millisecond)
		}
		done := make(chan struct{})
		go func() { defer close(done); call(t, w, "order", long, lab.Served) }()
		until(t, "no call came", func() bool { return w.Begun() > 0 })
		w.Stop()
		<-done
	}},
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
					r := w.Request("order", long)
					r.Seq = i
					if a, err := w.CallOn(c, r); err != nil || a.Verdict != lab.Served {
						t.Errorf("%+v, %v", a, err)
					}
				}
			})
		}
		clients.Wait()
	}},
	{name: "a declared exception is an answer", thrift: true, run: func(t *testing.T, w *world.World) {
		w.Set(lab.Declaring)
		if a := call(t, w, "stamp", long, lab.Served); a.Declared != 2 || a.Text != "full" {
			t.Errorf("answered %+v", a)
		}
	}},
	{name: "oneway: taken, never answered, never twice", thrift: true, run: oneway(thriftlab.Oneway, "order")},
	{name: "oneway that is sent as a call, as the Go library does", thrift: true, run: oneway(thriftlab.OnewayAsCall, "tell")},
	{name: "oneway: again where the last byte never left", thrift: true, run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers[1:] {
			s.Close()
		}
		c := dial(t, w)
		for i := range int64(6) {
			r := w.Request("order", long)
			r.Kind = thriftlab.Oneway
			if err := w.Send(c, r); err != nil {
				t.Fatal(err)
			}
			until(t, "a oneway call is lost", func() bool { return w.Begun() == i+1 })
			w.Ledger.Answered(r.Op, lab.Failed, time.Now())
		}
	}},
	{name: "a REPLY that is sent as a call", thrift: true, run: func(t *testing.T, w *world.World) {
		c, r := dial(t, w), w.Request("order", long)
		r.Kind = thriftlab.Reply
		c.Write(w.Protocol.Encode(r))
		if a, err := c.Read(); err != nil || a.Code != thrift.CodeInvalidMessageType || a.Seq != r.Seq || w.Begun() != 0 {
			t.Errorf("answered %+v, %v; %d calls went out", a, err, w.Begun())
		}
	}},
	{name: "a call that can't be read is not called a reply", thrift: true, run: func(t *testing.T, w *world.World) {
		c, r := dial(t, w), w.Request("order", long)
		r.Key = "spoil" // its type in the header, in front of the length and the text, becomes none
		b := w.Protocol.Encode(r)
		i := strings.LastIndex(string(b), "spoil")
		// The type of the field behind the key.
		b[i+len("spoil")] = 0x7f
		c.Write(b)
		a, err := c.Read()
		if err != nil || a.Code != thrift.CodeMalformed || a.Seq != r.Seq || strings.Contains(a.Text, "reply") || !strings.Contains(a.Text, "call") {
			t.Errorf("answered %+v, %v", a, err)
		}
		if w.Begun() != 0 {
			t.Errorf("%d calls went out", w.Begun())
		}
	}},
	{name: "a frame longer or shorter than its message", thrift: true, run: func(t *testing.T, w *world.World) {
		if !w.Protocol.Encoding.Framed {
			t.Skip("there are no frames")
		}
		for _, more := range []int{1, -1, -4} {
			c, r := dial(t, w), w.Request("order", long)
			b := append(w.Protocol.Encode(r), 0, 0)
			binary.BigEndian.PutUint32(b, uint32(len(b)-2-4+more))
			c.Write(b)
			if a, err := c.Read(); err != nil || a.Code != thrift.CodeMalformed || a.Seq != r.Seq {
				t.Errorf("%+d bytes: answered %+v, %v", more, a, err)
			}
			if _, err := c.Read(); err == nil {
				t.Errorf("%+d bytes: the connection is kept", more)
			}
		}
		if n := w.Begun(); n != 0 {
			t.Errorf("%d calls went out", n)
		}
	}},
	{name: "an unlisted method is unsafe", thrift: true, run: func(t *testing.T, w *world.World) {
		w.Set(lab.Breaking)
		if call(t, w, "nobody", long, lab.Failed); w.Begun() != 1 {
			t.Errorf("%d attempts", w.Begun())
		}
	}},
	{name: "an unlisted method that is refused", thrift: true, opts: world.Options{Refuse: true}, run: func(t *testing.T, w *world.World) {
		if a := call(t, w, "nobody", long, lab.Failed); a.Code != thrift.CodeUnknownMethod || w.Begun() != 0 {
			t.Errorf("answered %+v, %d attempts", a, w.Begun())
		}
	}},
}

// away tells two servers away and wants nothing new there 250 ms later.
func away(t *testing.T, w *world.World, tell func(*world.Server)) {
	if err := w.Followed(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		call(t, w, "order", long, lab.Served)
	}
	told := w.Servers[:2]
	for _, s := range told {
		w.Ledger.Told(s.Entry.ID, time.Now())
		tell(s)
	}
	time.Sleep(250 * time.Millisecond)
	n := told[0].Begun() + told[1].Begun()
	for range 20 {
		call(t, w, "order", long, lab.Served)
	}
	if got := told[0].Begun() + told[1].Begun() - n; got != 0 {
		t.Errorf("%d calls to servers that were told away", got)
	}
}

// oneway sends calls without answers, each followed by one with an answer on the same connection.
func oneway(kind thriftlab.Kind, method string) func(*testing.T, *world.World) {
	return func(t *testing.T, w *world.World) {
		c := dial(t, w)
		for i := range int64(10) {
			r := w.Request(method, long)
			r.Kind = kind
			if err := w.Send(c, r); err != nil {
				t.Fatal(err)
			}
			// The answer of the next is that call's.
			if a, err := w.CallOn(c, w.Request("order", long)); err != nil || a.Verdict != lab.Served {
				t.Errorf("call %d: %+v, %v", i, a, err)
			}
			until(t, "a oneway call is lost", func() bool { return w.Begun() >= 2*(i+1) })
			w.Ledger.Answered(r.Op, lab.Failed, time.Now()) // nobody answers it: it promises nothing
		}
		if n := w.Begun(); n != 20 {
			t.Errorf("%d calls came, want 20", n)
		}
	}
}

// TestRules runs every rule in every protocol and prints the table.
func TestRules(t *testing.T) {
	protocols := world.Protocols()
	results := make([][]string, len(rules))
	var mu sync.Mutex
	t.Run("each", func(t *testing.T) {
		for i, r := range rules {
			results[i] = make([]string, len(protocols))
			for j, p := range protocols {
				if r.thrift && !p.Thrift() {
					results[i][j] = "-"
					continue
				}
				t.Run(p.Name+"/"+r.name, func(t *testing.T) {
					t.Parallel()
					defer func() {
						mu.Lock()
						defer mu.Unlock()
						results[i][j] = "ok"
						if t.Skipped() {
							results[i][j] = "skip"
						}
						if t.Failed() {
							results[i][j] = "FAIL"
						}
					}()
					o := r.opts
					o.Seed = 7
					try := func() (late, wrong error) {
						w, err := world.New(p, o)
						if err != nil {
							t.Fatal(err)
						}
						defer w.Close()
						if r.timed != nil {
							late, wrong = r.timed(w)
						} else {
							r.run(t, w)
						}
						errs := []error{wrong, w.Stop()}
						switch broken, words := w.Ledger.Breaches(time.Now().Add(time.Hour)); {
						case r.timed != nil && w.Ledger.Totals.Late > 0 && len(broken) == 1 && broken[1] == w.Ledger.Totals.Late:
							late = errors.Join(late, fmt.Errorf("late: %q", words))
						case len(broken) > 0:
							errs = append(errs, fmt.Errorf("rules broken %v: %q", broken, words))
						}
						if w.Leaked() {
							errs = append(errs, errors.New("memory for bodies is not given back"))
						}
						return late, errors.Join(errs...)
					}
					var late, wrong error
					if r.timed != nil {
						late, wrong = calmly(try)
					} else {
						late, wrong = try()
					}
					if late != nil || wrong != nil {
						t.Error(late, wrong)
					}
				})
			}
		}
	})
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-56s", "rule")
	for _, p := range protocols {
		fmt.Fprintf(&b, " | %-19s", p.Name)
	}
	for i, r := range rules {
		fmt.Fprintf(&b, "\n%-56s", r.name)
		for _, s := range results[i] {
			fmt.Fprintf(&b, " | %-19s", s)
		}
	}
	t.Log(b.String())
}

// Who speaks something else is told so, or let go at once, and nobody else notices.
func TestOtherClients(t *testing.T) {
	for _, test := range []struct {
		p       world.Protocol
		text    string
		want    string
		instant bool // needs no end of the client's bytes
	}{
		{world.Protocols()[1], "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400", true},
		{world.Protocols()[1], "\x00\x00\x00\x20\x0f\xff\x00\x00", "", true}, // THeader
		{world.Protocols()[1], "\x00\x00\x00\x00", "", true},
		{world.Protocols()[1], "\x00\x00\x00\x00\x80\x01\x00\x01", "", true},
		{world.Protocols()[1], "\x7f\xff\xff\xff\x80\x01\x00\x01", "", true},
		{world.Protocols()[1], "\xff\xff\xff\xff\x80\x01", "", true},
		{world.Protocols()[1], "HELO there", "", true},
		{world.HTTP, "\x00\x00\x00\x20\x80\x01\x00\x01\r\n\r\n", "HTTP/1.1 400", true},
		{world.HTTP, "\x80\x01\x00\x01\x00\x00\x00\x05order\x00\x00\x00\x01\x00", "", false},
	} {
		t.Run(fmt.Sprintf("%s %q", test.p.Name, test.text), func(t *testing.T) {
			t.Parallel()
			w, err := world.New(test.p, world.Options{Servers: 1})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			c := dial(t, w)
			from := time.Now()
			io.WriteString(c, test.text)
			b, err := io.ReadAll(c.Conn)
			if !strings.HasPrefix(string(b), test.want) || test.want == "" && len(b) > 0 && !strings.HasPrefix(string(b), "HTTP/1.1 4") {
				t.Errorf("answered %q, %v", b, err)
			}
			if took := time.Since(from); test.instant && took > time.Second {
				t.Errorf("let go after %v", took)
			}
			call(t, w, "order", long, lab.Served)
			if f := w.Figures(); f != (core.Stats{Accepted: 1, Served: 1}) {
				t.Errorf("figures %+v", f)
			}
		})
	}
}
