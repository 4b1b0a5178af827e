package cluster

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// acceptBackoff is the pause after an error of accept.
	acceptBackoff = 10 * time.Millisecond
	dialTimeout   = time.Second
)

// proxy forwards the connections of one process to another over the links between the two.
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

// accept serves connections until the listener is closed. It retries after other errors, such as a lack of
// file descriptors.
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

// serve connects to the target and copies in both directions until both have ended.
func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	if mode, _ := p.forward.current(); mode == Reset {
		c.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		c.SetLinger(0) // resets the connection, as the target would
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
