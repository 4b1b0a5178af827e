package conns

import (
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/core"
)

// A response over HTTP is matched to its request by its position on the connection alone: nothing in it names
// the request. Bytes that a backend sends unasked, on a new connection or behind a response, are therefore
// read as the next response, and every later response on the connection is one behind. Only time separates
// them: what arrives while no request is in flight answers none. So connections rest before a request is
// written where the position is less certain, and one on which anything arrives meanwhile is closed: new ones,
// those whose first response was just read, and all of them after unsolicited bytes.
const (
	// newConnRest is how long a new connection rests before its first request, firstNewConnRest how long the
	// first ones of the process do, as nothing is known of its backends yet.
	newConnRest, firstNewConnRest = 5 * time.Millisecond, 25 * time.Millisecond
	// firstNewConns is the number of first connections that have to stay silent.
	firstNewConns = 32
	// unsettledRest is how long a connection rests after its first response.
	unsettledRest = 50 * time.Millisecond
	// maxRestWait and maxSuspectRestWait are how long a request waits for the rest of an idle connection
	// before another one is opened: usually, and after unsolicited bytes.
	maxRestWait, maxSuspectRestWait = unsettledRest, 40 * time.Millisecond
	// suspectNewConnRest and suspectIdleRest are the least rests after unsolicited bytes: of new connections,
	// and of those that had a response.
	suspectNewConnRest, suspectIdleRest = 25 * time.Millisecond, 50 * time.Millisecond
	// maxNewConnRest and maxIdleRest bound the rests after unsolicited bytes that came later than that. Bytes
	// that came later still do not belong to a request, as the message with which a server ends an idle time.
	maxNewConnRest, maxIdleRest = 200 * time.Millisecond, time.Second
	// suspicionPeriod is how long connections rest longer after unsolicited bytes.
	suspicionPeriod = time.Minute
)

// rests is how long connections rest before a request is written.
type rests struct {
	newConn, idle time.Duration
	maxWait       time.Duration // for an idle connection to have rested
	until         time.Time     // of a backend's own rests
}

// lacking returns how long an idle connection still has to rest.
func (r rests) lacking(cn *Conn, now time.Time) time.Duration {
	rest := r.idle
	if cn.unsettled {
		rest = max(rest, unsettledRest)
	}
	return max(rest-now.Sub(cn.idleSince), 0)
}

// caution decides how long connections rest. After unsolicited bytes of one backend connections to all rest
// longer, and to that backend twice as long as its bytes took to come. Its methods are safe for concurrent
// use.
type caution struct {
	mu             sync.Mutex
	silentNewConns int       // at most firstNewConns
	suspiciousTill time.Time // of all backends
	backends       map[*core.Backend]rests
}

// rests returns how long the connections to a backend have to rest.
func (c *caution) rests(b *core.Backend, now time.Time) rests {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := rests{newConn: newConnRest, maxWait: maxRestWait}
	if now.Before(c.suspiciousTill) {
		wanted = c.backends[b].at(now)
	}
	if c.silentNewConns < firstNewConns {
		wanted.newConn = max(wanted.newConn, firstNewConnRest)
	}
	return wanted
}

// silentNewConn records that nothing came on a new connection while it rested.
func (c *caution) silentNewConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentNewConns = min(c.silentNewConns+1, firstNewConns)
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
	if c.backends == nil {
		c.backends = map[*core.Backend]rests{}
	}
	own := c.backends[b].at(now)
	own.until = c.suspiciousTill
	switch {
	case after > maxIdleRest:
		// no rest would have been long enough
	case where == BeforeFirstRequest:
		own.newConn = min(max(own.newConn, 2*after), maxNewConnRest)
	default:
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
