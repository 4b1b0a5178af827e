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
	"syscall"
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
	Oneway    bool // no answer will come
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

	seq atomic.Int32
}

// free is what a reply may take of memory without asking for it, and what is read at once.
const free = 4 << 10

// errSpoilt marks a reply that can't be read, or is another call's: the call may have run.
var errSpoilt = errors.New("thrift: spoilt reply")

func spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSpoilt, fmt.Sprintf(format, args...))
}

// unreadable marks what Read could not take for a message, whoever sent it.
type unreadable struct{ error }

func (u unreadable) Unwrap() error { return u.error }

func unread(format string, args ...any) error {
	return unreadable{fmt.Errorf("%w: %s", thriftwire.ErrMalformed, fmt.Sprintf(format, args...))}
}

// kind numbers what is spoken on a connection, for the pool; 0 is HTTP's.
func kind(c *Call) uint8 { return uint8(c.Transport)<<4 | uint8(c.Head.Protocol) }

// HangUp closes the idle connections to a backend.
func (u *Upstream) HangUp(b *core.Backend) { u.Pool.HangUp(b) }

// Sweep closes connections that have idled too long.
func (u *Upstream) Sweep() { u.Pool.Sweep() }

// Do makes one attempt.
func (u *Upstream) Do(ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time) core.Result {
	r := u.attempt(ctx, b, addr, cc.Payload.(*Call), deadline)
	// A withdrawn attempt says nothing of its backend; an answer that was there stands, and what was
	// never written never ran.
	if ctx.Err() != nil && r.Reply == nil && r.Status != policy.Moot {
		r.Status = policy.Cancelled
	}
	r.LatencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

func (u *Upstream) attempt(ctx context.Context, b *core.Backend, addr string, c *Call, deadline time.Time) core.Result {
	connectBy := time.Now().Add(u.Pool.ConnectTimeout())
	by := connectBy
	if deadline.Before(by) {
		by = deadline
	}
	cn, err := u.Pool.Get(ctx, conns.Key{Backend: b, Kind: kind(c)}, addr, by)
	if err != nil {
		if conns.Ours(err) || deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
			return core.Result{Status: policy.Moot}
		}
		return core.Result{Status: policy.ConnectFailed}
	}
	reusable := false
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		if stop() && reusable {
			u.Pool.Put(cn)
		} else {
			u.Pool.Close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	// The connect may have taken long: nothing is begun on a backend that was told away meanwhile.
	if ctx.Err() != nil || b.Closed() {
		reusable = true
		return core.Result{Status: policy.Moot}
	}
	seq := u.seq.Add(1)
	var head []byte
	if c.Transport == thriftwire.Framed {
		head = make([]byte, 4, 4+c.Head.Body)
	}
	head = c.Head.AppendHeadWithSeq(head, c.Message, seq)
	rest := c.Head.Rest(c.Message)
	whole := int64(len(head) + len(rest))
	if c.Transport == thriftwire.Framed {
		binary.BigEndian.PutUint32(head, uint32(whole-4))
	}
	out := net.Buffers{head, rest}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole {
			// The last byte never left, and the connection is closed: it cannot run.
			return core.Result{Status: policy.ConnectFailed}
		}
		return core.Result{Status: broken(err)}
	}
	if c.Oneway {
		// Nothing will come. It may have run, and nobody can know more.
		reusable = true
		return core.Result{Status: policy.Cancelled, Unanswered: true}
	}
	reply, held, err := u.read(ctx, cn.BR, c, seq, deadline)
	if err != nil {
		u.Budget.Release(held)
		u.Pool.Ended(cn, !errors.Is(err, errSpoilt) && broken(err) == policy.Reset)
		return core.Result{Status: broken(err)}
	}
	u.Pool.Ended(cn, false)
	reusable = true // unless there is more behind the reply, which the pool looks for
	res := core.Result{Status: policy.OK, Reply: reply, Held: held}
	switch {
	case reply.Head.Kind == thriftwire.Exception:
		code := int32(reply.Head.Fields[0].Int)
		switch {
		case slices.Contains(c.NeverRan.Codes, code):
			res.Status = policy.Full
		case code == thriftwire.UnknownMethod:
			// Any other would say the same, and it is no fault of this one.
			res.Status, res.Blamed = policy.Cancelled, true
		default:
			res.Status = policy.Error
		}
	case reply.Head.First > 0 && slices.Contains(c.NeverRan.Exceptions, int16(reply.Head.First)):
		res.Status = policy.Full
	}
	return res
}

// read reads one reply and checks that it is this call's.
func (u *Upstream) read(ctx context.Context, br *bufio.Reader, c *Call, seq int32, deadline time.Time) (*Reply, int64, error) {
	held := int64(0)
	msg, head, err := Read(br, c.Transport, u.Limits, []thriftwire.Path{{2}}, func(n int64) error {
		within, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := u.Budget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if IsUnreadable(err) {
		err = spoilt("%v", err)
	}
	if err != nil {
		return nil, held, err
	}
	switch {
	case head.Protocol != c.Head.Protocol:
		return nil, held, spoilt("a %v reply to a %v call", head.Protocol, c.Head.Protocol)
	case head.Kind != thriftwire.Reply && head.Kind != thriftwire.Exception:
		return nil, held, spoilt("a reply of kind %d", head.Kind)
	case head.Seq != seq:
		return nil, held, spoilt("sequence id %d, asked with %d", head.Seq, seq)
	case string(head.Name) != string(c.Head.Name) && string(head.Name) != unplexed(c.Head.Name):
		return nil, held, spoilt("a reply to another method")
	}
	return &Reply{msg, head}, held, nil
}

// unplexed is a method's name without its service: some servers answer by that.
func unplexed(name []byte) string {
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
			return nil, r.Message, cut(br, err)
		}
		most := limits.Size
		if most <= 0 {
			most = 16 << 20
		}
		size, err := thriftwire.FrameSize(b, most)
		if err != nil {
			return nil, r.Message, unreadable{err}
		}
		br.Discard(4)
		msg := make([]byte, min(size, free))
		if _, err := io.ReadFull(br, msg); err != nil {
			return nil, r.Message, err
		}
		// Who only claims a large frame holds nothing.
		if size > free {
			if err := reserve(int64(size)); err != nil {
				return nil, r.Message, err
			}
			msg = append(make([]byte, 0, size), msg...)[:size]
			if _, err := io.ReadFull(br, msg[free:]); err != nil {
				return nil, r.Message, err
			}
		}
		ok, err := r.Read(msg)
		switch {
		case err != nil:
			return nil, r.Message, unreadable{err}
		case !ok:
			return nil, r.Message, unread("a frame shorter than its message")
		case r.Size != size:
			return nil, r.Message, unread("a frame of %d bytes with a message of %d", size, r.Size)
		}
		return msg, r.Message, nil
	}
	msg := make([]byte, 0, free)
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
			return nil, r.Message, unreadable{err}
		}
		if ok {
			br.Discard(r.Size - had)
			// The name may stand in an older buffer, where it stays as it is.
			return msg[:r.Size], r.Message, nil
		}
		br.Discard(len(chunk))
	}
}

// cut makes the end of a connection in the midst of a frame's length what it is.
func cut(br *bufio.Reader, err error) error {
	if err == io.EOF && br.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsUnreadable tells whether Read took what came for no message, as against a connection that broke.
func IsUnreadable(err error) bool {
	var u unreadable
	return errors.As(err, &u)
}

// broken maps what ended an attempt whose last byte was written: it may have run.
func broken(err error) policy.Status {
	var timeout net.Error
	switch {
	case errors.Is(err, errSpoilt):
		return policy.Error
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}
