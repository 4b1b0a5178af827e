// Package conns pools connections to backends for the upstreams of all protocols. They share one limit on
// descriptors but never a connection. Exchange is one attempt on a connection.
package conns

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/core"
)

const (
	// defaultTimeout is used for a connect timeout or keepalive that is not positive.
	defaultTimeout = time.Second
	// maxDials bounds the connections that one attempt opens because of unsolicited bytes.
	maxDials = 3
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// ErrTooManyConns says that the pool is at its connection limit and all connections are in use.
var ErrTooManyConns = errors.New("connection limit reached, and all connections are in use")

var (
	// ErrUnsolicited says that a backend sent bytes on a connection before a request was written.
	ErrUnsolicited = errors.New("unsolicited bytes before a request")
	// errClosedBeforeRequest is wrapped by the error of a connection that ended before a request was written.
	errClosedBeforeRequest = errors.New("closed before a request")
)

// Pool keeps idle connections to backends and limits the total number of connections. Its methods are safe
// for concurrent use.
//
// http.Transport is not suitable: it resends requests when an idle connection breaks, and does not report
// whether the last byte of a request was written, which decides whether an attempt may have run.
type Pool struct {
	// AttemptsWritten, if not nil, counts the attempts that were written completely. It must be set before
	// the first attempt.
	AttemptsWritten *atomic.Int64

	// Unsolicited counts the bytes that backends sent unasked.
	Unsolicited UnsolicitedCounts

	connectTimeout time.Duration
	keepalive      time.Duration // connections that were idle longer are not used
	idleAges       idleAges
	caution        caution
	confirmations  confirmations
	lastConnID     atomic.Uint64
	unsolicitedLog *rate.Limiter

	mu       sync.Mutex
	maxConns int
	open     int // number of connections, idle and in use
	// restWaits has, by key, how long requests have waited for resting connections since one was opened instead.
	restWaits map[Key]time.Duration
	// idle has the idle connections, the most recently used last; a key without any has no entry. The key has
	// the backend rather than its address, which another backend may get after this one is removed.
	idle map[Key][]*Conn
}

// Key identifies interchangeable connections: those to one backend with one protocol.
type Key struct {
	Backend *core.Backend
	Kind    uint8 // of protocol: 0 is HTTP, other upstreams define their own numbers
}

// New returns a pool of at most maxConns connections. Idle connections are closed after keepalive. Times that
// are not positive mean one second.
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
		unsolicitedLog: rate.NewLimiter(unsolicitedLogRate, unsolicitedLogBurst),
		idle:           map[Key][]*Conn{},
		restWaits:      map[Key]time.Duration{},
	}
}

// ConnectTimeout returns the connect timeout.
func (p *Pool) ConnectTimeout() time.Duration { return p.connectTimeout }

// SetMax changes the connection limit. While there are more connections, idle ones are closed and none is
// opened.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
	for p.open > p.maxConns && p.evict() {
	}
}

// Open returns the number of connections, idle and in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Idle returns the number of idle connections of a key.
func (p *Pool) Idle(key Key) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[key])
}

// RecordEnd records an attempt on a connection, and whether it ended with a reset before the first byte of a
// response.
func (p *Pool) RecordEnd(cn *Conn, reset bool) { p.idleAges.record(cn.ageBucket, reset) }

// Adopt adds an idle connection that the caller opened.
func (p *Pool) Adopt(nc net.Conn, key Key, addr string) {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	p.Put(p.newConn(nc, key, addr))
}

// Get returns an idle connection that is still usable, or opens a new one before the deadline, and lets it
// rest. The caller must return it with Put or Close.
func (p *Pool) Get(ctx context.Context, key Key, addr string, deadline time.Time) (*Conn, error) {
	return p.get(ctx, key, addr, deadline, deadline)
}

// get is Get with a deadline of its own for a connect.
func (p *Pool) get(ctx context.Context, key Key, addr string, connectDeadline, deadline time.Time) (*Conn, error) {
	for dialed := 0; ; {
		cn, err := p.takeIdleOrReserve(key)
		if err != nil {
			return nil, err
		}
		if cn != nil {
			if p.isUsable(cn, addr) && p.rest(ctx, cn, deadline, WhileIdle) == nil {
				return cn, nil
			}
			p.Close(cn)
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			continue
		}
		if cn, err = p.dial(ctx, key, addr, connectDeadline); err != nil {
			return nil, err
		}
		if err = p.rest(ctx, cn, deadline, BeforeFirstRequest); err == nil {
			return cn, nil
		}
		p.Close(cn)
		if dialed++; !errors.Is(err, ErrUnsolicited) || dialed == maxDials {
			return nil, err
		}
	}
}

// takeIdleOrReserve removes and returns an idle connection. If there is none it returns nil and counts the
// connection that the caller will open; at the limit it closes an idle connection of any key to make room.
func (p *Pool) takeIdleOrReserve(key Key) (*Conn, error) {
	wanted := p.caution.rests(key.Backend, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn := p.takeIdle(key, wanted); cn != nil {
		return cn, nil
	}
	if p.open >= p.maxConns && !p.evict() {
		return nil, ErrTooManyConns
	}
	p.open++
	return nil, nil
}

// takeIdle removes and returns the most recently used idle connection that has rested. If none has, it
// returns the one that lacks least, unless opening another one is better than waiting for it; nil means that.
// The caller holds the lock.
func (p *Pool) takeIdle(key Key, wanted rests) *Conn {
	idle := p.idle[key]
	now := time.Now()
	take, least := -1, wanted.maxWait
	for i := len(idle) - 1; i >= 0; i-- {
		lacking := wanted.lacking(idle[i], now)
		if lacking == 0 {
			take, least = i, 0
			break
		}
		if lacking <= least {
			take, least = i, lacking
		}
	}
	if take < 0 || least > 0 && !p.mayWait(key, least) {
		return nil
	}
	cn := idle[take]
	p.setIdle(key, slices.Delete(idle, take, take+1))
	return cn
}

// mayWait says whether a request is to wait for a connection that has to rest for a time, and counts the time. Waits
// that add up to maxRestWaits are worth a connection more. The caller holds the lock.
func (p *Pool) mayWait(key Key, lacking time.Duration) bool {
	waited := p.restWaits[key] + lacking
	if waited > maxRestWaits && p.open < p.maxConns {
		delete(p.restWaits, key)
		return false
	}
	p.restWaits[key] = waited
	return true
}

// dial opens a connection that is already counted in p.open.
func (p *Pool) dial(ctx context.Context, key Key, addr string, deadline time.Time) (*Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return p.newConn(nc, key, addr), nil
}

// newConn wraps a connection that has carried no request yet.
func (p *Pool) newConn(nc net.Conn, key Key, addr string) *Conn {
	return &Conn{
		Conn:   nc,
		Reader: bufio.NewReaderSize(nc, readBufferBytes),
		id:     p.lastConnID.Add(1),
		key:    key,
		addr:   addr,
		opened: time.Now(),

		incarnation: key.Backend.Incarnation(),
	}
}

// setIdle sets the idle connections of a key. The caller holds the lock.
func (p *Pool) setIdle(key Key, idle []*Conn) {
	if len(idle) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = idle
}

// evict closes the connection that has been idle longest. It returns false if none is idle. The caller holds
// the lock.
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

// Put returns a connection to the pool. It is closed if its backend is unavailable or has restarted, or if bytes arrived after
// its response: they would be read as the next response.
func (p *Pool) Put(cn *Conn) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	if cn.key.Backend.Unavailable() || cn.isOutdated() || !p.isSilent(cn, BehindResponse) {
		p.Close(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.key] = append(p.idle[cn.key], cn)
}

// Close closes a connection that Get returned, instead of Put.
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

// CloseExpired closes connections that have been idle for the keepalive time, idle ones to backends that
// became unavailable while a connection was in use, and those that are closed or have unsolicited bytes.
func (p *Pool) CloseExpired() {
	p.caution.forgetExpired(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		kept := idle[:0]
		for _, cn := range idle {
			if !key.Backend.Unavailable() && time.Since(cn.idleSince) < p.keepalive && p.isSilent(cn, WhileIdle) {
				kept = append(kept, cn)
				continue
			}
			p.open--
			cn.Close()
		}
		clear(idle[len(kept):])
		p.setIdle(key, kept)
	}
	maps.DeleteFunc(p.restWaits, func(key Key, _ time.Duration) bool { return len(p.idle[key]) == 0 })
}

// localErrors are the errors of Get for which the backend is not responsible.
var localErrors = []error{
	ErrTooManyConns,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.EADDRNOTAVAIL,
	syscall.ENOBUFS,
	context.Canceled,
}

// IsLocalError says whether an error of Get is caused by this host or process and not by the backend.
func IsLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}
