package admin

import (
	"bytes"
	"errors"
	"net"
)

// maxRequestLines bounds the lines of a request, which has no body: each header field takes many times its bytes once it
// is parsed.
const maxRequestLines = 64

// errTooManyLines ends a connection with a longer request.
var errTooManyLines = errors.New("admin: a request of too many lines")

// lineLimitedListener accepts connections of which no more than maxRequestLines are read.
type lineLimitedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lineLimitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lineLimitedConn{Conn: nc}, nil
}

// lineLimitedConn is a connection for one request.
type lineLimitedConn struct {
	net.Conn
	lines int
}

// Read implements net.Conn.
func (c *lineLimitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.lines += bytes.Count(p[:n], []byte("\n")); c.lines > maxRequestLines {
		return 0, errTooManyLines
	}
	return n, err
}
