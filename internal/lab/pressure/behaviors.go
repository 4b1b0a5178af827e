package pressure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Target are the addresses of an agent's listeners.
type Target struct {
	HTTP, Thrift string
}

// Behavior is how a client misbehaves on one connection. It returns when the connection can't be used any more, or
// after deadline, which ends its reads and writes.
type Behavior func(c *hostileConn) error

const (
	// reconnectPause is the pause of a hostile client before it connects again.
	reconnectPause = 20 * time.Millisecond
	// holdTimeout is how long a hostile client stays on a connection that nobody ends.
	holdTimeout = 30 * time.Second
	// slowPieceInterval is the pause between two writes of a client that writes slowly.
	slowPieceInterval = 20 * time.Millisecond
	// slowPieceBytes is the size of one such write.
	slowPieceBytes = 400
	// longBodyBytes is the length that is announced for a large body.
	longBodyBytes = 4 << 20
	// headBytes is about the length of a long head that is still within the bound on its bytes.
	headBytes = 15_500
	// endlessHeadBytes is the length of a head that exceeds that bound.
	endlessHeadBytes = 64 << 10
)

// hostileConn is a connection of a hostile client.
type hostileConn struct {
	net.Conn
	ctx    context.Context
	target Target
	rng    *rand.Rand
}

// misbehave repeats a behavior, each time on a new connection, until ctx ends.
func misbehave(ctx context.Context, behavior Behavior, target Target, rng *rand.Rand) {
	for ctx.Err() == nil {
		c := &hostileConn{ctx: ctx, target: target, rng: rng}
		_ = behavior(c) // an error is the end of the connection
		if c.Conn != nil {
			c.Close()
		}
		sleep(ctx, reconnectPause)
	}
}

// dial opens the connection. It ends with the context, or after holdTimeout.
func (c *hostileConn) dial(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return err
	}
	c.Conn = nc
	context.AfterFunc(c.ctx, func() { nc.Close() })
	return nc.SetDeadline(time.Now().Add(holdTimeout))
}

// hold reads and drops what comes until the connection ends.
func (c *hostileConn) hold() error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// writeSlowly writes text in small pieces with pauses.
func (c *hostileConn) writeSlowly(text string) error {
	for len(text) > 0 {
		n := min(len(text), slowPieceBytes)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		sleep(c.ctx, slowPieceInterval)
	}
	return nil
}

// requestHead returns the head of a request with an id of its own and further fields, without the empty line.
func requestHead(method, path, class, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %x\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: 1000\r\n%s",
		method, path, nextRequestID(), class, fields)
}

// shortFields returns header fields that are as short as possible, of about size bytes altogether.
func shortFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// The heads are the same for all clients.
var (
	headOfShortFields    = shortFields(headBytes)
	endlessShortFields   = shortFields(endlessHeadBytes)
	headOfLongFields     = longFields(headBytes)
	largePiece           = bytes.Repeat([]byte("x"), 900<<10)
	slowBody             = string(largePiece)
	declaredLength       = fmt.Sprintf("Content-Length: %d\r\n", longBodyBytes)
	readyRequest         = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	trailersOfShortField = "1\r\nx\r\n0\r\n" + endlessShortFields
)

// longFields returns fewer fields of the same total size.
func longFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "Field-%d: %s\r\n", n, strings.Repeat("v", 140))
	}
	return b.String()
}

// EndlessHead sends a head of short fields that never ends, slowly.
func EndlessHead(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	return c.writeSlowly(requestHead("POST", "/api/1", "order", endlessShortFields))
}

// EndlessHeadAtOnce sends the same in one write.
func EndlessHeadAtOnce(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	if _, err := io.WriteString(c, requestHead("POST", "/api/1", "order", endlessShortFields)); err != nil {
		return err
	}
	return c.hold()
}

// ShortFieldsWithoutBody sends a whole head of short fields, and no body.
func ShortFieldsWithoutBody(c *hostileConn) error { return c.headWithoutBody(headOfShortFields) }

// LongFieldsWithoutBody sends a whole head of fewer, longer fields, and no body.
func LongFieldsWithoutBody(c *hostileConn) error { return c.headWithoutBody(headOfLongFields) }

func (c *hostileConn) headWithoutBody(fields string) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	if _, err := io.WriteString(c, requestHead("POST", "/api/1", "order", fields+declaredLength)+"\r\n"); err != nil {
		return err
	}
	return c.hold()
}

// PartOfBody sends a large part of a body, and no more.
func PartOfBody(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	sent := largePiece[:len(largePiece)>>c.rng.IntN(6)]
	if _, err := io.WriteString(c, requestHead("POST", "/api/1", "order", declaredLength)+"\r\n"); err != nil {
		return err
	}
	if _, err := c.Write(sent); err != nil {
		return err
	}
	return c.hold()
}

// SlowBody sends a body slowly, and without an end.
func SlowBody(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	if _, err := io.WriteString(c, requestHead("POST", "/api/1", "order", declaredLength)+"\r\n"); err != nil {
		return err
	}
	return c.writeSlowly(slowBody)
}

// SlowTrailers sends a chunked body with trailer fields that never end.
func SlowTrailers(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	return c.writeSlowly(requestHead("POST", "/api/1", "order", "Transfer-Encoding: chunked\r\n") + "\r\n" + trailersOfShortField)
}

// SlowReader asks for a long answer and reads it slowly.
func SlowReader(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(slowReadBufferBytes)
	if _, err := io.WriteString(c, requestHead("GET", longPath, "read", "")+"\r\n"); err != nil {
		return err
	}
	buf := make([]byte, slowReadBufferBytes)
	for {
		if _, err := c.Read(buf); err != nil {
			return err
		}
		sleep(c.ctx, slowPieceInterval)
	}
}

// slowReadBufferBytes is the size of the socket buffer of a client that reads slowly.
const slowReadBufferBytes = 4 << 10

// ReadyFlood asks whether the agent is ready, again with each answer.
func ReadyFlood(c *hostileConn) error {
	return c.flood(func() string { return readyRequest })
}

// ReadyOnNewConnections asks whether the agent is ready, on a new connection each time.
func ReadyOnNewConnections(c *hostileConn) error {
	for c.ctx.Err() == nil {
		if err := c.dial(c.target.HTTP); err != nil {
			return err
		}
		if err := exchange(c.Conn, bufio.NewReader(c), readyRequest); err != nil {
			return err
		}
		c.Close()
	}
	return nil
}

// SmallRequestFlood sends small valid requests with new ids and paths, the next with each answer.
func SmallRequestFlood(c *hostileConn) error {
	return c.flood(func() string {
		return requestHead("GET", fmt.Sprintf("/api/%x", c.rng.Uint64()), "read", "") + "\r\n"
	})
}

// UnsoundRequestFlood sends requests of unknown classes; the connection ends with each.
func UnsoundRequestFlood(c *hostileConn) error {
	return c.flood(func() string {
		return requestHead("GET", "/api/1", strconv.FormatUint(c.rng.Uint64(), 36), "") + "\r\n"
	})
}

// ExpiredRequestFlood sends valid requests that have no time left for anything but a rejection.
func ExpiredRequestFlood(c *hostileConn) error {
	return c.flood(func() string {
		text := requestHead("POST", "/api/1", "order", "Content-Length: 0\r\n") + "\r\n"
		return strings.Replace(text, "Timeout-Ms: 1000", "Timeout-Ms: 1", 1)
	})
}

// flood sends requests one after the other, each as soon as the answer to the last one has come. It opens a new
// connection where the agent has closed the last one.
func (c *hostileConn) flood(next func() string) error {
	for c.ctx.Err() == nil {
		if err := c.dial(c.target.HTTP); err != nil {
			return err
		}
		reader := bufio.NewReader(c)
		for exchange(c.Conn, reader, next()) == nil {
		}
		c.Close()
	}
	return nil
}

// exchange sends a request and reads its answer.
func exchange(nc net.Conn, reader *bufio.Reader, text string) error {
	if _, err := io.WriteString(nc, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

// PipelinedReadyFlood asks whether the agent is ready without waiting for the answers.
func PipelinedReadyFlood(c *hostileConn) error {
	if err := c.dial(c.target.HTTP); err != nil {
		return err
	}
	go io.Copy(io.Discard, c)
	batch := strings.Repeat(readyRequest, 100)
	for {
		if _, err := io.WriteString(c, batch); err != nil {
			return err
		}
	}
}

// The types of Thrift messages, by their numbers on the wire.
const (
	thriftCall   = 1
	thriftReply  = 2
	thriftOneway = 4
)

// thriftBodyBytes is the length of the struct in a thriftMessage.
const thriftBodyBytes = 1

// thriftMessage returns a framed message in the binary protocol, with an empty struct.
func thriftMessage(kind uint32, name string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 0x80010000|kind)
	body = binary.BigEndian.AppendUint32(body, uint32(len(name)))
	body = append(body, name...)
	body = binary.BigEndian.AppendUint32(body, 1)
	body = append(body, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// ThriftReplyFlood sends messages that no client may send, each of which is answered by an exception.
func ThriftReplyFlood(c *hostileConn) error {
	return c.floodThrift(thriftMessage(thriftReply, "order"))
}

// ThriftUnknownFlood calls a method that is not listed.
func ThriftUnknownFlood(c *hostileConn) error {
	return c.floodThrift(thriftMessage(thriftCall, "none"))
}

// ThriftOnewayFlood sends one-way calls of a method that is not listed, which get no answer.
func ThriftOnewayFlood(c *hostileConn) error {
	return c.floodThrift(thriftMessage(thriftOneway, "none"))
}

// ThriftCallFlood sends calls.
func ThriftCallFlood(c *hostileConn) error { return c.floodThrift(thriftMessage(thriftCall, "order")) }

// floodThrift sends a message again and again without waiting for answers.
func (c *hostileConn) floodThrift(message []byte) error {
	if err := c.dial(c.target.Thrift); err != nil {
		return err
	}
	go io.Copy(io.Discard, c)
	for {
		if _, err := c.Write(message); err != nil {
			return err
		}
	}
}

// PartOfThriftMessage sends a part of a large message, framed or not, and no more.
func PartOfThriftMessage(c *hostileConn) error {
	if err := c.dial(c.target.Thrift); err != nil {
		return err
	}
	message := binary.BigEndian.AppendUint32(nil, longBodyBytes)
	message = append(message, thriftMessage(thriftCall, "order")[4:]...)
	message = message[:len(message)-1] // without the end of the struct
	message = append(message, 11, 0, 1)
	message = binary.BigEndian.AppendUint32(message, longBodyBytes/2)
	if c.rng.IntN(2) == 0 {
		message = message[4:] // not framed
	}
	if _, err := c.Write(message); err != nil {
		return err
	}
	if _, err := c.Write(largePiece); err != nil {
		return err
	}
	return c.hold()
}
