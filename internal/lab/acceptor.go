package lab

import (
	"net"
	"sync"
	"sync/atomic"
)

// Acceptor is the listener of a stand-in server. It owns all connections and serves each in its own
// goroutine.
type Acceptor struct {
	Addr string

	ln       net.Listener
	accepted atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// Accept listens on a port that the kernel chooses. The connection is closed when serve returns.
func Accept(serve func(net.Conn)) (*Acceptor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Acceptor{Addr: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	a.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.accepted.Add(1)
			a.mu.Lock()
			if a.closed {
				c.Close()
			} else {
				a.conns[c] = true
				a.wg.Go(func() {
					serve(c)
					c.Close()
					a.mu.Lock()
					delete(a.conns, c)
					a.mu.Unlock()
				})
			}
			a.mu.Unlock()
		}
	})
	return a, nil
}

// Accepted returns the number of connections accepted so far.
func (a *Acceptor) Accepted() int64 { return a.accepted.Load() }

// ResetConnections resets all open connections.
func (a *Acceptor) ResetConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close closes the listener and its connections and waits until all of them have been served.
func (a *Acceptor) Close() {
	a.ln.Close()
	a.mu.Lock()
	a.closed = true
	for c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}
