package lab

import (
	"net"
	"sync"
	"sync/atomic"
)

// Acceptor is the listener of a stand-in: it serves each connection in a goroutine and owns them all.
type Acceptor struct {
	Addr string

	ln       net.Listener
	accepted atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	over     bool
	wg       sync.WaitGroup
}

// Accept listens on a port that the kernel chooses; serve need not close its connection.
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
			if a.over {
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

// Accepted is the number of connections so far.
func (a *Acceptor) Accepted() int64 { return a.accepted.Load() }

// ResetConnections resets all connections.
func (a *Acceptor) ResetConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the listener and its connections, and waits for them.
func (a *Acceptor) Close() {
	a.ln.Close()
	a.mu.Lock()
	a.over = true
	for c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}
