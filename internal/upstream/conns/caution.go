package conns

import (
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/core"
)

// A response over HTTP is matched to its request by its position on the connection alone: nothing in it names
// the request. Bytes that a backend sends unasked, on a new connection or behind a response, are therefore
// read as the next response, and every later response on the connection is one behind. Only time separates
// them: what arrives while no request is in flight answers none. So connections rest behind each response
// before the next request is written, and one on which anything arrives meanwhile is closed. They rest longer
// where the position is less certain: behind a first response, and all of them, new ones too, after unsolicited
// bytes. Responses that name their request need no rest.
const (
	// settledRest is how long a connection rests after any response: a second one may come some milliseconds
	// behind it, and the network and a busy host may delay that further.
	settledRest = 15 * time.Millisecond
	// unsettledRest is how long a connection rests after its first response.
	unsettledRest = 50 * time.Millisecond
	// maxRestWait and maxSuspectRestWait are how long a request waits for the rest of an idle connection
	// before another one is opened: usually, and after unsolicited bytes.
	maxRestWait, maxSuspectRestWait = unsettledRest, 40 * time.Millisecond
	// maxRestWaits is how long requests to a backend wait for resting connections, all together, before another one
	// is opened. It costs its server a handshake, and a place for as long as it is kept.
	maxRestWaits = 500 * time.Millisecond
	// suspectNewConnRest and suspectIdleRest are the least rests after unsolicited bytes: of new connections,
	// and of those that had a response.
	suspectNewConnRest, suspectIdleRest = 25 * time.Millisecond, 50 * time.Millisecond
	// unsolicitedNewConnRest is how long new connections rest after unsolicited bytes on a new connection to
	// any backend, maxNewConnRest how long those to the same backend do.
	unsolicitedNewConnRest, maxNewConnRest = 50 * time.Millisecond, 200 * time.Millisecond
	// maxIdleRest bounds the rest behind a response. Bytes that came later still do not belong to a request,
	// as the message with which a server ends an idle time.
	maxIdleRest = time.Second
	// suspicionPeriod is how long connections rest longer after unsolicited bytes.
	suspicionPeriod = time.Minute
)

// rests is how long connections rest before a request is written.
type rests struct {
	newConn, idle time.Duration
	maxWait       time.Duration // for an idle connection to have rested
	until         time.Time     // of a backend's own rests
}

// lacking returns how long a connection without a request still has to rest.
func (r rests) lacking(cn *Conn, now time.Time) time.Duration {
	rest := r.idle
	switch {
	case cn.carried == 0:
		rest = r.newConn
	case cn.unsettled:
		rest = max(rest, unsettledRest)
	case !cn.matchedByID:
		rest = max(rest, settledRest)
	}
	return max(rest-now.Sub(cn.restingSince()), 0)
}

// caution decides how long connections rest. After unsolicited bytes of one backend connections to all rest
// longer, and to that backend twice as long as its bytes took to come. Its methods are safe for concurrent
// use.
type caution struct {
	mu             sync.Mutex
	suspiciousTill time.Time // of all backends
	newConnsTill   time.Time // of new connections to all backends
	backends       map[*core.Backend]rests
}

// rests returns how long the connections to a backend have to rest.
func (c *caution) rests(b *core.Backend, now time.Time) rests {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := rests{maxWait: maxRestWait}
	if now.Before(c.suspiciousTill) {
		wanted = c.backends[b].at(now)
	}
	if now.Before(c.newConnsTill) {
		wanted.newConn = max(wanted.newConn, unsolicitedNewConnRest)
	}
	return wanted
}

// at returns the rests that hold at a time after unsolicited bytes of any backend.
func (r rests) at(now time.Time) rests {
	if now.Before(r.until) {
		return r
	}
	return rests{newConn: suspectNewConnRest, idle: suspectIdleRest, maxWait: maxSuspectRestWait}
}

// unsolicited makes rests longer after unsolicited bytes. after is the time between the opening of the
// connection, or its last response, and their arrival; 0 if that is not known.
func (c *caution) unsolicited(b *core.Backend, where Place, after time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspiciousTill = now.Add(suspicionPeriod)
	if where == BeforeFirstRequest {
		c.newConnsTill = c.suspiciousTill
	}
	if c.backends == nil {
		c.backends = map[*core.Backend]rests{}
	}
	own := c.backends[b].at(now)
	own.until = c.suspiciousTill
	switch {
	case where == BeforeFirstRequest:
		own.newConn = maxNewConnRest
	case after <= maxIdleRest:
		own.idle = min(max(own.idle, 2*after), maxIdleRest)
	}
	c.backends[b] = own
}

// forgetExpired drops the rests of backends that have sent nothing unasked since.
func (c *caution) forgetExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for b, own := range c.backends {
		if !now.Before(own.until) {
			delete(c.backends, b)
		}
	}
}
