package conns

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
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
func (p *Pool) isSilent(cn *Conn, where Place) bool {
	state := socket.ReadState(cn.Conn)
	if cn.Reader.Buffered() > 0 || state == socket.Unread {
		p.noteUnsolicited(cn, where)
		return false
	}
	return state == socket.Silent
}

// restIdle says whether an idle connection is usable, after the rest that it still lacks.
func (p *Pool) restIdle(ctx context.Context, cn *Conn, addr string, wanted rests, deadline time.Time) bool {
	age := time.Since(cn.idleSince)
	if cn.addr != addr || age >= p.keepalive || !p.idleAges.usable(age) || !p.isSilent(cn, WhileIdle) {
		return false
	}
	cn.ageBucket = ageBucket(age)
	return p.rest(ctx, cn, wanted.lacking(cn, time.Now()), deadline, WhileIdle) == nil
}

// rest waits for a time in which nothing may arrive on a connection, at most for a part of the time left. It
// returns ErrUnsolicited if anything arrived, and another error if the connection ended.
func (p *Pool) rest(ctx context.Context, cn *Conn, wanted time.Duration, deadline time.Time, where Place) error {
	now := time.Now()
	rest := min(wanted, deadline.Sub(now)/maxRestFraction)
	cn.rested = rest >= wanted
	if rest > 0 {
		if err := cn.awaitBytes(ctx, now.Add(rest)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return p.restEnded(ctx, cn, where, err)
		}
	}
	return nil
}

// restEnded returns why a rest ended early. err is nil if bytes arrived.
func (p *Pool) restEnded(ctx context.Context, cn *Conn, where Place, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil:
		p.noteUnsolicited(cn, where)
		return ErrUnsolicited
	}
	return fmt.Errorf("%w: %w", errClosedBeforeRequest, err)
}

// awaitBytes waits until bytes arrive, and fails with os.ErrDeadlineExceeded if none has arrived by a time.
func (c *Conn) awaitBytes(ctx context.Context, until time.Time) error {
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	err := c.SetReadDeadline(until)
	if err == nil {
		_, err = c.Reader.Peek(1)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Time{})
	}
	return err
}

// restingSince returns when the connection was opened, or when its last response was read.
func (c *Conn) restingSince() time.Time {
	if c.idleSince.IsZero() {
		return c.opened
	}
	return c.idleSince
}

// noteUnsolicited counts and logs unsolicited bytes. The connection is closed by the caller.
func (p *Pool) noteUnsolicited(cn *Conn, where Place) {
	p.Unsolicited[where].Add(1)
	now := time.Now()
	after := time.Duration(0)
	if silentFor, known := socket.SinceLastData(cn.Conn); known {
		after = max(now.Sub(cn.restingSince())-silentFor, 0)
	}
	p.caution.unsolicited(cn.key.Backend, where, after, now)
	if p.unsolicitedLog.Allow() {
		attrs := []any{
			"backend", cn.addr, "place", where.String(), "connection", cn.id, "requests_carried", cn.carried,
			"age", now.Sub(cn.opened), "resting", now.Sub(cn.restingSince()), "arrived_after", after,
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
