// Package conns pools connections to backends, for the upstreams of all protocols: they share the bound on
// descriptors, never a connection. Exchange is one attempt on a connection.
package conns

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// defaultTimeout stands for a connect timeout or keepalive of 0.
	defaultTimeout = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10

	// A second response to one request may arrive some ms after the first, behind the last byte of the next
	// request, and nothing in it says which request it belongs to. For settlePeriod after any connection
	// brought unexpected bytes, a connection is therefore used again only settleTime after its response.
	settleTime   = 50 * time.Millisecond
	settlePeriod = time.Minute
)

// ErrTooManyConns says that the pool has as many connections as it may have, all of them in use.
var ErrTooManyConns = errors.New("no descriptor left for a connection")

// Pool has the idle connections to backends and bounds the number of all connections. Its methods may be called
// from any goroutine.
//
// http.Transport is not used: it resends requests on a broken idle connection, and does not say whether the last
// byte of a request was written, which decides whether an attempt may have run.
type Pool struct {
	// AttemptsWritten, if not nil, counts the attempts that were written completely. It is set before the
	// first attempt.
	AttemptsWritten *atomic.Int64

	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used
	idleAges       idleAges

	mu       sync.Mutex
	maxConns int
	open     int // idle and in use
	// idle has the idle connections, the most recently used last; a key without any has no entry. The key is the
	// backend and not its address, which may pass from a removed backend to another one.
	idle         map[Key][]*Conn
	unexpectedAt time.Time // when a connection last brought unexpected bytes
}

// Key says which connections are interchangeable: those to one backend with one protocol.
type Key struct {
	Backend *core.Backend
	Kind    uint8 // of protocol: 0 is HTTP, other upstreams number their own
}

// New returns a pool of at most maxConns connections. Idle ones are closed after keepalive. Times of 0 mean a
// second.
func New(connectTimeout, keepalive time.Duration, maxConns int) *Pool {
	if connectTimeout <= 0 {
		connectTimeout = defaultTimeout
	}
	if keepalive <= 0 {
		keepalive = defaultTimeout
	}
	return &Pool{
		connectTimeout: connectTimeout,
		keepalive:      keepalive,
		maxConns:       maxConns,
		idle:           map[Key][]*Conn{},
	}
}

// ConnectTimeout is how long connecting may take.
func (p *Pool) ConnectTimeout() time.Duration { return p.connectTimeout }

// SetMax changes the bound on connections. While there are more, idle ones are closed and none is opened.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
	for p.open > p.maxConns && p.evict() {
	}
}

// Open is the number of connections, idle ones and those in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Idle is the number of idle connections of a key.
func (p *Pool) Idle(key Key) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[key])
}

// RecordEnd records whether an attempt ended with a reset of its connection, without a byte of a response.
func (p *Pool) RecordEnd(cn *Conn, reset bool) { p.idleAges.record(cn.ageBucket, reset) }

// Adopt adds an idle connection that was opened elsewhere.
func (p *Pool) Adopt(nc net.Conn, key Key, addr string) {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	p.Put(&Conn{Conn: nc, Reader: bufio.NewReader(nc), key: key, addr: addr})
}

// Get returns an idle connection that is still usable, the most recently used first, or opens one until the
// deadline. The caller ends its use with Put or Close.
func (p *Pool) Get(ctx context.Context, key Key, addr string, deadline time.Time) (*Conn, error) {
	for {
		cn, err := p.takeIdleOrReserve(key)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			return p.dial(ctx, key, addr, deadline)
		}
		age := time.Since(cn.idleSince)
		if cn.addr == addr && age < p.keepalive && p.idleAges.usable(age) && p.isSilent(cn) {
			cn.ageBucket = ageBucket(age)
			return cn, nil
		}
		p.Close(cn)
	}
}

// takeIdleOrReserve takes an idle connection. Where there is none it returns nil and counts a connection that is to
// be opened; at the bound an idle one of any key is closed for it.
func (p *Pool) takeIdleOrReserve(key Key) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn := p.takeIdle(key); cn != nil {
		return cn, nil
	}
	if p.open >= p.maxConns && !p.evict() {
		return nil, ErrTooManyConns
	}
	p.open++
	return nil, nil
}

// takeIdle removes and returns the idle connection that was used last and has settled; nil: there is none. The
// lock is held.
func (p *Pool) takeIdle(key Key) *Conn {
	idle := p.idle[key]
	last := len(idle) - 1
	if !p.unexpectedAt.IsZero() && time.Since(p.unexpectedAt) < settlePeriod {
		for last >= 0 && time.Since(idle[last].idleSince) < settleTime {
			last--
		}
	}
	if last < 0 {
		return nil
	}
	cn := idle[last]
	p.setIdle(key, slices.Delete(idle, last, last+1))
	return cn
}

// dial opens a connection that has been counted.
func (p *Pool) dial(ctx context.Context, key Key, addr string, deadline time.Time) (*Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, readBufferBytes), key: key, addr: addr}, nil
}

// setIdle sets the idle connections of a key. The lock is held.
func (p *Pool) setIdle(key Key, idle []*Conn) {
	if len(idle) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = idle
}

// evict closes the connection that has been idle longest; false if none is idle. The lock is held.
func (p *Pool) evict() bool {
	var oldest *Conn
	for _, idle := range p.idle {
		if oldest == nil || idle[0].idleSince.Before(oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.key, p.idle[oldest.key][1:])
	p.open--
	oldest.Close()
	return true
}

// Put returns a connection for the next attempt. It is closed if its backend is unavailable, or if it brought
// more than its response: that would be taken for the next one.
func (p *Pool) Put(cn *Conn) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	if cn.key.Backend.Unavailable() || !p.isSilent(cn) {
		p.Close(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.key] = append(p.idle[cn.key], cn)
}

// Close closes a connection that Get returned.
func (p *Pool) Close(cn *Conn) {
	cn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to a backend.
func (p *Pool) CloseIdle(b *core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		if key.Backend != b {
			continue
		}
		for _, cn := range idle {
			p.open--
			cn.Close()
		}
		delete(p.idle, key)
	}
}

// CloseExpired closes connections that have been idle for the keepalive, and those to backends that became
// unavailable while a connection was in use.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		expired := 0
		for expired < len(idle) && (key.Backend.Unavailable() || time.Since(idle[expired].idleSince) >= p.keepalive) {
			p.open--
			idle[expired].Close()
			expired++
		}
		p.setIdle(key, idle[expired:])
	}
}

// isSilent says whether a connection without a request is open and brought no bytes. One that the peer closed, or
// that brought unexpected bytes, must not carry a request: it would end as a reset, or take those bytes for its
// response.
func (p *Pool) isSilent(cn *Conn) bool {
	if cn.Reader.Buffered() > 0 {
		p.noteUnexpectedBytes()
		return false
	}
	state := socket.ReadState(cn.Conn)
	if state == socket.Unread {
		p.noteUnexpectedBytes()
	}
	return state == socket.Silent
}

func (p *Pool) noteUnexpectedBytes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpectedAt = time.Now()
}

// localErrors are those of Get for which the backend is not responsible.
var localErrors = []error{
	ErrTooManyConns,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.EADDRNOTAVAIL,
	syscall.ENOBUFS,
	context.Canceled,
}

// IsLocalError says whether an error of Get is due to this host or process, not to the backend.
func IsLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}
