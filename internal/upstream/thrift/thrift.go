// Package thrift makes attempts in Thrift: it is the core's upstream for calls that came by the front of
// that name. It passes a call's bytes on as they are, with a sequence id of its own, in the transport and
// protocol in which they came, and reads one reply. A connection carries one call at a time; one that
// brings anything but the reply to its call is closed. It decides nothing.
package thrift

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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

// Call is what the front hands on with a core.Call.
type Call struct {
	Message   []byte // whole, without a frame's length
	Head      thriftwire.Message
	Transport thriftwire.Transport
	OneWay    bool // no answer will come
	NeverRan  NeverRan
}

// NeverRan tells which answers prove that a call did not run.
type NeverRan struct {
	Exceptions []int16 // ids of declared exceptions in the result's struct
	Codes      []int32 // of application exceptions
}

// Reply is a server's whole reply; the front gives it the client's sequence id.
type Reply struct {
	Message []byte
	Head    thriftwire.Message
}

// Upstream makes attempts.
type Upstream struct {
	Pool   *conns.Pool
	Budget *semaphore.Weighted // memory for replies over free bytes
	Limits thriftwire.Limits   // of replies

	lastSeq atomic.Int32
}

// unreservedBytes is what a reply may take of memory without asking for it, and what is read at once.
const unreservedBytes = 4 << 10

// unreadableError marks what Read could not take for a message, whoever sent it.
type unreadableError struct{ error }

func (u unreadableError) Unwrap() error { return u.error }

func unreadablef(format string, args ...any) error {
	return unreadableError{fmt.Errorf("%w: %s", thriftwire.ErrMalformed, fmt.Sprintf(format, args...))}
}

// connKind numbers what is spoken on a connection, for the pool; 0 is HTTP's.
func connKind(c *Call) uint8 { return uint8(c.Transport)<<4 | uint8(c.Head.Protocol) }

// CloseIdle closes the idle connections to a backend.
func (u *Upstream) CloseIdle(b *core.Backend) { u.Pool.CloseIdle(b) }

// CloseExpired closes connections that have idled too long.
func (u *Upstream) CloseExpired() { u.Pool.CloseExpired() }

// Do makes one attempt.
func (u *Upstream) Do(ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time) core.Result {
	c := cc.Payload.(*Call)
	seq := u.lastSeq.Add(1)
	x := conns.Exchange{Key: conns.Key{Backend: b, Kind: connKind(c)}, Addr: addr, Sent: sent, Deadline: deadline, StartBefore: cc.RetryBefore, Superseded: &cc.Superseded, Disconnected: cc.Disconnected, Budget: u.Budget,
		EncodeRequest: func() net.Buffers { return c.encode(seq) },
		ReadResponse: func(cn *conns.Conn, reserve func(int64) error) (core.Result, bool, error) {
			reply, err := u.read(cn.Reader, c, seq, reserve)
			if err != nil {
				return core.Result{}, false, err
			}
			return c.result(reply), true, nil
		}}
	if c.OneWay {
		x.ReadResponse = nil
	}
	return u.Pool.Do(ctx, &x)
}

// encode are the call as it goes out, under this sequence id.
func (c *Call) encode(seq int32) net.Buffers {
	var head []byte
	if c.Transport == thriftwire.Framed {
		head = make([]byte, 4, 4+c.Head.Body)
	}
	head = c.Head.AppendHeadWithSeq(head, c.Message, seq)
	rest := c.Head.Rest(c.Message)
	if c.Transport == thriftwire.Framed {
		binary.BigEndian.PutUint32(head, uint32(len(head)-4+len(rest)))
	}
	return net.Buffers{head, rest}
}

// result is what a whole reply says of the call.
func (c *Call) result(reply *Reply) core.Result {
	res := core.Result{Status: policy.OK, Reply: reply}
	switch {
	case reply.Head.Kind == thriftwire.Exception:
		code := int32(reply.Head.Fields[0].Int)
		switch {
		case slices.Contains(c.NeverRan.Codes, code):
			res.Status = policy.Rejected
		case code == thriftwire.UnknownMethod:
			// Any other would say the same, and it is no fault of this one.
			res.Status, res.BadRequest = policy.Cancelled, true
		default:
			res.Status = policy.Error
		}
	case reply.Head.First > 0 && slices.Contains(c.NeverRan.Exceptions, int16(reply.Head.First)):
		res.Status = policy.Rejected
	}
	return res
}

// read reads one reply and checks that it is this call's.
func (u *Upstream) read(br *bufio.Reader, c *Call, seq int32, reserve func(int64) error) (*Reply, error) {
	msg, head, err := Read(br, c.Transport, u.Limits, []thriftwire.Path{{2}}, reserve)
	if IsUnreadable(err) {
		err = conns.MalformedResponse("%v", err)
	}
	if err != nil {
		return nil, err
	}
	switch {
	case head.Protocol != c.Head.Protocol:
		return nil, conns.MalformedResponse("a %v reply to a %v call", head.Protocol, c.Head.Protocol)
	case head.Kind != thriftwire.Reply && head.Kind != thriftwire.Exception:
		return nil, conns.MalformedResponse("a reply of kind %d", head.Kind)
	case head.Seq != seq:
		return nil, conns.MalformedResponse("sequence id %d, asked with %d", head.Seq, seq)
	case string(head.Name) != string(c.Head.Name) && string(head.Name) != unqualifiedName(c.Head.Name):
		return nil, conns.MalformedResponse("a reply to another method")
	}
	return &Reply{msg, head}, nil
}

// unqualifiedName is a method's name without its service: some servers answer by that.
func unqualifiedName(name []byte) string {
	if i := slices.Index(name, ':'); i >= 0 {
		return string(name[i+1:])
	}
	return string(name)
}

// Read reads one message. reserve is asked for memory beyond the first few KiB as the message grows;
// its error ends the reading. Of what is malformed or too large
// IsUnreadable is true.
func Read(br *bufio.Reader, t thriftwire.Transport, limits thriftwire.Limits, paths []thriftwire.Path, reserve func(n int64) error) ([]byte, thriftwire.Message, error) {
	r := thriftwire.NewReader(limits, paths...)
	if t == thriftwire.Framed {
		b, err := br.Peek(4)
		if err != nil {
			return nil, r.Message, truncated(br, err)
		}
		most := limits.Size
		if most <= 0 {
			most = 16 << 20
		}
		size, err := thriftwire.FrameSize(b, most)
		if err != nil {
			return nil, r.Message, unreadableError{err}
		}
		br.Discard(4)
		msg := make([]byte, min(size, unreservedBytes))
		if _, err := io.ReadFull(br, msg); err != nil {
			return nil, r.Message, err
		}
		// Who only claims a large frame holds nothing.
		if size > unreservedBytes {
			if err := reserve(int64(size)); err != nil {
				return nil, r.Message, err
			}
			msg = append(make([]byte, 0, size), msg...)[:size]
			if _, err := io.ReadFull(br, msg[unreservedBytes:]); err != nil {
				return nil, r.Message, err
			}
		}
		ok, err := r.Read(msg)
		switch {
		case err != nil:
			return nil, r.Message, unreadableError{err}
		case !ok:
			return nil, r.Message, unreadablef("a frame shorter than its message")
		case r.Size != size:
			return nil, r.Message, unreadablef("a frame of %d bytes with a message of %d", size, r.Size)
		}
		return msg, r.Message, nil
	}
	msg := make([]byte, 0, unreservedBytes)
	for {
		// One byte at least, and no more than has come: what stands behind the message is the next
		// one's.
		if _, err := br.Peek(1); err != nil {
			if len(msg) > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, r.Message, err
		}
		chunk, _ := br.Peek(br.Buffered())
		had := len(msg)
		if had+len(chunk) > cap(msg) {
			grown := max(2*cap(msg), had+len(chunk))
			if err := reserve(int64(grown - cap(msg))); err != nil {
				return nil, r.Message, err
			}
			msg = append(make([]byte, 0, grown), msg...)
		}
		msg = append(msg, chunk...)
		ok, err := r.Read(msg)
		if err != nil {
			return nil, r.Message, unreadableError{err}
		}
		if ok {
			br.Discard(r.Size - had)
			// The name may stand in an older buffer, where it stays as it is.
			return msg[:r.Size], r.Message, nil
		}
		br.Discard(len(chunk))
	}
}

// truncated makes the end of a connection in the midst of a frame's length what it is.
func truncated(br *bufio.Reader, err error) error {
	if err == io.EOF && br.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsUnreadable tells whether Read took what came for no message, as against a connection that broke.
func IsUnreadable(err error) bool {
	var u unreadableError
	return errors.As(err, &u)
}
