package conns

import (
	"io"
	"net"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 20 * time.Second

// startPeer starts a server that calls do with each connection, then reads until the client closes it. It
// returns the server's address.
func startPeer(t *testing.T, do func(net.Conn)) string {
	t.Helper()
	a, err := lab.Accept(func(c net.Conn) {
		if do != nil {
			do(c)
		}
		io.Copy(io.Discard, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a.Addr
}

func getConn(t *testing.T, p *Pool, key Key, addr string) *Conn {
	t.Helper()
	cn, err := p.Get(t.Context(), key, addr, time.Now().Add(waitTimeout))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cn.Conn.Close() })
	return cn
}

func newKey() Key { return Key{Backend: &core.Backend{}} }

// A new backend with the address of a removed one must not get connections of the removed one.
func TestAddressOfARemovedBackend(t *testing.T) {
	addr := startPeer(t, nil)
	p, removed, successor := New(waitTimeout, time.Minute, 8), newKey(), newKey()
	x := getConn(t, p, removed, addr)
	p.Put(x)
	y := getConn(t, p, successor, addr)
	if x == y {
		t.Error("the new backend got the connection")
	}
	p.Put(y)
	removed.Backend.MarkUnavailable()
	p.CloseExpired()
	if p.Open() != 1 || p.Idle(removed) != 0 || p.Idle(successor) != 1 {
		t.Errorf("%d connections open, %d idle to the removed backend, %d to its successor", p.Open(), p.Idle(removed), p.Idle(successor))
	}
}

// At the limit no connection is opened, unless an idle one of another backend can be closed.
func TestMaxConns(t *testing.T) {
	p, one, two := New(waitTimeout, time.Minute, 2), newKey(), newKey()
	addr := startPeer(t, nil)
	x := getConn(t, p, one, addr)
	getConn(t, p, one, addr)
	if _, err := p.Get(t.Context(), one, addr, time.Now().Add(waitTimeout)); err != ErrTooManyConns || !IsLocalError(err) {
		t.Errorf("third connection with a limit of 2: %v", err)
	}
	p.Put(x)
	getConn(t, p, two, addr)
	if p.Open() != 2 || p.Idle(one) != 0 {
		t.Errorf("%d connections counted, want 2; %d idle", p.Open(), p.Idle(one))
	}
}

// An idle connection is reused unless it was closed, received unexpected bytes, was idle for too long, has
// another address or protocol, or the idle connections of its backend were closed.
func TestIdleConnReuse(t *testing.T) {
	silent := startPeer(t, nil)
	peerActed := make(chan struct{}, 8)
	afterRequest := func(act func(net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				act(c)
				peerActed <- struct{}{}
			}
		}
	}
	closes := startPeer(t, afterRequest(func(c net.Conn) { c.Close() }))
	sends := startPeer(t, afterRequest(func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n") }))
	reused := func(addr string, change func(p *Pool, key *Key, addr *string)) bool {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		x := getConn(t, p, key, addr)
		if addr != silent {
			io.WriteString(x, "r")
			<-peerActed
			for end := time.Now().Add(waitTimeout); p.isSilent(x, WhileIdle) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // until the peer's action arrives
			}
			p.idle[key] = []*Conn{x} // as if it had been returned to the pool before the peer acted
		} else {
			p.Put(x)
		}
		x.idleSince = time.Now().Add(-unsettledRest) // it has rested
		if change != nil {
			change(p, &key, &addr)
		}
		return getConn(t, p, key, addr) == x
	}
	other := startPeer(t, nil)
	for name, test := range map[string]struct {
		addr   string
		change func(*Pool, *Key, *string)
		want   bool
	}{
		"silent":           {silent, nil, true},
		"closed":           {closes, nil, false},
		"unexpected bytes": {sends, nil, false},
		"another address":  {silent, func(_ *Pool, _ *Key, addr *string) { *addr = other }, false},
		"another protocol": {silent, func(_ *Pool, key *Key, _ *string) { key.Kind = 3 }, false},
		"idle ones closed": {silent, func(p *Pool, key *Key, _ *string) { p.CloseIdle(key.Backend) }, false},
		"too old": {silent, func(p *Pool, key *Key, _ *string) {
			p.idle[*key][0].idleSince = time.Now().Add(-2 * time.Minute)
		}, false},
	} {
		if got := reused(test.addr, test.change); got != test.want {
			t.Errorf("%s: connection reused: %v", name, got)
		}
	}
}

// If connections are reset after a long idle time, shorter idle ones stay usable.
func TestIdleAges(t *testing.T) {
	var a idleAges
	for range 200 {
		a.record(0, false)
		a.record(ageBucket(time.Millisecond), false)
		a.record(ageBucket(time.Second), true)
	}
	if !a.usable(time.Millisecond) || a.usable(time.Second) || a.usable(10*time.Second) {
		t.Errorf("connections usable after 1 ms %v, 1 s %v, 10 s %v", a.usable(time.Millisecond), a.usable(time.Second), a.usable(10*time.Second))
	}
}

// Lowering the limit closes idle connections at once, and none is opened until there are fewer than the
// limit.
func TestSetMax(t *testing.T) {
	p := New(time.Second, time.Minute, 4)
	b := &core.Backend{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	get := func() (*Conn, error) {
		return p.Get(t.Context(), Key{Backend: b}, ln.Addr().String(), time.Now().Add(10*time.Second))
	}
	var used []*Conn
	for range 4 {
		cn, err := get()
		if err != nil {
			t.Fatal(err)
		}
		used = append(used, cn)
	}
	p.Put(used[0])
	p.SetMax(2)
	if p.Open() != 3 {
		t.Errorf("%d open, want the 3 in use", p.Open())
	}
	if _, err := get(); err != ErrTooManyConns {
		t.Errorf("another connection above the limit: %v", err)
	}
	p.Close(used[1])
	p.Close(used[2])
	if _, err := get(); err != nil {
		t.Error(err)
	}
	p.SetMax(4)
	for range 2 {
		if _, err := get(); err != nil {
			t.Error(err)
		}
	}
}

// A connection to an earlier process of a backend is not used for its successor: an idle one is not taken, and one that was
// in use is not put back. An attempt that was decided for the earlier process does not start.
func TestConnectionsOfAnEarlierProcessAreNotUsed(t *testing.T) {
	addr := startPeer(t, nil)
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	idle, used := getConn(t, p, key, addr), getConn(t, p, key, addr)
	p.Put(idle)
	key.Backend.Restart()
	p.Put(used)
	if fresh := getConn(t, p, key, addr); fresh == idle || fresh == used {
		t.Error("a connection to the earlier process is used")
	}
	if p.Open() != 1 || p.Idle(key) != 0 {
		t.Errorf("%d connections are open, %d idle, want the new one", p.Open(), p.Idle(key))
	}
	if x := (&Exchange{Key: key}); x.mayStart() {
		t.Error("an attempt for the earlier process may start")
	}
	if x := (&Exchange{Key: key, Incarnation: key.Backend.Incarnation()}); !x.mayStart() {
		t.Error("an attempt for the present process may not start")
	}
}
