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
	// connectTimeout bounds a connect, and the time until a server has taken the session up.
	connectTimeout = time.Second
	// minReconnectBackoff and mostPause bound the pause after a round of servers that all failed; it doubles and is
	// drawn evenly from its upper half.
	minReconnectBackoff, maxReconnectBackoff = 20 * time.Millisecond, 2 * time.Second
	// authFailureBackoff is how long one waits whose authentication was not taken.
	authFailureBackoff = 5 * time.Second
	// defaultResetAfter is, by default, after how long of servers that refuse us, as they have seen less than we have, the
	// registry is taken for one that began anew.
	defaultResetAfter = 30 * time.Second
	// minSessionTimeout bounds from below what a server may make of a session's time; a longer one than was asked
	// for is good for the server, and not waited for here.
	minSessionTimeout = 30 * time.Millisecond
	// retryInterval is how often what was denied is asked for again.
	retryInterval = time.Second
)

var (
	errServerBehind    = errors.New("the server has seen less than we have")
	errHandshakeClosed = errors.New("the server hung up on the session")
	errMalformedFrame  = errors.New("what came can't be read")
)

// request is one to be sent; done gets its reply, if the connection lives so long.
type request struct {
	op      zkwire.Op
	xid     int32 // 0: the next number
	body    func([]byte) []byte
	onReply func(h zkwire.ReplyHeader, r *zkwire.Reader) error
}

// handler is what a session is for. All methods are called from the session's goroutine.
type handler interface {
	connected(renewed bool, zxid int64)
	nextRequest() (request, bool)
	handleEvent(zkwire.WatchEvent)
	retry()               // what was denied may be asked for again
	flush()               // a batch of what came is over
	replyReceived()       // the registry showed that it lives
	connectionLost(error) // the connection was lost, or did not come up
	finished() bool       // nothing more is wanted: the session is to be closed
}

// session keeps one session with a registry over one connection at a time.
type session struct {
	servers          []string
	requestedTimeout time.Duration // that is asked for
	auth             string        // "user:password"; "": none
	readOnly         bool
	maxFrameBytes    int // bound, in bytes
	handler          handler

	resetAfter time.Duration // 0: forgetAfter
	maxBackoff time.Duration // 0: mostPause

	id          int64
	password    []byte
	zxid        int64 // last change that a server let us see
	behindSince time.Time
}

// run keeps the session until ctx ends, or the handler has. It closes it then.
func (s *session) run(ctx context.Context) {
	rand.Shuffle(len(s.servers), func(i, j int) { s.servers[i], s.servers[j] = s.servers[j], s.servers[i] })
	failed, pause := 0, minReconnectBackoff
	for i := 0; ctx.Err() == nil && !s.handler.finished(); i++ {
		served, err := s.serveOne(ctx, s.servers[i%len(s.servers)])
		if ctx.Err() != nil || s.handler.finished() {
			return
		}
		s.handler.connectionLost(fmt.Errorf("%s: %w", s.servers[i%len(s.servers)], err))
		s.handler.flush()
		if served {
			failed, pause = 0, minReconnectBackoff
			continue
		}
		wait := time.Duration(0)
		switch failed++; {
		case errors.Is(err, zkwire.AuthFailed):
			wait = authFailureBackoff
		case errors.Is(err, zkwire.SessionExpired):
			continue
		case failed%len(s.servers) == 0:
			wait = pause/2 + rand.N(pause/2+1)
			pause = min(2*pause, cmp.Or(s.maxBackoff, maxReconnectBackoff))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// serveOne is one connection. It returns how it ended, and whether the session was up on it.
func (s *session) serveOne(ctx context.Context, addr string) (served bool, err error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		s.behindSince = time.Time{}
		return false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Now().Add(connectTimeout / 4)) })
	defer stop()
	nc.SetDeadline(time.Now().Add(connectTimeout))
	hello := zkwire.Connect{LastZxid: s.zxid, TimeoutMs: int32(s.requestedTimeout.Milliseconds()), Session: s.id, Password: s.password,
		ReadOnly: s.readOnly, HasReadOnly: true}
	if s.id == 0 {
		hello.Password = make([]byte, 16)
	}
	if _, err := nc.Write(zkwire.Frame(hello.AppendRequest)); err != nil {
		return false, err
	}
	br := bufio.NewReaderSize(nc, 16<<10)
	b, err := readFrame(br, s.maxFrameBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && s.zxid > 0 {
			return false, s.serverBehind(errHandshakeClosed)
		}
		return false, err
	}
	r := zkwire.NewReader(b)
	answer := r.Connect(false)
	if r.Err() != nil {
		return false, fmt.Errorf("%w: %w", errMalformedFrame, r.Err())
	}
	if answer.TimeoutMs <= 0 {
		s.id, s.password = 0, nil
		return false, zkwire.SessionExpired
	}
	renewed := s.id != 0 && s.id == answer.Session
	if s.id, s.password = answer.Session, answer.Password; answer.ReadOnly {
		s.id, s.password = 0, nil // nobody else knows it
	}
	c := &connection{session: s, conn: nc, writer: bufio.NewWriterSize(nc, 16<<10), timeout: min(max(time.Duration(answer.TimeoutMs)*time.Millisecond, minSessionTimeout), max(s.requestedTimeout, minSessionTimeout))}
	return c.serve(ctx, br, renewed)
}

// serverBehind notes that a server did not take us, as it has seen less than we have. After long enough of that
// the registry is another one: nothing it says is older than anything we know.
func (s *session) serverBehind(err error) error {
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	} else if time.Since(s.behindSince) > cmp.Or(s.resetAfter, defaultResetAfter) {
		s.zxid, s.id, s.password, s.behindSince = 0, 0, nil, time.Time{}
	}
	return err
}

// connection is a session's while it is up.
type connection struct {
	session       *session
	conn          net.Conn
	writer        *bufio.Writer
	timeout       time.Duration
	xid           int32
	pending       []request // in the order in which replies come
	silent        bool      // nothing has come on it
	eventsInBatch bool      // an event came in this batch
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
		c.conn.Close()
		<-ended
	}()
	// A server that says nothing for two thirds of the session's time is left while there is time to go
	// to another.
	c.conn.SetDeadline(time.Time{})
	go func() {
		defer close(ended)
		for {
			c.conn.SetReadDeadline(time.Now().Add(c.timeout * 2 / 3))
			b, err := readFrame(br, c.session.maxFrameBytes)
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
	c.silent = true
	if c.session.auth != "" {
		c.send(request{op: zkwire.OpAuth, xid: zkwire.XidAuth, body: func(b []byte) []byte {
			return zkwire.AppendBuffer(zkwire.AppendString(zkwire.AppendInt(b, 0), "digest"), []byte(c.session.auth))
		}})
	}
	c.session.handler.connected(renewed, c.session.zxid)
	ping := time.NewTicker(c.timeout / 3)
	defer ping.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if err := c.sendQueued(); err != nil {
			return !c.silent, err
		}
		if c.session.handler.finished() {
			return true, c.closeSession(func() (incomingFrame, bool) {
				x, ok := <-frames
				return incomingFrame(x), ok && x.err == nil
			})
		}
		select {
		case f := <-frames:
			// What has come meanwhile is one batch.
			for more := true; more; {
				if f.err != nil {
					c.session.handler.flush()
					return !c.silent, f.err
				}
				if err := c.handleFrame(f.b); err != nil {
					c.session.handler.flush()
					return !c.silent, err
				}
				select {
				case f = <-frames:
				default:
					more = false
				}
			}
			c.session.handler.flush()
			if c.eventsInBatch && len(c.pending) == 0 {
				// Events do not say how far the server has come; the next reply does.
				c.send(request{op: zkwire.OpPing, xid: zkwire.XidPing})
			}
			c.eventsInBatch = false
		case <-ping.C:
			c.send(request{op: zkwire.OpPing, xid: zkwire.XidPing})
		case <-retry.C:
			c.session.handler.retry()
		case <-ctx.Done():
			c.closeSession(nil)
			return !c.silent, ctx.Err()
		}
	}
}

type incomingFrame struct {
	b   []byte
	err error
}

// closeSession closes the session, so that its nodes go at once and not when it times out.
func (c *connection) closeSession(next func() (incomingFrame, bool)) error {
	c.send(request{op: zkwire.OpCloseSession})
	c.conn.SetWriteDeadline(time.Now().Add(connectTimeout / 4))
	err := c.writer.Flush()
	for next != nil && err == nil {
		f, ok := next()
		if !ok {
			break
		}
		if r := zkwire.NewReader(f.b); r.ReplyHeader().Xid == c.xid {
			break
		}
	}
	c.session.id, c.session.password = 0, nil
	return err
}

// sendQueued sends what the handler wants sent.
func (c *connection) sendQueued() error {
	for {
		r, ok := c.session.handler.nextRequest()
		if !ok {
			break
		}
		c.send(r)
	}
	if c.writer.Buffered() == 0 {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.timeout / 3))
	return c.writer.Flush()
}

// send writes a request into the buffer. An error of the connection shows at the flush.
func (c *connection) send(r request) {
	if r.xid == 0 {
		c.xid++
		r.xid = c.xid
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.timeout / 3))
	c.writer.Write(zkwire.Frame(func(b []byte) []byte {
		if b = zkwire.AppendRequest(b, r.xid, r.op); r.body != nil {
			b = r.body(b)
		}
		return b
	}))
	if r.xid > 0 || r.xid == zkwire.XidSetWatches {
		c.pending = append(c.pending, r)
	}
}

// handleFrame takes one frame.
func (c *connection) handleFrame(b []byte) error {
	r := zkwire.NewReader(b)
	h := r.ReplyHeader()
	if r.Err() != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, r.Err())
	}
	if h.Xid == zkwire.XidEvent {
		e := r.WatchEvent()
		if r.Err() != nil {
			return fmt.Errorf("%w: %w", errMalformedFrame, r.Err())
		}
		c.eventsInBatch = true
		c.session.handler.handleEvent(e)
		return nil
	}
	if h.Err == zkwire.SessionExpired {
		c.session.id, c.session.password = 0, nil
		return zkwire.SessionExpired
	}
	// Going back in time would bring back servers that are gone.
	if h.Zxid > 0 && h.Zxid < c.session.zxid {
		return c.session.serverBehind(errServerBehind)
	}
	c.session.zxid, c.session.behindSince = max(c.session.zxid, h.Zxid), time.Time{}
	c.silent = false
	c.session.handler.replyReceived()
	switch h.Xid {
	case zkwire.XidPing:
		return nil
	case zkwire.XidAuth:
		if h.Err != zkwire.OK {
			return h.Err
		}
		return nil
	}
	if len(c.pending) == 0 || c.pending[0].xid != h.Xid {
		return fmt.Errorf("%w: a reply to no request, or out of turn", errMalformedFrame)
	}
	q := c.pending[0]
	c.pending = c.pending[1:]
	if q.onReply == nil {
		return nil
	}
	if err := q.onReply(h, r); err != nil {
		return err
	}
	if r.Err() != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, r.Err())
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
		return nil, fmt.Errorf("%w: a frame of %d bytes, at most %d", errMalformedFrame, n, most)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(br, b)
	return b, err
}
