package ephemeral

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// connectTime bounds a connect, and the time until a server has taken the session up.
	connectTime = time.Second
	// leastPause and mostPause bound the pause after a round of servers that all failed; it doubles and is
	// drawn evenly from its upper half.
	leastPause, mostPause = 20 * time.Millisecond, 2 * time.Second
	// deniedPause is how long one waits whose authentication was not taken.
	deniedPause = 5 * time.Second
	// forgetAfter is, by default, after how long of servers that refuse us, as they have seen less than we have, the
	// registry is taken for one that began anew.
	forgetAfter = 30 * time.Second
	// leastTimeout bounds from below what a server may make of a session's time; a longer one than was asked
	// for is good for the server, and not waited for here.
	leastTimeout = 30 * time.Millisecond
	// retryEvery is how often what was denied is asked for again.
	retryEvery = time.Second
)

var (
	errBehind  = errors.New("the server has seen less than we have")
	errRefused = errors.New("the server hung up on the session")
	errSpoilt  = errors.New("what came can't be read")
)

// request is one to be sent; done gets its reply, if the connection lives so long.
type request struct {
	op   zkwire.Op
	xid  int32 // 0: the next number
	body func([]byte) []byte
	done func(h zkwire.ReplyHeader, r *zkwire.Reader) error
}

// handler is what a session is for. All methods are called from the session's goroutine.
type handler interface {
	connected(renewed bool, zxid int64)
	next() (request, bool)
	event(zkwire.WatchEvent)
	retry()      // what was denied may be asked for again
	flush()      // a batch of what came is over
	alive()      // the registry showed that it lives
	lost(error)  // the connection was lost, or did not come up
	ended() bool // nothing more is wanted: the session is to be closed
}

// session keeps one session with a registry over one connection at a time.
type session struct {
	hosts    []string
	timeout  time.Duration // that is asked for
	auth     string        // "user:password"; "": none
	readOnly bool
	frame    int // bound, in bytes
	h        handler

	forget time.Duration // 0: forgetAfter
	pause  time.Duration // 0: mostPause

	id       int64
	password []byte
	zxid     int64 // last change that a server let us see
	behind   time.Time
}

// run keeps the session until ctx ends, or the handler has. It closes it then.
func (s *session) run(ctx context.Context) {
	rand.Shuffle(len(s.hosts), func(i, j int) { s.hosts[i], s.hosts[j] = s.hosts[j], s.hosts[i] })
	failed, pause := 0, leastPause
	for i := 0; ctx.Err() == nil && !s.h.ended(); i++ {
		served, err := s.once(ctx, s.hosts[i%len(s.hosts)])
		if ctx.Err() != nil || s.h.ended() {
			return
		}
		s.h.lost(fmt.Errorf("%s: %w", s.hosts[i%len(s.hosts)], err))
		s.h.flush()
		if served {
			failed, pause = 0, leastPause
			continue
		}
		wait := time.Duration(0)
		switch failed++; {
		case errors.Is(err, zkwire.AuthFailed):
			wait = deniedPause
		case errors.Is(err, zkwire.SessionExpired):
			continue
		case failed%len(s.hosts) == 0:
			wait = pause/2 + rand.N(pause/2+1)
			pause = min(2*pause, cmp.Or(s.pause, mostPause))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// once is one connection. It returns how it ended, and whether the session was up on it.
func (s *session) once(ctx context.Context, addr string) (served bool, err error) {
	dialer := net.Dialer{Timeout: connectTime, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		s.behind = time.Time{}
		return false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Now().Add(connectTime / 4)) })
	defer stop()
	nc.SetDeadline(time.Now().Add(connectTime))
	hello := zkwire.Connect{LastZxid: s.zxid, TimeOut: int32(s.timeout.Milliseconds()), Session: s.id, Password: s.password,
		ReadOnly: s.readOnly, HasRO: true}
	if s.id == 0 {
		hello.Password = make([]byte, 16)
	}
	if _, err := nc.Write(zkwire.Frame(hello.AppendRequest)); err != nil {
		return false, err
	}
	br := bufio.NewReaderSize(nc, 16<<10)
	b, err := readFrame(br, s.frame)
	if err != nil {
		if errors.Is(err, io.EOF) && s.zxid > 0 {
			return false, s.refused(errRefused)
		}
		return false, err
	}
	r := zkwire.NewReader(b)
	answer := r.Connect(false)
	if r.Err() != nil {
		return false, fmt.Errorf("%w: %w", errSpoilt, r.Err())
	}
	if answer.TimeOut <= 0 {
		s.id, s.password = 0, nil
		return false, zkwire.SessionExpired
	}
	renewed := s.id != 0 && s.id == answer.Session
	if s.id, s.password = answer.Session, answer.Password; answer.ReadOnly {
		s.id, s.password = 0, nil // nobody else knows it
	}
	c := &connection{s: s, nc: nc, w: bufio.NewWriterSize(nc, 16<<10), timeout: min(max(time.Duration(answer.TimeOut)*time.Millisecond, leastTimeout), max(s.timeout, leastTimeout))}
	return c.serve(ctx, br, renewed)
}

// refused notes that a server did not take us, as it has seen less than we have. After long enough of that
// the registry is another one: nothing it says is older than anything we know.
func (s *session) refused(err error) error {
	if s.behind.IsZero() {
		s.behind = time.Now()
	} else if time.Since(s.behind) > cmp.Or(s.forget, forgetAfter) {
		s.zxid, s.id, s.password, s.behind = 0, 0, nil, time.Time{}
	}
	return err
}

// connection is a session's while it is up.
type connection struct {
	s       *session
	nc      net.Conn
	w       *bufio.Writer
	timeout time.Duration
	xid     int32
	out     []request // in the order in which replies come
	fresh   bool      // nothing has come on it
	events  bool      // an event came in this batch
}

func (c *connection) serve(ctx context.Context, br *bufio.Reader, renewed bool) (served bool, err error) {
	type incoming struct {
		b   []byte
		err error
	}
	frames, over := make(chan incoming, 4), make(chan struct{})
	ended := make(chan struct{})
	defer func() {
		close(over)
		c.nc.Close()
		<-ended
	}()
	// A server that says nothing for two thirds of the session's time is left while there is time to go
	// to another.
	c.nc.SetDeadline(time.Time{})
	go func() {
		defer close(ended)
		for {
			c.nc.SetReadDeadline(time.Now().Add(c.timeout * 2 / 3))
			b, err := readFrame(br, c.s.frame)
			select {
			case frames <- incoming{b, err}:
			case <-over:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	c.fresh = true
	if c.s.auth != "" {
		c.send(request{op: zkwire.OpAuth, xid: zkwire.XidAuth, body: func(b []byte) []byte {
			return zkwire.AppendBuffer(zkwire.AppendString(zkwire.AppendInt(b, 0), "digest"), []byte(c.s.auth))
		}})
	}
	c.s.h.connected(renewed, c.s.zxid)
	ping := time.NewTicker(c.timeout / 3)
	defer ping.Stop()
	retry := time.NewTicker(retryEvery)
	defer retry.Stop()
	for {
		if err := c.pump(); err != nil {
			return !c.fresh, err
		}
		if c.s.h.ended() {
			return true, c.bye(func() (incomingFrame, bool) {
				x, ok := <-frames
				return incomingFrame(x), ok && x.err == nil
			})
		}
		select {
		case f := <-frames:
			// What has come meanwhile is one batch.
			for more := true; more; {
				if f.err != nil {
					c.s.h.flush()
					return !c.fresh, f.err
				}
				if err := c.take(f.b); err != nil {
					c.s.h.flush()
					return !c.fresh, err
				}
				select {
				case f = <-frames:
				default:
					more = false
				}
			}
			c.s.h.flush()
			if c.events && len(c.out) == 0 {
				// Events do not say how far the server has come; the next reply does.
				c.send(request{op: zkwire.OpPing, xid: zkwire.XidPing})
			}
			c.events = false
		case <-ping.C:
			c.send(request{op: zkwire.OpPing, xid: zkwire.XidPing})
		case <-retry.C:
			c.s.h.retry()
		case <-ctx.Done():
			c.bye(nil)
			return !c.fresh, ctx.Err()
		}
	}
}

type incomingFrame struct {
	b   []byte
	err error
}

// bye closes the session, so that its nodes go at once and not when it times out.
func (c *connection) bye(next func() (incomingFrame, bool)) error {
	c.send(request{op: zkwire.OpCloseSession})
	c.nc.SetWriteDeadline(time.Now().Add(connectTime / 4))
	err := c.w.Flush()
	for next != nil && err == nil {
		f, ok := next()
		if !ok {
			break
		}
		if r := zkwire.NewReader(f.b); r.ReplyHeader().Xid == c.xid {
			break
		}
	}
	c.s.id, c.s.password = 0, nil
	return err
}

// pump sends what the handler wants sent.
func (c *connection) pump() error {
	for {
		r, ok := c.s.h.next()
		if !ok {
			break
		}
		c.send(r)
	}
	if c.w.Buffered() == 0 {
		return nil
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.timeout / 3))
	return c.w.Flush()
}

// send writes a request into the buffer. An error of the connection shows at the flush.
func (c *connection) send(r request) {
	if r.xid == 0 {
		c.xid++
		r.xid = c.xid
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.timeout / 3))
	c.w.Write(zkwire.Frame(func(b []byte) []byte {
		if b = zkwire.AppendRequest(b, r.xid, r.op); r.body != nil {
			b = r.body(b)
		}
		return b
	}))
	if r.xid > 0 || r.xid == zkwire.XidSetWatches {
		c.out = append(c.out, r)
	}
}

// take takes one frame.
func (c *connection) take(b []byte) error {
	r := zkwire.NewReader(b)
	h := r.ReplyHeader()
	if r.Err() != nil {
		return fmt.Errorf("%w: %w", errSpoilt, r.Err())
	}
	if h.Xid == zkwire.XidEvent {
		e := r.WatchEvent()
		if r.Err() != nil {
			return fmt.Errorf("%w: %w", errSpoilt, r.Err())
		}
		c.events = true
		c.s.h.event(e)
		return nil
	}
	if h.Err == zkwire.SessionExpired {
		c.s.id, c.s.password = 0, nil
		return zkwire.SessionExpired
	}
	// Going back in time would bring back servers that are gone.
	if h.Zxid > 0 && h.Zxid < c.s.zxid {
		return c.s.refused(errBehind)
	}
	c.s.zxid, c.s.behind = max(c.s.zxid, h.Zxid), time.Time{}
	c.fresh = false
	c.s.h.alive()
	switch h.Xid {
	case zkwire.XidPing:
		return nil
	case zkwire.XidAuth:
		if h.Err != zkwire.OK {
			return h.Err
		}
		return nil
	}
	if len(c.out) == 0 || c.out[0].xid != h.Xid {
		return fmt.Errorf("%w: a reply to no request, or out of turn", errSpoilt)
	}
	q := c.out[0]
	c.out = c.out[1:]
	if q.done == nil {
		return nil
	}
	if err := q.done(h, r); err != nil {
		return err
	}
	if r.Err() != nil {
		return fmt.Errorf("%w: %w", errSpoilt, r.Err())
	}
	return nil
}

// readFrame reads one frame; what claims to be larger than the bound is not read.
func readFrame(br *bufio.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(br, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(most) {
		return nil, fmt.Errorf("%w: a frame of %d bytes, at most %d", errSpoilt, n, most)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(br, b)
	return b, err
}
