package cluster

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode determines what a link does with the bytes sent on it.
type Mode int

// The modes of a link.
const (
	Pass    Mode = iota
	Stall        // nothing passes; connections stay open, with back-pressure on the sender
	Drop         // bytes are read and discarded
	Delay        // bytes arrive linkDelay later, in order
	Trickle      // one byte every trickleInterval
	Reset        // connections are reset, open ones and new ones
)

var modeNames = map[Mode]string{
	Pass:    "pass",
	Stall:   "stall",
	Drop:    "lose",
	Delay:   "delay",
	Trickle: "trickle",
	Reset:   "reset",
}

func (m Mode) String() string { return modeNames[m] }

const (
	linkDelay       = 300 * time.Millisecond
	trickleInterval = time.Millisecond
	linkBufferBytes = 16 << 10
)

// errLinkReset ends the copying on a link that resets its connections.
var errLinkReset = errors.New("link reset")

// link is one direction between two processes. It covers all connections, whichever of the two opened them.
type link struct {
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{} // closed when the mode is set
	conns    map[*net.TCPConn]bool
	bytes    atomic.Int64
	observer atomic.Pointer[func([]byte)]
}

func newLink() *link { return &link{changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}} }

func (l *link) setMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == Reset {
		for c := range l.conns {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// current returns the mode and a channel that is closed when the mode is set again.
func (l *link) current() (Mode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

func (l *link) track(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *link) untrack(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// awaitUnstalled waits until the link does not stall and returns its mode, or false if done is closed first.
func (l *link) awaitUnstalled(done <-chan struct{}) (Mode, bool) {
	for {
		mode, changed := l.current()
		if mode != Stall {
			return mode, true
		}
		select {
		case <-changed:
		case <-done:
			return mode, false
		}
	}
}

// copy copies bytes from one connection to another, as the link's mode says, until one of them ends. It
// closes both.
func (l *link) copy(from, to *net.TCPConn, done <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, linkBufferBytes)
	for {
		if _, ok := l.awaitUnstalled(done); !ok {
			return
		}
		n, err := from.Read(buf)
		if n > 0 {
			l.bytes.Add(int64(n))
			if observer := l.observer.Load(); observer != nil {
				(*observer)(buf[:n])
			}
			// The mode may have changed during the read; the new one applies to these bytes.
			mode, ok := l.awaitUnstalled(done)
			if !ok || deliver(mode, to, buf[:n], done) != nil {
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

// deliver writes bytes as the mode says. After an error the connection has to be closed.
func deliver(mode Mode, to io.Writer, payload []byte, done <-chan struct{}) error {
	switch mode {
	case Drop:
		return nil
	case Reset:
		return errLinkReset
	case Trickle:
		for i := range payload {
			if _, err := to.Write(payload[i : i+1]); err != nil {
				return err
			}
			time.Sleep(trickleInterval)
		}
		return nil
	case Delay:
		select {
		case <-time.After(linkDelay):
		case <-done:
			return net.ErrClosed
		}
	}
	_, err := to.Write(payload)
	return err
}
