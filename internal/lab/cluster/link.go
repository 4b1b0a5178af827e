package cluster

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a directed way does with the bytes that go on it.
type Mode int

// The modes.
const (
	Pass    Mode = iota
	Stall        // nothing passes; the connection stays open, and its sender feels back-pressure
	Drop         // what is sent is taken and never arrives
	Delay        // what is sent arrives later, in order
	Trickle      // a byte a millisecond
	Reset        // connections are reset, open ones and new ones
)

var modeNames = map[Mode]string{Pass: "pass", Stall: "stall", Drop: "lose", Delay: "delay", Trickle: "trickle", Reset: "reset"}

func (m Mode) String() string { return modeNames[m] }

const (
	// delayed is what Delay adds.
	delayed = 300 * time.Millisecond
	// acceptPause is waited behind a connection that could not be accepted.
	acceptPause = 10 * time.Millisecond
)

// way is one direction between two processes, over all connections that either opened.
type way struct {
	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
	bytes   atomic.Int64
	saw     atomic.Pointer[func([]byte)]
}

func newWay() *way { return &way{changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}} }

func (w *way) set(m Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	close(w.changed)
	w.changed = make(chan struct{})
	if m == Reset {
		for c := range w.conns {
			c.SetLinger(0)
			c.Close()
		}
	}
}

func (w *way) now() (Mode, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode, w.changed
}

func (w *way) hold(c *net.TCPConn, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delete(w.conns, c); on {
		w.conns[c] = true
	}
}

// carry carries bytes from one connection to the other as the mode has it, until one ends.
func (w *way) carry(from, to *net.TCPConn, over <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		m, changed := w.now()
		if m == Stall {
			select {
			case <-changed:
				continue
			case <-over:
				return
			}
		}
		n, err := from.Read(buf)
		if n > 0 {
			w.bytes.Add(int64(n))
			if saw := w.saw.Load(); saw != nil {
				(*saw)(buf[:n])
			}
			// What is on its way as the mode changes is held up by the new one, too.
			for m, changed = w.now(); m == Stall; m, changed = w.now() {
				select {
				case <-changed:
				case <-over:
					return
				}
			}
			switch m {
			case Drop:
				continue
			case Reset:
				return
			case Delay:
				select {
				case <-time.After(delayed):
				case <-over:
					return
				}
			case Trickle:
				for i := range n {
					if _, err := to.Write(buf[i : i+1]); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				to.CloseWrite()
			}
			return
		}
	}
}

// gate is where one process reaches another: a listener of the lab's whose connections go on both ways between them.
type gate struct {
	addr      string
	ln        *net.TCPListener
	to        string
	out, back *way
	over      chan struct{}
	wg        sync.WaitGroup
}

func newGate(to string, out, back *way) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{addr: ln.Addr().String(), ln: ln.(*net.TCPListener), to: to, out: out, back: back, over: make(chan struct{})}
	g.wg.Go(func() { g.accept(g.ln.AcceptTCP) })
	return g, nil
}

// accept joins connections until there are none to come. One that can't be accepted, as with no descriptor left, does not
// shut the gate.
func (g *gate) accept(next func() (*net.TCPConn, error)) {
	for {
		c, err := next()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		g.wg.Go(func() { g.join(c) })
	}
}

func (g *gate) join(c *net.TCPConn) {
	defer c.Close()
	if m, _ := g.out.now(); m == Reset {
		c.SetLinger(0)
		return
	}
	d, err := net.DialTimeout("tcp", g.to, time.Second)
	if err != nil {
		c.SetLinger(0) // nobody listens there
		return
	}
	t := d.(*net.TCPConn)
	defer t.Close()
	for _, w := range []*way{g.out, g.back} {
		w.hold(c, true)
		defer w.hold(c, false)
	}
	ended := make(chan struct{})
	go func() {
		select {
		case <-g.over:
			c.Close()
			t.Close()
		case <-ended:
		}
	}()
	var both sync.WaitGroup
	both.Go(func() { g.out.carry(c, t, g.over) })
	both.Go(func() { g.back.carry(t, c, g.over) })
	both.Wait()
	close(ended)
}

func (g *gate) close() {
	g.ln.Close()
	close(g.over)
	g.wg.Wait()
}
