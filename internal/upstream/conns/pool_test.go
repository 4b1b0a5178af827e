package conns

import (
	"io"
	"net"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
)

// patience bounds every wait of the tests.
const patience = 20 * time.Second

// peer is a stand-in that does with each connection what it is told to, then waits for its end.
func peer(t *testing.T, do func(net.Conn)) string {
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

func get(t *testing.T, p *Pool, key Key, addr string) *Conn {
	t.Helper()
	cn, err := p.Get(t.Context(), key, addr, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cn.Conn.Close() })
	return cn
}

func newKey() Key { return Key{Backend: &core.Backend{}} }

// A new backend at the address of one that has gone gets none of its connections.
func TestAddressOfAGoneBackend(t *testing.T) {
	addr := peer(t, nil)
	p, old, heir := New(patience, time.Minute, 8), newKey(), newKey()
	x := get(t, p, old, addr)
	p.Put(x)
	y := get(t, p, heir, addr)
	if x == y {
		t.Error("the heir got the connection")
	}
	p.Put(y)
	old.Backend.MarkUnavailable()
	p.CloseExpired()
	if p.Open() != 1 || p.Idle(old) != 0 || p.Idle(heir) != 1 {
		t.Errorf("%d open, %d and %d idle", p.Open(), p.Idle(old), p.Idle(heir))
	}
}

// Beyond the most no connection is opened, but an idle one of another backend gives way.
func TestMost(t *testing.T) {
	p, one, two := New(patience, time.Minute, 2), newKey(), newKey()
	addr := peer(t, nil)
	x := get(t, p, one, addr)
	get(t, p, one, addr)
	if _, err := p.Get(t.Context(), one, addr, time.Now().Add(patience)); err != ErrTooMany || !Ours(err) {
		t.Errorf("a third connection of two: %v", err)
	}
	p.Put(x)
	get(t, p, two, addr)
	if p.Open() != 2 || p.Idle(one) != 0 {
		t.Errorf("%d connections counted, want 2; %d idle", p.Open(), p.Idle(one))
	}
}

// A kept connection is used again, the last used first, unless it was closed, brought what nobody asked
// for, leads to another address, speaks another protocol, or its backend was hung up on.
func TestWhatIsUsedAgain(t *testing.T) {
	silent := peer(t, nil)
	did := make(chan struct{}, 8)
	closes := peer(t, func(c net.Conn) { c.Close(); did <- struct{}{} })
	talks := peer(t, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n"); did <- struct{}{} })
	again := func(addr string, between func(p *Pool, key *Key, addr *string)) bool {
		p, key := New(patience, time.Minute, 8), newKey()
		x := get(t, p, key, addr)
		if addr != silent {
			<-did
			for end := time.Now().Add(patience); p.quiet(x) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // what was done there arrives
			}
			// As it came back whole before that.
			p.idle[key], x.since = []*Conn{x}, time.Now()
		} else {
			p.Put(x)
		}
		if between != nil {
			between(p, &key, &addr)
		}
		return get(t, p, key, addr) == x
	}
	other := peer(t, nil)
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
		"hung up":          {silent, func(p *Pool, key *Key, _ *string) { p.CloseIdle(key.Backend) }, false},
		"too old": {silent, func(p *Pool, key *Key, _ *string) {
			p.idle[*key][0].since = time.Now().Add(-2 * time.Minute)
		}, false},
	} {
		if got := again(test.addr, test.between); got != test.want {
			t.Errorf("%s: used again: %v", name, got)
		}
	}
}

// Connections that idled for long and break make the pool open new ones, and only those.
func TestAges(t *testing.T) {
	var a ages
	for range 200 {
		a.count(0, false)
		a.count(ageSlot(time.Millisecond), false)
		a.count(ageSlot(time.Second), true)
	}
	if !a.usable(time.Millisecond) || a.usable(time.Second) || a.usable(10*time.Second) {
		t.Errorf("usable after 1 ms %v, 1 s %v, 10 s %v", a.usable(time.Millisecond), a.usable(time.Second), a.usable(10*time.Second))
	}
}

// A smaller bound closes idle connections at once, and opens none until there are few enough.
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
	if _, err := get(); err != ErrTooMany {
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
