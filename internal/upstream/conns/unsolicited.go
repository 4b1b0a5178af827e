package conns

import (
	"log/slog"
	"sync/atomic"
	"time"
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

// unsolicitedLogRate, in lines per second, and unsolicitedLogBurst limit the log lines on unsolicited bytes.
const unsolicitedLogRate, unsolicitedLogBurst = 1, 10

// UnsolicitedCounts counts, by place, how often unsolicited bytes were found.
type UnsolicitedCounts [NumPlaces]atomic.Int64

// noteUnsolicited counts and logs unsolicited bytes. The connection is closed by the caller.
func (p *Pool) noteUnsolicited(cn *Conn, where Place) {
	p.Unsolicited[where].Add(1)
	p.mu.Lock()
	p.unexpectedAt = time.Now()
	p.mu.Unlock()
	if p.unsolicitedLog.Allow() {
		slog.Warn("backend sent bytes that answer no request", "backend", cn.addr, "connection", cn.id, "place", where.String(),
			"requests_carried", cn.carried, "age", time.Since(cn.opened), "idle", cn.idleTime())
	}
}

// idleTime returns how long the connection has been idle, 0 if it has carried no request.
func (c *Conn) idleTime() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}
