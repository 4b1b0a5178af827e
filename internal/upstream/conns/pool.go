// Package conns keeps idle connections to backends and bounds all there are, for upstreams of every
// protocol: descriptors are shared, connections never are.
package conns

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/socket"
)

// Pool keeps idle connections to backends and bounds all there are. http.Transport
// is not used on purpose: it sends again by itself on a broken kept connection, and
// does not tell whether the last byte was written, on which hangs whether an attempt
// may have run.
type Pool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again
	maxConns       int
	// AttemptsWritten, where it is set, counts the attempts that were written whole. It is to be set before the first.
	AttemptsWritten *atomic.Int64

	mu sync.Mutex
	// By backend, not by address: one that has gone may leave its address to another.
	// The most recently used last.
	idle map[Key][]*Conn // bound: max connections; a key with none has no entry
	open int
	ages idleAges
	// unexpectedAt is when a connection last brought bytes that nobody had asked for.
	unexpectedAt time.Time
}

// Key tells which connections may be used for one another: those to one backend, on which one kind of
// thing is spoken. 0 is HTTP; other upstreams number their own.
type Key struct {
	Backend *core.Backend
	Kind    uint8
}

// Conn is a connection of a pool.
type Conn struct {
	net.Conn
	Reader    *bufio.Reader
	key       Key
	addr      string
	idleSince time.Time // idle since
	stream    *Stream   // of the answer on it, which will own it
	ageBucket int       // how long it idled before its last use, as ages tells times apart

	mu        sync.Mutex
	cancelled bool // what reads or writes ends at once, from now on
}

// cancel ends whatever reads or writes on the connection, for good: no deadline that is set later undoes it.
func (c *Conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	c.Conn.SetDeadline(time.Unix(1, 0))
}

// SetDeadline sets both.
func (c *Conn) SetDeadline(t time.Time) error { return c.setUnlessCancelled(c.Conn.SetDeadline, t) }

// SetReadDeadline sets that of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setUnlessCancelled(c.Conn.SetReadDeadline, t)
}

// SetWriteDeadline sets that of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setUnlessCancelled(c.Conn.SetWriteDeadline, t)
}

func (c *Conn) setUnlessCancelled(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return os.ErrDeadlineExceeded
	}
	return set(t)
}

const (
	// settleTime is how long a connection is left alone behind an answer before it is used again, for unaskedFor
	// after any connection brought bytes that nobody had asked for: a second answer may come some ms after the
	// first, behind the next request's last byte, and nothing in it tells whose it is.
	settleTime, settlePeriod = 50 * time.Millisecond, time.Minute
)

// ErrTooManyConns says that all descriptors for backends are in use.
var ErrTooManyConns = errors.New("no descriptor left for a connection")

// New returns a pool of max connections at the most. Times of 0 stand for a second.
func New(connectTimeout, keepalive time.Duration, max int) *Pool {
	p := &Pool{connectTimeout: connectTimeout, keepalive: keepalive, maxConns: max, idle: map[Key][]*Conn{}}
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
	return p
}

// ConnectTimeout is how long a connection may take to come up.
func (p *Pool) ConnectTimeout() time.Duration { return p.connectTimeout }

// SetMax changes how many connections there may be. Where there are more, none is opened until there are not.
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

// RecordEnd notes how an attempt on a connection ended: whether it broke without a byte of an answer.
func (p *Pool) RecordEnd(cn *Conn, broke bool) { p.ages.record(cn.ageBucket, broke) }

// Adopt takes in an idle connection that was opened elsewhere.
func (p *Pool) Adopt(nc net.Conn, key Key, addr string) {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	p.Put(&Conn{Conn: nc, Reader: bufio.NewReader(nc), key: key, addr: addr})
}

// Get returns an idle connection that is still good, the most recently used
// first, or opens one.
func (p *Pool) Get(ctx context.Context, key Key, addr string, until time.Time) (*Conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			break
		}
		at := len(list) - 1
		if !p.unexpectedAt.IsZero() && time.Since(p.unexpectedAt) < settlePeriod {
			for at >= 0 && time.Since(list[at].idleSince) < settleTime {
				at--
			}
			if at < 0 {
				break // those there are have not settled
			}
		}
		cn := list[at]
		p.setIdle(key, slices.Delete(list, at, at+1))
		p.mu.Unlock()
		age := time.Since(cn.idleSince)
		if cn.addr == addr && age < p.keepalive && p.ages.usable(age) && p.isSilent(cn) {
			cn.ageBucket = ageBucket(age)
			return cn, nil
		}
		p.Close(cn)
	}
	if p.open >= p.maxConns && !p.evict() {
		p.mu.Unlock()
		return nil, ErrTooManyConns
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
	return &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, 4<<10), key: key, addr: addr}, nil
}

// setIdle stores what is idle of a backend. The lock is held.
func (p *Pool) setIdle(key Key, list []*Conn) {
	if len(list) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = list
}

// evict closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
func (p *Pool) evict() bool {
	var oldest *Conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
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

// Put keeps a connection for the next attempt, unless it brought more than it was
// asked for: the rest would be taken for the next answer.
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

// Close closes a connection that was got.
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
	for key, list := range p.idle {
		if key.Backend != b {
			continue
		}
		for _, cn := range list {
			p.open--
			cn.Close()
		}
		delete(p.idle, key)
	}
}

// CloseExpired closes connections that have idled too long, and those of backends that were
// closed while a connection was on its way back.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		n := 0
		for n < len(list) && (key.Backend.Unavailable() || time.Since(list[n].idleSince) >= p.keepalive) {
			p.open--
			list[n].Close()
			n++
		}
		p.setIdle(key, list[n:])
	}
}

// isSilent tells whether a connection on which nothing is asked is still open and
// silent. One that the peer closed, or that brings bytes nobody asked for, must not
// carry a request: it would end as a reset, or take those bytes for its answer.
func (p *Pool) isSilent(cn *Conn) bool {
	if cn.Reader.Buffered() > 0 {
		p.noteUnexpectedBytes()
		return false
	}
	state := socket.Look(cn.Conn)
	if state == socket.Unread {
		p.noteUnexpectedBytes()
	}
	return state == socket.Silent
}

// noteUnexpectedBytes notes bytes that nobody had asked for.
func (p *Pool) noteUnexpectedBytes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpectedAt = time.Now()
}

// IsLocalError tells whether a connection failed for want of something here.
func IsLocalError(err error) bool {
	return errors.Is(err, ErrTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, context.Canceled)
}
