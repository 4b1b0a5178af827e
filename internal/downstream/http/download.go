package http

import (
	"context"
	"net"
	"time"
)

const (
	// lateAnswerSlack is how long after the time of a request its answer may still be of use to the client.
	lateAnswerSlack = 500 * time.Millisecond
	// slowReadGracePeriod is how long the writes of one answer may block altogether until the client counts as slow.
	slowReadGracePeriod = 250 * time.Millisecond
)

// download is a reply that is forwarded as it arrives. Its connection may be evicted once the client has been slow to
// read it, or its time is over.
type download struct {
	conns      *clientConns
	conn       net.Conn
	late       *time.Timer
	slow       *time.Timer // runs while a write blocks
	blockedFor time.Duration
	ended      bool // guarded by the lock of conns
}

// downloadBegins records that a reply is forwarded on the connection of a request with a deadline. The caller calls
// end once it has ended.
func (c *clientConns) downloadBegins(ctx context.Context, deadline time.Time) *download {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	d := &download{conns: c, conn: nc}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addStream(nc)
	if conn := c.conns[nc]; conn != nil {
		conn.answering = true
	}
	c.evictExcess()
	d.late = time.AfterFunc(time.Until(deadline)+lateAnswerSlack, d.makeEvictable)
	d.slow = time.AfterFunc(slowReadGracePeriod, d.makeEvictable)
	d.slow.Stop()
	return d
}

// makeEvictable allows the eviction of the connection until the reply has ended.
func (d *download) makeEvictable() {
	d.conns.mu.Lock()
	defer d.conns.mu.Unlock()
	conn := d.conns.conns[d.conn]
	if d.ended || conn == nil || conn.element != nil {
		return
	}
	d.conns.setEvictable(d.conn, slowAnswer)
	d.conns.evictExcess()
}

// write runs a write to the client, and measures for how long it blocks.
func (d *download) write(write func() error) error {
	start := time.Now()
	d.slow.Reset(max(slowReadGracePeriod-d.blockedFor, 0))
	err := write()
	d.slow.Stop()
	d.blockedFor += time.Since(start)
	return err
}

// end records that the reply has ended.
func (d *download) end() {
	d.late.Stop()
	d.slow.Stop()
	d.conns.mu.Lock()
	defer d.conns.mu.Unlock()
	d.ended = true
	d.conns.setBusy(d.conn)
	if conn := d.conns.conns[d.conn]; conn != nil {
		conn.answering = false
	}
}
