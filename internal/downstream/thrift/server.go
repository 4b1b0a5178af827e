package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
)

const (
	// readTimeout bounds how long a message may take to come from its first byte on, idleTime how long a
	// connection is kept between calls, writeTime what a client may take to read its reply.
	readTimeout, idleTimeout, writeTimeout = 2500 * time.Millisecond, 10 * time.Second, 2 * time.Second
	// defaultLinger is how long connections still come after the front was told to end.
	defaultLinger = 500 * time.Millisecond
	// shutdownReadTime is what a call that has begun to come may still take once the front ends.
	shutdownReadTime = 400 * time.Millisecond
	// acceptRetryDelay is how long the next accept waits behind one for which there was no descriptor.
	acceptRetryDelay = 5 * time.Millisecond
	// maxQueuedCalls is how many calls of a connection are read before their turn.
	maxQueuedCalls = 16
	// disconnectPollInterval is how often a client that has sent more calls than that is looked at while one is open.
	disconnectPollInterval = 25 * time.Millisecond
	// maxBusyFraction of the connections may have a call open: the others are for those that still bring one, which
	// could not be told anything if they were closed.
	maxBusyFraction = 7.0 / 8
)

// Types of the application exceptions by which calls end that no server answered. The first two are
// those that other implementations use for the same.
const (
	CodeRejected           = 11                            // nothing ran: trying again is harmless, after the time in the message
	CodeDeadlineExceeded   = 12                            // the time was over; it may have run
	CodeFailed             = thriftwire.InternalError      // it may have run
	CodeUnknownMethod      = thriftwire.UnknownMethod      // the method is not listed
	CodeMalformed          = thriftwire.ProtocolError      // the message can't be read
	CodeInvalidMessageType = thriftwire.InvalidMessageType // a message that is no call
)

// Server serves clients on one listener.
type Server struct {
	EventLoop    *core.EventLoop
	Upstream     core.Upstream
	Budget       *semaphore.Weighted // memory for messages over the first few KiB
	Table        *Table
	Limits       thriftwire.Limits
	MaxConns     int           // connections at once
	Linger       time.Duration // for how long Shutdown still serves as ever; 0: half a second
	RetryAfterMs float64       // when refused clients may come back, where the module says nothing

	seq      atomic.Uint64
	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	busy     int // connections with an open call
	draining bool
	wg       sync.WaitGroup
	served   chan struct{} // closed once nothing more is accepted; nil before Serve
}

// clientConn is one connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	busy   bool // a call is open; under the front's lock
	// readingCall tells that a call has begun to come, whose turn is not yet; under the front's lock.
	readingCall bool
	noCallYet   bool // no call has begun to come yet; under the front's lock
	// queued are calls that were sent before an earlier one was answered, mostAhead at the most: they are read,
	// so that a client that leaves behind them is noticed.
	queued    []message
	transport thriftwire.Transport
}

// Serve accepts clients until the listener is closed; then it returns nil.
func (f *Server) Serve(ln net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	f.mu.Lock()
	f.conns, f.served = map[*clientConn]struct{}{}, served
	f.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !isTemporary(err) {
				return fmt.Errorf("thrift: %w", err)
			}
			// Whoever idles gives way. To end would be to end the agent, and all that it holds, with it.
			f.mu.Lock()
			f.evict()
			f.mu.Unlock()
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &clientConn{Conn: nc, reader: bufio.NewReaderSize(nc, 4<<10), noCallYet: true}
		f.mu.Lock()
		if len(f.conns) >= f.MaxConns && !f.evict() {
			f.mu.Unlock()
			nc.Close()
			continue
		}
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.wg.Go(func() { f.serve(c) })
	}
}

// isTemporary tells that there was no descriptor, or no memory of the kernel's, for a connection that has come: it is still
// in the queue. One that was broken off there is none of the listener's.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// evict closes a connection without an open call, to make room. The lock is held.
func (f *Server) evict() bool {
	for c := range f.conns {
		if !c.busy {
			delete(f.conns, c)
			c.Close()
			return true
		}
	}
	return false
}

// Shutdown ends service without losing a call: it serves for Linger more, or until nobody is connected, lets
// open calls end, for held at the most, and closes each connection after its reply.
func (f *Server) Shutdown(ln net.Listener, held time.Duration) {
	if f.Linger == 0 {
		f.Linger = defaultLinger
	}
	for start := time.Now(); time.Since(start) < f.Linger; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		none := len(f.conns) == 0
		f.mu.Unlock()
		if none && time.Since(start) >= defaultLinger {
			break
		}
	}
	f.mu.Lock()
	f.draining = true
	served := f.served
	f.mu.Unlock()
	ln.Close()
	if served != nil {
		<-served // who stood in the accept queue is known from here on
	}
	now := time.Now()
	over, hurry := now.Add(held), now.Add(min(held/2, shutdownReadTime))
	for time.Now().Before(over) {
		f.mu.Lock()
		busy := 0
		for c := range f.conns {
			// A call that has come, or has begun to, is answered: who closes over it loses it. So does who closes a
			// connection that has just come, and whose call is on its way.
			if c.busy || (c.readingCall || c.noCallYet || socket.Look(c.Conn) == socket.Unread) && time.Now().Before(hurry) {
				busy++
			} else {
				c.Close()
			}
		}
		f.mu.Unlock()
		if busy == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// message is a message as it was read, or how reading ended.
type message struct {
	bytes      []byte
	head       thriftwire.Message
	receivedAt time.Time
	reserved   int64
	err        error
}

// serve answers a connection's calls in the order in which they came, one at a time: what a client sends
// ahead waits, one message of it read.
func (f *Server) serve(c *clientConn) {
	in := make(chan message)
	over := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			m := f.read(c)
			select {
			case in <- m:
			case <-over:
				f.Budget.Release(m.reserved)
				return
			}
			if m.err != nil {
				return
			}
		}
	})
	defer func() {
		close(over)
		socket.LingeringClose(c.Conn, len(c.queued) > 0)
		reader.Wait()
		for i := range c.queued {
			f.Budget.Release(c.queued[i].reserved) // never taken
		}
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		var m *message
		if len(c.queued) > 0 {
			m = &c.queued[0]
			c.queued = c.queued[1:]
		} else {
			idle.Reset(idleTimeout)
			select {
			case next := <-in:
				m = &next
			case <-idle.C:
				return
			}
		}
		if m.err != nil {
			f.rejectUnreadable(c, m)
			return
		}
		f.mu.Lock()
		c.busy, c.readingCall = true, false
		f.busy++
		crowded := float64(f.busy) > maxBusyFraction*float64(f.MaxConns)
		f.mu.Unlock()
		ok := f.handle(c, m, in, crowded)
		f.Budget.Release(m.reserved)
		f.mu.Lock()
		c.busy = false
		f.busy--
		last := f.draining
		f.mu.Unlock()
		if !ok || last {
			return
		}
	}
}

// read reads the next message.
func (f *Server) read(c *clientConn) (m message) {
	c.SetReadDeadline(time.Time{}) // who idles is closed by serve
	if c.transport == 0 {
		for n := 1; ; n++ {
			if _, err := c.reader.Peek(n); err != nil {
				m.err = err
				return m
			}
			if n == 1 {
				c.SetReadDeadline(time.Now().Add(readTimeout))
			}
			b, _ := c.reader.Peek(c.reader.Buffered())
			t, _, ok, err := thriftwire.Detect(b)
			if err != nil {
				m.err = err
				return m
			}
			if ok {
				c.transport = t
				break
			}
			n = len(b)
		}
	}
	if _, m.err = c.reader.Peek(1); m.err != nil {
		return m
	}
	f.mu.Lock()
	c.readingCall, c.noCallYet = true, false
	f.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(readTimeout))
	m.bytes, m.head, m.err = upstream.Read(c.reader, c.transport, f.Limits, f.Table.paths, func(n int64) error {
		if !f.Budget.TryAcquire(n) {
			return errOverBudget
		}
		m.reserved += n
		return nil
	})
	m.receivedAt = time.Now()
	return m
}

var errOverBudget = errors.New("thrift: no memory for a message")

// rejectUnreadable answers what can't be read, as far as it was: nothing of it was passed on.
func (f *Server) rejectUnreadable(c *clientConn, m *message) {
	f.Budget.Release(m.reserved)
	switch {
	case errors.Is(m.err, thriftwire.ErrHTTP):
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 30\r\n\r\nThis port speaks Thrift only.\n")
	case errors.Is(m.err, thriftwire.ErrTHeader):
		slog.Warn("thrift", "peer", c.RemoteAddr().String(), "err", m.err)
	case m.head.Name == nil || m.head.Kind == thriftwire.Oneway:
		// Nothing to answer to.
	case errors.Is(m.err, errOverBudget):
		f.writeException(c, &m.head, CodeRejected, rejectionText(f.RetryAfterMs))
	case upstream.IsUnreadable(m.err):
		f.writeException(c, &m.head, CodeMalformed, "the call can't be read: "+m.err.Error())
	}
}

func rejectionText(afterMs float64) string {
	return "refused: nothing ran, come back after " + strconv.FormatFloat(afterMs, 'f', 0, 64) + " ms"
}

// handle takes one call through the core, and keeps what the client sends ahead meanwhile. It returns false where the
// connection is to be closed.
func (f *Server) handle(c *clientConn, m *message, in <-chan message, crowded bool) bool {
	oneway := m.head.Kind == thriftwire.Oneway
	if m.head.Kind != thriftwire.Call && !oneway {
		f.writeException(c, &m.head, CodeInvalidMessageType, "a message that is no call")
		return false
	}
	what := f.Table.find(m.head.Name)
	oneway = oneway || what != nil && what.oneway
	if what == nil {
		return oneway || f.writeException(c, &m.head, CodeUnknownMethod, "the method is not listed here")
	}
	left := what.deadlineMs
	if what.deadline >= 0 {
		if fd := m.head.Fields[what.deadline]; fd.Found && int64(fd.Int) >= 1 && int64(fd.Int) <= maxDeadlineMs {
			left = float64(int64(fd.Int))
		}
	}
	call := &core.Call{ID: "thrift-" + strconv.FormatUint(f.seq.Add(1), 36), Unique: true, Class: what.class, Upstream: f.Upstream, NoConnections: crowded,
		Deadline: m.receivedAt.Add(time.Duration(left * float64(time.Millisecond))), Answer: make(chan core.Answer, 1),
		Payload: &upstream.Call{Message: m.bytes, Head: m.head, Transport: c.transport, OneWay: oneway, NeverRan: what.neverRan}}
	if what.key >= 0 {
		call.Key = affinityKey(m.bytes, &m.head.Fields[what.key])
	}
	if !oneway {
		call.Disconnected = func() bool { return socket.HungUp(c.Conn) }
	}
	took := make(chan *core.Request, 1)
	f.EventLoop.Post(func() { took <- f.EventLoop.Submit(call) })
	var look <-chan time.Time
	for {
		if len(c.queued) >= maxQueuedCalls || len(c.queued) > 0 && c.queued[len(c.queued)-1].err != nil {
			in = nil // what is behind waits, unread
		}
		if in == nil && look == nil && !oneway {
			every := time.NewTicker(disconnectPollInterval)
			defer every.Stop()
			look = every.C
		}
		select {
		case a := <-call.Answer:
			return f.answer(c, m, a, oneway)
		case <-look:
			if call.Disconnected() {
				f.EventLoop.Post(func() { f.EventLoop.ClientDisconnected(<-took) })
				return false
			}
		case next := <-in:
			if next.err != nil && !oneway {
				// The client has left, or sends what can't be read: nobody waits for the answer.
				f.Budget.Release(next.reserved)
				f.EventLoop.Post(func() { f.EventLoop.ClientDisconnected(<-took) })
				return false
			}
			c.queued = append(c.queued, next) // it waits for its turn
		}
	}
}

// affinityKey is the key that a field's value names: the same for the same text over all fronts.
func affinityKey(msg []byte, fd *thriftwire.Field) uint64 {
	switch {
	case !fd.Found || fd.Type == thriftwire.String && fd.Start == fd.End:
		return 0
	case fd.Type == thriftwire.String:
		return membership.Hash(string(msg[fd.Start:fd.End]))
	case fd.Type == thriftwire.Bool:
		return membership.Hash(strconv.FormatBool(fd.Bool))
	}
	return membership.Hash(strconv.FormatInt(int64(fd.Int), 10))
}

// answer writes the one answer to a call. A oneway call has none.
func (f *Server) answer(c *clientConn, m *message, a core.Answer, oneway bool) bool {
	defer f.Budget.Release(a.ReservedBytes)
	if oneway {
		return true
	}
	if r, ok := a.Reply.(*upstream.Reply); ok && (a.Outcome == core.Served || a.Reason == core.BadRequest) {
		return f.write(c, r.Head.AppendHeadWithSeq(newReplyBuffer(c.transport, len(r.Message)), r.Message, m.head.Seq), r.Head.Rest(r.Message))
	}
	switch {
	case a.Outcome == core.Rejected:
		after := a.RetryAfterMs
		if after <= 0 {
			after = f.RetryAfterMs
		}
		return f.writeException(c, &m.head, CodeRejected, rejectionText(after))
	case a.Reason == core.DeadlineExceeded:
		return f.writeException(c, &m.head, CodeDeadlineExceeded, "failed: the time was over, it may have run")
	}
	return f.writeException(c, &m.head, CodeFailed, "failed: it may have run")
}

// newReplyBuffer is where a message is begun: behind its length, where it is framed.
func newReplyBuffer(t thriftwire.Transport, size int) []byte {
	if t == thriftwire.Framed {
		return make([]byte, 4, 64+min(size, thriftwire.MaxName))
	}
	return make([]byte, 0, 64)
}

func (f *Server) writeException(c *clientConn, head *thriftwire.Message, code int32, text string) bool {
	return f.write(c, thriftwire.AppendException(newReplyBuffer(c.transport, 0), head.Protocol, head.Name, head.Seq, code, text), nil)
}

// write sends a reply that is head and rest.
func (f *Server) write(c *clientConn, head, rest []byte) bool {
	if c.transport == thriftwire.Framed {
		binary.BigEndian.PutUint32(head, uint32(len(head)-4+len(rest)))
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := net.Buffers{head, rest}
	_, err := out.WriteTo(c.Conn)
	return err == nil
}
