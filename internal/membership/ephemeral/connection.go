package ephemeral

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// pingsPerTimeout is how many pings are sent within the session's timeout.
	pingsPerTimeout = 3
	// retryInterval is how often handler.retry is called.
	retryInterval = time.Second
	// maxQueuedFrames bounds the frames that have been read but not handled.
	maxQueuedFrames = 4
	// authScheme is the scheme of "user:password" credentials.
	authScheme = "digest"
)

var errUnexpectedReply = errors.New("reply does not match the oldest pending request")

// connection is a session's connection after the handshake.
type connection struct {
	session *session
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	timeout time.Duration // of the session

	xid           int32     // of the last request
	pending       []request // requests without a reply, oldest first
	answered      bool      // a reply has arrived on this connection
	eventsInBatch bool      // an event has arrived in the current batch
}

// frame is the result of reading one frame.
type frame struct {
	bytes []byte
	err   error
}

// serve exchanges requests, replies and events until the connection or ctx ends. It returns why it ended and
// whether any reply arrived.
func (c *connection) serve(ctx context.Context, renewed bool) (served bool, err error) {
	frames := make(chan frame, maxQueuedFrames)
	stop := make(chan struct{})
	readerEnded := make(chan struct{})
	defer func() {
		close(stop)
		c.conn.Close()
		<-readerEnded
	}()
	c.conn.SetDeadline(time.Time{})
	go func() {
		defer close(readerEnded)
		c.readFrames(frames, stop)
	}()
	c.authenticate()
	c.session.handler.connected(renewed, c.session.zxid)
	err = c.loop(ctx, frames)
	return c.answered, err
}

// loop is the event loop of the connection.
func (c *connection) loop(ctx context.Context, frames <-chan frame) error {
	ping := time.NewTicker(c.timeout / pingsPerTimeout)
	defer ping.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if err := c.sendRequests(); err != nil {
			return err
		}
		select {
		case f := <-frames:
			if err := c.handleBatch(f, frames); err != nil {
				return err
			}
		case <-ping.C:
			c.ping()
		case <-retry.C:
			c.session.handler.retry()
		case <-ctx.Done():
			c.closeSession()
			return ctx.Err()
		}
	}
}

// readFrames reads frames until an error or stop. The connection ends if the server is silent for two thirds
// of the session's timeout, which leaves time to connect to another server before the session expires.
func (c *connection) readFrames(frames chan<- frame, stop <-chan struct{}) {
	for {
		c.conn.SetReadDeadline(time.Now().Add(c.timeout * 2 / 3))
		b, err := readFrame(c.reader, c.session.maxFrameBytes)
		select {
		case frames <- frame{b, err}:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// handleBatch handles a frame and those queued after it.
func (c *connection) handleBatch(first frame, frames <-chan frame) error {
	err := c.handleFrames(first, frames)
	c.session.handler.flush()
	if err != nil {
		return err
	}
	if c.eventsInBatch && len(c.pending) == 0 {
		c.ping() // the reply carries a transaction id, which events lack
	}
	c.eventsInBatch = false
	return nil
}

func (c *connection) handleFrames(f frame, frames <-chan frame) error {
	for {
		if f.err != nil {
			return f.err
		}
		if err := c.handleFrame(f.bytes); err != nil {
			return err
		}
		select {
		case f = <-frames:
		default:
			return nil
		}
	}
}

// handleFrame handles one event or reply.
func (c *connection) handleFrame(b []byte) error {
	r := zkwire.NewReader(b)
	header := r.ReplyHeader()
	if r.Err() != nil {
		return malformed(r.Err())
	}
	if header.Xid == zkwire.XidEvent {
		return c.handleEvent(r)
	}
	if header.Err == zkwire.SessionExpired {
		c.session.forgetSession()
		return zkwire.SessionExpired
	}
	// An older state of the registry could bring back servers that have expired.
	if header.Zxid > 0 && header.Zxid < c.session.zxid {
		c.session.noteServerBehind()
		return errServerBehind
	}
	c.session.zxid = max(c.session.zxid, header.Zxid)
	c.session.behindSince = time.Time{}
	c.answered = true
	c.session.handler.replyReceived()
	switch header.Xid {
	case zkwire.XidPing:
		return nil
	case zkwire.XidAuth:
		if header.Err != zkwire.OK {
			return header.Err
		}
		return nil
	}
	return c.handleReply(header, r)
}

func (c *connection) handleEvent(r *zkwire.Reader) error {
	event := r.WatchEvent()
	if r.Err() != nil {
		return malformed(r.Err())
	}
	c.eventsInBatch = true
	c.session.handler.handleEvent(event)
	return nil
}

// handleReply passes a reply to the oldest pending request.
func (c *connection) handleReply(header zkwire.ReplyHeader, r *zkwire.Reader) error {
	if len(c.pending) == 0 || c.pending[0].xid != header.Xid {
		return malformed(errUnexpectedReply)
	}
	q := c.pending[0]
	c.pending = c.pending[1:]
	if q.onReply == nil {
		return nil
	}
	if err := q.onReply(header, r); err != nil {
		return err
	}
	if r.Err() != nil {
		return malformed(r.Err())
	}
	return nil
}

// authenticate sends the credentials, if any are configured.
func (c *connection) authenticate() {
	if c.session.auth == "" {
		return
	}
	c.send(request{op: zkwire.OpAuth, xid: zkwire.XidAuth, body: func(b []byte) []byte {
		b = zkwire.AppendInt(b, 0) // the type, which servers ignore
		b = zkwire.AppendString(b, authScheme)
		return zkwire.AppendBuffer(b, []byte(c.session.auth))
	}})
}

func (c *connection) ping() { c.send(request{op: zkwire.OpPing, xid: zkwire.XidPing}) }

// closeSession closes the session, so that its nodes are deleted at once instead of when it times out.
func (c *connection) closeSession() {
	c.send(request{op: zkwire.OpCloseSession})
	c.conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	_ = c.writer.Flush() // on failure the session times out
	c.session.forgetSession()
}

// sendRequests sends the queued requests of the handler.
func (c *connection) sendRequests() error {
	for r, ok := c.session.handler.nextRequest(); ok; r, ok = c.session.handler.nextRequest() {
		c.send(r)
	}
	if c.writer.Buffered() == 0 {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.timeout / pingsPerTimeout))
	return c.writer.Flush()
}

// send writes a request into the buffer. The next flush returns any error.
func (c *connection) send(r request) {
	if r.xid == 0 {
		c.xid++
		r.xid = c.xid
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.timeout / pingsPerTimeout))
	c.writer.Write(zkwire.Frame(func(b []byte) []byte {
		b = zkwire.AppendRequest(b, r.xid, r.op)
		if r.body != nil {
			b = r.body(b)
		}
		return b
	}))
	if r.xid > 0 || r.xid == zkwire.XidSetWatches {
		c.pending = append(c.pending, r)
	}
}

// readFrame reads one frame. A frame larger than maxBytes is an error, and its body is not read.
func readFrame(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > uint32(maxBytes) {
		return nil, fmt.Errorf("%w: frame of %d bytes, at most %d allowed", errMalformedFrame, size, maxBytes)
	}
	b := make([]byte, size)
	_, err := io.ReadFull(reader, b)
	return b, err
}
