package pressure

import (
	"io"
	"net"
	"time"
)

// silentTime is how long a client that sends nothing stays connected.
const silentTime = 20 * time.Millisecond

// churn repeats a behavior on new connections, without a pause.
func (c *hostileConn) churn(addr string, once func() error) error {
	for c.ctx.Err() == nil {
		nc, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return err
		}
		c.Conn = nc
		_ = once() // an error is the end of the connection
		nc.Close()
	}
	return nil
}

// churnWith returns a behavior that writes text on each new connection, waits, and closes it without reading.
func churnWith(text func(c *hostileConn) string, wait time.Duration, thrift bool) Behavior {
	return func(c *hostileConn) error {
		addr := c.target.HTTP
		if thrift {
			addr = c.target.Thrift
		}
		return c.churn(addr, func() error {
			if _, err := io.WriteString(c, text(c)); err != nil {
				return err
			}
			if wait > 0 {
				sleep(c.ctx, wait)
			}
			return nil
		})
	}
}

// fixed returns the same text for each connection.
func fixed(text string) func(*hostileConn) string { return func(*hostileConn) string { return text } }

// unsoundRequest returns a request of an unknown class.
func unsoundRequest(*hostileConn) string {
	return requestHead("GET", "/api/1", "none", "") + "\r\n"
}

// soundRequest returns a small valid request.
func soundRequest(*hostileConn) string {
	return requestHead("POST", "/api/1", "order", "Content-Length: 0\r\n") + "\r\n"
}

// Clients that connect again and again, and close each connection without waiting for an answer.
var (
	ConnectAndClose       = churnWith(fixed(""), 0, false)
	ConnectAndWait        = churnWith(fixed(""), silentTime, false)
	ByteAndClose          = churnWith(fixed("G"), 0, false)
	ByteAndWait           = churnWith(fixed("G"), silentTime, false)
	PartOfHeadAndClose    = churnWith(fixed("GET / HTTP/1.1\r\nHost: x\r\n"), 0, false)
	PartOfHeadAndWait     = churnWith(fixed("GET / HTTP/1.1\r\nHost: x\r\n"), silentTime, false)
	UnsoundAndWait        = churnWith(unsoundRequest, silentTime, false)
	SoundAndWait          = churnWith(soundRequest, silentTime, false)
	UnsoundAndClose       = churnWith(unsoundRequest, 0, false)
	SoundAndClose         = churnWith(soundRequest, 0, false)
	LongHeadAndClose      = churnWith(fixed("GET / HTTP/1.1\r\n"+headOfShortFields+"\r\n"), 0, false)
	ThriftConnectAndClose = churnWith(fixed(""), 0, true)
	ThriftConnectAndWait  = churnWith(fixed(""), silentTime, true)
	ThriftUnknownAndWait  = churnWith(fixed(string(thriftMessage(thriftCall, "none"))), silentTime, true)
	ThriftByteAndClose    = churnWith(fixed("\x00"), 0, true)
	ThriftUnknownAndClose = churnWith(fixed(string(thriftMessage(thriftCall, "none"))), 0, true)
)

// ResetAfterConnect connects and resets the connection.
func ResetAfterConnect(c *hostileConn) error {
	return c.churn(c.target.HTTP, func() error { return c.Conn.(*net.TCPConn).SetLinger(0) })
}

// ConnectAndHold connects, sends nothing, and stays until the agent ends the connection.
func ConnectAndHold(c *hostileConn) error { return c.holdSilently(c.target.HTTP) }

// ThriftConnectAndHold does the same at the Thrift listener.
func ThriftConnectAndHold(c *hostileConn) error { return c.holdSilently(c.target.Thrift) }

func (c *hostileConn) holdSilently(addr string) error {
	if err := c.dial(addr); err != nil {
		return err
	}
	return c.hold()
}
