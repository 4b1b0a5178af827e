// Package thrift makes attempts over Thrift. It is the upstream for calls that were received by the Thrift
// downstream. It forwards the bytes of a call unchanged, except for a sequence id of its own, with the
// transport and protocol of the client, and reads one reply. A connection carries one call at a time and is
// closed if anything but the reply to that call arrives. The package makes no decisions.
package thrift

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

// exceptionCodePath is the path of the code in an application exception.
var exceptionCodePath = thriftwire.Path{2}

// Call is the payload of a core.Call over Thrift.
type Call struct {
	Message   []byte // the complete message, without a frame length
	Head      thriftwire.Message
	Transport thriftwire.Transport
	OneWay    bool // the call has no reply
	NeverRan  NeverRan
}

// NeverRan lists the replies which prove that a call did not run.
type NeverRan struct {
	Exceptions []int16 // field ids of declared exceptions in the result struct
	Codes      []int32 // codes of application exceptions
}

// Reply is a complete reply. The downstream replaces its sequence id by the client's.
type Reply struct {
	Message []byte
	Head    thriftwire.Message
}

// Upstream makes attempts over Thrift. Its methods are safe for concurrent use.
type Upstream struct {
	Pool   *conns.Pool
	Budget *semaphore.Weighted // memory for replies over unreservedBytes
	Limits thriftwire.Limits   // of replies

	lastSeq atomic.Int32
}

// CloseIdle closes the idle connections to a backend.
func (u *Upstream) CloseIdle(b *core.Backend) { u.Pool.CloseIdle(b) }

// CloseExpired closes connections that have been idle for too long.
func (u *Upstream) CloseExpired() { u.Pool.CloseExpired() }

// Do makes one attempt. The payload of the call must be a *Call.
func (u *Upstream) Do(
	ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time,
) core.Result {
	c := cc.Payload.(*Call)
	seq := u.lastSeq.Add(1)
	x := conns.Exchange{
		ID:            cc.ID,
		Key:           conns.Key{Backend: b, Kind: c.connKind()},
		Addr:          addr,
		Sent:          sent,
		Deadline:      deadline,
		StartBefore:   cc.RetryBefore,
		Superseded:    &cc.Superseded,
		Incarnation:   cc.Incarnation,
		Disconnected:  cc.Disconnected,
		Budget:        u.Budget,
		MatchedByID:   true,
		EncodeRequest: func() net.Buffers { return c.encode(seq) },
	}
	if !c.OneWay {
		x.ReadResponse = func(cn *conns.Conn, reserve func(int64) error) (core.Result, bool, error) {
			reply, err := u.readReply(cn.Reader, c, seq, reserve)
			if err != nil {
				return core.Result{}, false, err
			}
			return c.result(reply), true, nil
		}
	}
	return u.Pool.Do(ctx, &x)
}

// connKind returns the pool's number for the call's transport and protocol. It is never 0, the number of
// HTTP.
func (c *Call) connKind() uint8 { return uint8(c.Transport)<<4 | uint8(c.Head.Protocol) }

// encode returns the encoded call with the given sequence id.
func (c *Call) encode(seq int32) net.Buffers {
	var head []byte
	if c.Transport == thriftwire.Framed {
		head = make([]byte, frameLengthBytes, frameLengthBytes+c.Head.Body)
	}
	head = c.Head.AppendHeadWithSeq(head, c.Message, seq)
	rest := c.Head.Rest(c.Message)
	if c.Transport == thriftwire.Framed {
		binary.BigEndian.PutUint32(head, uint32(len(head)-frameLengthBytes+len(rest)))
	}
	return net.Buffers{head, rest}
}

// result returns the outcome of an attempt with a complete reply.
func (c *Call) result(reply *Reply) core.Result {
	result := core.Result{Status: policy.OK, Reply: reply}
	switch {
	case reply.Head.Kind == thriftwire.Exception:
		code := reply.Head.Fields[0] // of exceptionCodePath
		result.Status = c.exceptionStatus(int32(code.Int))
		result.BadRequest = result.Status == policy.Cancelled
	case reply.Head.FirstFieldID > 0 && slices.Contains(c.NeverRan.Exceptions, int16(reply.Head.FirstFieldID)):
		result.Status = policy.Rejected
	}
	return result
}

// exceptionStatus returns the outcome of an attempt whose reply is an application exception with this code.
func (c *Call) exceptionStatus(code int32) policy.Status {
	switch {
	case slices.Contains(c.NeverRan.Codes, code):
		return policy.Rejected
	case code == thriftwire.UnknownMethod:
		return policy.Cancelled // every backend would reply this way, so this one is not at fault
	}
	return policy.Error
}

// readReply reads one reply and checks that it belongs to the call.
func (u *Upstream) readReply(br *bufio.Reader, c *Call, seq int32, reserve func(int64) error) (*Reply, error) {
	msg, head, err := Read(br, c.Transport, u.Limits, []thriftwire.Path{exceptionCodePath}, reserve)
	if IsUnreadable(err) {
		return nil, conns.MalformedResponse("%v", err)
	}
	if err != nil {
		return nil, err
	}
	switch {
	case head.Protocol != c.Head.Protocol:
		return nil, conns.MalformedResponse("%v reply to a %v call", head.Protocol, c.Head.Protocol)
	case head.Kind != thriftwire.Reply && head.Kind != thriftwire.Exception:
		return nil, conns.MalformedResponse("unexpected message type %d", head.Kind)
	case head.Seq != seq:
		return nil, conns.MalformedResponse("reply has sequence id %d, the call has %d", head.Seq, seq)
	case string(head.Name) != string(c.Head.Name) && string(head.Name) != unqualifiedName(c.Head.Name):
		return nil, conns.MalformedResponse("reply to another method")
	}
	return &Reply{msg, head}, nil
}

// unqualifiedName returns the name of a method without its service. Some servers use only that in replies.
func unqualifiedName(name []byte) string {
	if i := slices.Index(name, ':'); i >= 0 {
		return string(name[i+1:])
	}
	return string(name)
}
