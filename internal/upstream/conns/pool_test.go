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

// startPeer starts a server that calls do with each connection, then waits for its end.
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

// A new backend at the address of a removed one gets none of its connections.
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
		t.Errorf("%d open, %d and %d idle", p.Open(), p.Idle(removed), p.Idle(successor))
	}
}

// Beyond the bound no connection is opened, unless an idle one of another backend can be closed.
func TestMaxConns(t *testing.T) {
	p, one, two := New(waitTimeout, time.Minute, 2), newKey(), newKey()
	addr := startPeer(t, nil)
	x := getConn(t, p, one, addr)
	getConn(t, p, one, addr)
	if _, err := p.Get(t.Context(), one, addr, time.Now().Add(waitTimeout)); err != ErrTooManyConns || !IsLocalError(err) {
		t.Errorf("a third connection of two: %v", err)
	}
	p.Put(x)
	getConn(t, p, two, addr)
	if p.Open() != 2 || p.Idle(one) != 0 {
		t.Errorf("%d connections counted, want 2; %d idle", p.Open(), p.Idle(one))
	}
}

// An idle connection is used again unless it was closed, brought unexpected bytes, has another address or another
// protocol, or the idle connections of its backend were closed.
func TestIdleConnReuse(t *testing.T) {
	silent := startPeer(t, nil)
	acted := make(chan struct{}, 8)
	closes := startPeer(t, func(c net.Conn) { c.Close(); acted <- struct{}{} })
	talks := startPeer(t, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n"); acted <- struct{}{} })
	reused := func(addr string, between func(p *Pool, key *Key, addr *string)) bool {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		x := getConn(t, p, key, addr)
		if addr != silent {
			<-acted
			for end := time.Now().Add(waitTimeout); p.isSilent(x) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // until what the peer did arrives
			}
			// As if it had been put back before.
			p.idle[key], x.idleSince = []*Conn{x}, time.Now()
		} else {
			p.Put(x)
		}
		if between != nil {
			between(p, &key, &addr)
		}
		return getConn(t, p, key, addr) == x
	}
	other := startPeer(t, nil)
	for name, test := range map[string]struct {
		addr    string
		between func(*Pool, *Key, *string)
		want    bool
	}{
		"silent":           {silent, nil, true},
		"closed":           {closes, nil, false},
		"brought bytes":    {talks, nil, false},
		"another address":  {silent, func(_ *Pool, _ *Key, addr *string) { *addr = other }, false},
		"another protocol": {silent, func(_ *Pool, key *Key, _ *string) { key.Kind = 3 }, false},
		"closed by us":     {silent, func(p *Pool, key *Key, _ *string) { p.CloseIdle(key.Backend) }, false},
		"too old": {silent, func(p *Pool, key *Key, _ *string) {
			p.idle[*key][0].idleSince = time.Now().Add(-2 * time.Minute)
		}, false},
	} {
		if got := reused(test.addr, test.between); got != test.want {
			t.Errorf("%s: used again: %v", name, got)
		}
	}
}

// If connections that were idle for long are reset, only those are replaced by new ones.
func TestIdleAges(t *testing.T) {
	var a idleAges
	for range 200 {
		a.record(0, false)
		a.record(ageBucket(time.Millisecond), false)
		a.record(ageBucket(time.Second), true)
	}
	if !a.usable(time.Millisecond) || a.usable(time.Second) || a.usable(10*time.Second) {
		t.Errorf("usable after 1 ms %v, 1 s %v, 10 s %v", a.usable(time.Millisecond), a.usable(time.Second), a.usable(10*time.Second))
	}
}

// A smaller bound closes idle connections at once, and none is opened until there are few enough.
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
		t.Errorf("another one: %v", err)
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
