package cluster

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a directed way does with the bytes that go on it.
type Mode int

// The modes.
const (
	Pass    Mode = iota
	Stall        // nothing passes; the connection stays open, and its sender feels back-pressure
	Lose         // what is sent is taken and never arrives
	Delay        // what is sent arrives later, in order
	Trickle      // a byte a millisecond
	Reset        // connections are reset, open ones and new ones
)

var modeNames = map[Mode]string{Pass: "pass", Stall: "stall", Lose: "lose", Delay: "delay", Trickle: "trickle", Reset: "reset"}

func (m Mode) String() string { return modeNames[m] }

// delayed is what Delay adds.
const delayed = 300 * time.Millisecond

// way is one direction between two processes, over all connections that either opened.
type way struct {
	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
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
			// What is on its way as the mode changes is held up by the new one, too.
			for m, changed = w.now(); m == Stall; m, changed = w.now() {
				select {
				case <-changed:
				case <-over:
					return
				}
			}
			switch m {
			case Lose:
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
	g.wg.Go(func() {
		for {
			c, err := g.ln.AcceptTCP()
			if err != nil {
				return
			}
			g.wg.Go(func() { g.join(c) })
		}
	})
	return g, nil
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
