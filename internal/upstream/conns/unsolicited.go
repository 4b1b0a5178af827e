package conns

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// Place says where on a connection bytes were found that answer no request.
type Place uint8

// The places.
const (
	BeforeFirstRequest Place = iota // on a new connection
	BehindResponse                  // when the response to the last request had been read
	WhileIdle                       // on an idle connection
	NumPlaces
)

var placeNames = [NumPlaces]string{"new_connection", "behind_response", "idle_connection"}

func (w Place) String() string { return placeNames[w] }

// maxRestFraction is the part of the time left that a rest may take.
const maxRestFraction = 4

// unsolicitedLogRate, in lines per second, and unsolicitedLogBurst limit the log lines on unsolicited bytes.
const unsolicitedLogRate, unsolicitedLogBurst = 1, 10

// UnsolicitedCounts counts, by place, how often unsolicited bytes were found.
type UnsolicitedCounts [NumPlaces]atomic.Int64

// isSilent says whether a connection without a request is open and has no unread bytes. Otherwise it must not
// carry a request, which would end with a reset if the peer closed the connection, or take the unsolicited
// bytes for its response.
func (p *Pool) isSilent(cn *Conn, where Place) bool { return p.look(cn, where) == nil }

// isUsable says whether an idle connection may carry a request once it has rested.
func (p *Pool) isUsable(cn *Conn, addr string) bool {
	age := time.Since(cn.idleSince)
	cn.ageBucket = ageBucket(age)
	return cn.addr == addr && !cn.isOutdated() && age < p.keepalive && p.idleAges.usable(age) && p.isSilent(cn, WhileIdle)
}

// rest waits for the time in which nothing may arrive on a connection before a request, at most for a part of
// the time left. Unsolicited bytes elsewhere make it longer meanwhile. It returns ErrUnsolicited if anything
// arrived, and another error if the connection ended.
func (p *Pool) rest(ctx context.Context, cn *Conn, deadline time.Time, where Place) error {
	begun := time.Now()
	latest := begun.Add(deadline.Sub(begun) / maxRestFraction)
	cn.restedFor = 0
	for now := begun; ; now = time.Now() {
		cn.restedFor = now.Sub(begun)
		lacking := p.caution.rests(cn.key.Backend, now).lacking(cn, now)
		if cn.rested = lacking == 0; cn.rested || !now.Before(latest) {
			break
		}
		if err := sleep(ctx, min(lacking, latest.Sub(now))); err != nil {
			return err
		}
	}
	if where == WhileIdle && cn.restedFor == 0 {
		return nil // just looked at
	}
	return p.look(cn, where)
}

// look returns an error if a connection without a request has unread bytes, or has ended.
func (p *Pool) look(cn *Conn, where Place) error {
	switch state := socket.ReadState(cn.Conn); {
	case cn.Reader.Buffered() > 0 || state == socket.Unread:
		p.noteUnsolicited(cn, where)
		return ErrUnsolicited
	case state != socket.Silent:
		return errClosedBeforeRequest
	}
	return nil
}

// respondsTooSoon waits for the response on a reused connection that had no time to rest before the request. It
// says whether the response begins before the rest would have ended: then it may belong to an earlier request.
func (p *Pool) respondsTooSoon(cn *Conn) bool {
	if cn.rested || cn.carried == 1 {
		return false
	}
	if _, err := cn.Reader.Peek(1); err != nil {
		return false // reading the response fails as well
	}
	now := time.Now()
	return p.caution.rests(cn.key.Backend, now).lacking(cn, now) > 0
}

// hasBytesBehind says whether more bytes came with the complete response that was just read, and notes them. Either
// may be the response to the request.
func (p *Pool) hasBytesBehind(cn *Conn) bool {
	if cn.stream != nil || cn.Reader.Buffered() == 0 && socket.ReadState(cn.Conn) != socket.Unread {
		return false
	}
	cn.idleSince = time.Now()
	p.noteUnsolicited(cn, BehindResponse)
	return true
}

// sleep waits for a time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// restingSince returns when the connection was opened, or when its last response was read.
func (c *Conn) restingSince() time.Time {
	if c.carried == 0 || c.idleSince.IsZero() {
		return c.opened
	}
	return c.idleSince
}

// noteUnsolicited counts and logs unsolicited bytes. The connection is closed by the caller. In the log
// arrived_after counts from the end of the last response as it was read here. If last_response_took is less than
// the backend needs, that response was itself a late copy, and the bytes are the response to the last request.
func (p *Pool) noteUnsolicited(cn *Conn, where Place) {
	p.Unsolicited[where].Add(1)
	now := time.Now()
	after := time.Duration(0)
	if silentFor, known := socket.SinceLastData(cn.Conn); known {
		after = max(now.Sub(cn.restingSince())-silentFor, 0)
	}
	p.caution.unsolicited(cn.key.Backend, where, after, now)
	p.confirmations.reset()
	if p.unsolicitedLog.Allow() {
		attrs := []any{
			"backend", cn.addr, "place", where.String(), "connection", cn.id, "requests_carried", cn.carried,
			"age", now.Sub(cn.opened), "resting", now.Sub(cn.restingSince()), "arrived_after", after,
		}
		if cn.carried > 0 {
			attrs = append(attrs, "last_response_took", cn.responseTook)
		}
		// The caller may hold the pool's lock, and writing blocks if the reader of the log does not keep up.
		go slog.Warn("backend sent bytes that answer no request", attrs...)
	}
}

// idleTime returns how long the connection has been idle, 0 if it has carried no request.
func (c *Conn) idleTime() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}
