package cluster

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// acceptBackoff is the pause after a connection that could not be accepted.
	acceptBackoff = 10 * time.Millisecond
	dialTimeout   = time.Second
)

// proxy is where one process reaches another: a listener whose connections pass over the links between the two.
type proxy struct {
	addr             string
	listener         *net.TCPListener
	target           string
	forward, reverse *link
	done             chan struct{}
	wg               sync.WaitGroup
}

func newProxy(target string, forward, reverse *link) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		addr:     ln.Addr().String(),
		listener: ln.(*net.TCPListener),
		target:   target,
		forward:  forward,
		reverse:  reverse,
		done:     make(chan struct{}),
	}
	p.wg.Go(func() { p.accept(p.listener.AcceptTCP) })
	return p, nil
}

// accept serves connections until the listener is closed. Other errors, such as no descriptor left, do not end it.
func (p *proxy) accept(next func() (*net.TCPConn, error)) {
	for {
		c, err := next()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// serve connects a connection to the target and copies both ways until both have ended.
func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	if mode, _ := p.forward.current(); mode == Reset {
		c.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		c.SetLinger(0) // nobody listens there
		return
	}
	target := conn.(*net.TCPConn)
	defer target.Close()
	for _, l := range []*link{p.forward, p.reverse} {
		l.track(c)
		defer l.untrack(c)
	}
	ended := make(chan struct{})
	go func() {
		select {
		case <-p.done:
			c.Close()
			target.Close()
		case <-ended:
		}
	}()
	var both sync.WaitGroup
	both.Go(func() { p.forward.copy(c, target, p.done) })
	both.Go(func() { p.reverse.copy(target, c, p.done) })
	both.Wait()
	close(ended)
}

func (p *proxy) close() {
	p.listener.Close()
	close(p.done)
	p.wg.Wait()
}
