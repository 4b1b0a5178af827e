package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/core"
)

// pool keeps idle connections to backends and bounds all there are. http.Transport
// is not used on purpose: it sends again by itself on a broken kept connection, and
// does not tell whether the last byte was written, on which hangs whether an attempt
// may have run.
type pool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again
	max            int

	mu sync.Mutex
	// By backend, not by address: one that has gone may leave its address to another.
	// The most recently used last.
	idle map[*core.Backend][]*conn
	open int
	ages ages
}

type conn struct {
	net.Conn
	br      *bufio.Reader
	backend *core.Backend
	addr    string
	since   time.Time // idle since
	slot    int       // how long it idled before its last use, as ages tells times apart
}

var errTooMany = errors.New("no descriptor left for a connection")

func newPool(c *Config) *pool {
	p := &pool{
		connectTimeout: ms(c.Settings.Limits.ConnectTimeoutMs),
		// The backend closes at keepalive at the latest; half of it is well before.
		keepalive: ms(c.Settings.Limits.KeepaliveMs / 2),
		max:       c.backendConns(),
		idle:      map[*core.Backend][]*conn{},
	}
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
	return p
}

// get returns an idle connection that is still good, the most recently used
// first, or opens one.
func (p *pool) get(ctx context.Context, b *core.Backend, addr string, until time.Time) (*conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[b]
		if len(list) == 0 {
			break
		}
		cn := list[len(list)-1]
		p.keep(b, list[:len(list)-1])
		p.mu.Unlock()
		age := time.Since(cn.since)
		if cn.addr == addr && age < p.keepalive && p.ages.usable(age) && quiet(cn) {
			cn.slot = ageSlot(age)
			return cn, nil
		}
		p.close(cn)
	}
	if p.open >= p.max && !p.evict() {
		p.mu.Unlock()
		return nil, errTooMany
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 4<<10), backend: b, addr: addr}, nil
}

// keep stores what is idle of a backend. The lock is held.
func (p *pool) keep(b *core.Backend, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, b)
		return
	}
	p.idle[b] = list
}

// evict closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
func (p *pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].since.Before(oldest.since) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.keep(oldest.backend, p.idle[oldest.backend][1:])
	p.open--
	oldest.Close()
	return true
}

// put keeps a connection for the next attempt, unless it brought more than it was
// asked for: the rest would be taken for the next answer.
func (p *pool) put(cn *conn) {
	cn.SetDeadline(time.Time{})
	cn.since = time.Now()
	if cn.backend.Closed() || !quiet(cn) {
		p.close(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.backend] = append(p.idle[cn.backend], cn)
}

func (p *pool) close(cn *conn) {
	cn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// hangUp closes the idle connections to a backend.
func (p *pool) hangUp(b *core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[b] {
		p.open--
		cn.Close()
	}
	delete(p.idle, b)
}

// sweep closes connections that have idled too long, and those of backends that were
// closed while a connection was on its way back.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for b, list := range p.idle {
		n := 0
		for n < len(list) && (b.Closed() || time.Since(list[n].since) >= p.keepalive) {
			p.open--
			list[n].Close()
			n++
		}
		p.keep(b, list[n:])
	}
}

// quiet tells whether a connection on which nothing is asked is still open and
// silent. One that the peer closed, or that brings bytes nobody asked for, must not
// carry a request: it would end as a reset, or take those bytes for its answer.
func quiet(cn *conn) bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}
