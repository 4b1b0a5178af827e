package thrift

import (
	"errors"
	"os"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
)

const (
	// maxQueuedCalls is how many calls of a connection are read ahead while one is open.
	maxQueuedCalls = 16
	// maxReservedCalls is the same if there is memory for them: calls that stay unread may hide that the client has
	// closed.
	maxReservedCalls = 2048
	// queuedCallBytes is what a call that is read ahead takes beside its message.
	queuedCallBytes = 512
	// disconnectPollInterval is how often the socket is polled once no more calls are read ahead.
	disconnectPollInterval = 25 * time.Millisecond
)

// handle submits one call to the core and writes the answer. It queues the messages that the client sends
// meanwhile. It returns false if the connection is to be closed.
func (s *Server) handle(c *clientConn, m *message, messages <-chan message, overloaded bool) bool {
	oneWay := m.head.Kind == thriftwire.Oneway
	if m.head.Kind != thriftwire.Call && !oneWay {
		c.pace.Charge()
		s.endBehindAnswer(c)
		return s.writeException(c, &m.head, CodeInvalidMessageType, "a message that is no call")
	}
	method := s.Table.find(m.head.Name)
	if method == nil {
		c.pace.Charge()
		return oneWay || s.writeException(c, &m.head, CodeUnknownMethod, "the method is not listed here")
	}
	oneWay = oneWay || method.oneWay
	c.pipelined = c.pipelined || c.rejecting
	if c.rejecting && !oneWay {
		c.pace.Charge()
		return s.writeException(c, &m.head, CodeRejected, rejectionText(s.RetryAfterMs))
	}
	call := s.newCall(c, m, method, oneWay)
	call.AtConnectionLimit = overloaded
	if !oneWay {
		s.setOpenCall(c, call)
	}
	submitted := make(chan *core.Request, 1)
	s.EventLoop.Post(func() { submitted <- s.EventLoop.Submit(call) })
	answer, ok := s.await(c, call, oneWay, messages)
	if !ok {
		s.EventLoop.Post(func() { s.EventLoop.ClientDisconnected(<-submitted) })
		return false
	}
	if answer.Outcome == core.Rejected {
		c.pace.Charge()
	}
	return s.answer(c, m, answer, oneWay)
}

// setOpenCall lets a shutdown end the time of the open call.
func (s *Server) setOpenCall(c *clientConn, call *core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.endOpen = func() { s.EventLoop.Post(func() { s.EventLoop.EndNow(call) }) }
}

// newCall returns the call of the core for a message.
func (s *Server) newCall(c *clientConn, m *message, method *method, oneWay bool) *core.Call {
	timeoutMs := method.timeoutMs(&m.head)
	call := &core.Call{
		ID:       "thrift-" + strconv.FormatUint(s.lastID.Add(1), 36),
		Unique:   true,
		Class:    method.class,
		Upstream: s.Upstream,
		Deadline: m.receivedAt.Add(time.Duration(timeoutMs * float64(time.Millisecond))),
		Answer:   make(chan core.Answer, 1),
		Payload: &upstream.Call{
			Message:   m.bytes,
			Head:      m.head,
			Transport: c.transport,
			OneWay:    oneWay,
			NeverRan:  method.neverRan,
		},
	}
	if method.key != noPath {
		call.Key = affinityKey(m.bytes, &m.head.Fields[method.key])
	}
	if !oneWay { // a one-way call is forwarded whenever it comes, as its client is told of no rejection
		call.ReceivedAt = m.receivedAt
		call.Disconnected = func() bool { return socket.HungUp(c.Conn) }
	}
	return call
}

// await waits for the answer. It returns false if the client has disconnected.
func (s *Server) await(c *clientConn, call *core.Call, oneWay bool, messages <-chan message) (core.Answer, bool) {
	var poll <-chan time.Time
	for {
		if s.queueFull(c) {
			messages = nil // further messages stay unread
		}
		if messages == nil && poll == nil && !oneWay {
			ticker := time.NewTicker(disconnectPollInterval)
			defer ticker.Stop()
			poll = ticker.C
		}
		select {
		case answer := <-call.Answer:
			return answer, true
		case <-poll:
			if call.Disconnected() {
				return core.Answer{}, false
			}
		case next := <-messages:
			if isDisconnect(next.err) && !oneWay {
				s.buffers.Release(next.reserved)
				return core.Answer{}, false
			}
			c.queued = append(c.queued, next)
		}
	}
}

// isDisconnect reports whether the error of reading a message says that the client has disconnected. Any other
// one concerns that message, not the calls before it.
func isDisconnect(err error) bool {
	if err == nil || upstream.IsUnreadable(err) {
		return false
	}
	for _, ofMessage := range messageErrors {
		if errors.Is(err, ofMessage) {
			return false
		}
	}
	return true
}

// messageErrors are further errors that concern a message.
var messageErrors = []error{
	errReadingStopped, errOverBudget, os.ErrDeadlineExceeded, panics.ErrRecovered, thriftwire.ErrHTTP, thriftwire.ErrTHeader,
}

// queueFull reports whether reading ahead ends: the last message is an error, or there are maxQueuedCalls and no memory
// for the last of them.
func (s *Server) queueFull(c *clientConn) bool {
	n := len(c.queued)
	if n == 0 {
		return false
	}
	last := &c.queued[n-1]
	if last.err != nil || n >= maxReservedCalls {
		return true
	}
	if n < maxQueuedCalls || last.queueReserved {
		return false
	}
	bytes := int64(len(last.bytes) + queuedCallBytes)
	if !s.buffers.TryAcquire(bytes) {
		return true
	}
	last.reserved += bytes
	last.queueReserved = true
	return false
}

// affinityKey returns the affinity key for the value of a field. The same text has the same key in all
// downstreams.
func affinityKey(msg []byte, field *thriftwire.Field) uint64 {
	switch {
	case !field.Found || field.Type == thriftwire.String && field.Start == field.End:
		return 0
	case field.Type == thriftwire.String:
		return membership.Hash(string(msg[field.Start:field.End]))
	case field.Type == thriftwire.Bool:
		return membership.Hash(strconv.FormatBool(field.Bool))
	}
	return membership.Hash(strconv.FormatInt(int64(field.Int), 10))
}
