package http

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// framingChecker follows the raw bytes of a client's connection from message to message, to see what net/http settles
// without a word: a Content-Length beside a Transfer-Encoding, of which it drops the first. A request whose
// length can be read in two ways may hide another one. It decides only whether a chunked request is sound;
// what it can't follow it takes for unsound, from there on.
//
// Source: RFC 9112, sections 6 and 7.
type framingChecker struct {
	state            state
	line             []byte // of the head, or a chunk's size, as far as it has come; at most maxLine
	length           int64  // of the body by Content-Length; -1: none was told
	transferEncoding bool   // the head has a Transfer-Encoding
	headBegun        bool   // a line of the head has come
	remaining        int64  // of the body or the chunk
	heads            int    // heads that have come whole
	firstUntrusted   int    // the first head that is not to be trusted, counted from 1; 0: none
}

type state uint8

const (
	inHead state = iota
	inBody
	inSize
	inChunk
	inChunkEnd
	inTrailer
	untrusted
)

// maxLine bounds a line of a head as it is kept: a length and a coding are far shorter, and of the longer
// ones only the name matters.
const maxLine = 256

// feed takes what was read from the connection.
func (f *framingChecker) feed(p []byte) {
	for len(p) > 0 && f.state != untrusted {
		switch f.state {
		case inBody, inChunk:
			n := min(int64(len(p)), f.remaining)
			p, f.remaining = p[n:], f.remaining-n
			if f.remaining == 0 {
				if f.state == inChunk {
					f.state = inChunkEnd
				} else {
					f.nextMessage()
				}
			}
		default:
			i := bytes.IndexByte(p, '\n')
			part := p
			if i >= 0 {
				part = p[:i]
			}
			f.line = append(f.line, part[:min(len(part), maxLine-len(f.line))]...)
			if i < 0 {
				return
			}
			p = p[i+1:]
			f.endLine(strings.TrimSuffix(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
}

// nextMessage begins a message.
func (f *framingChecker) nextMessage() {
	f.state, f.length, f.transferEncoding, f.headBegun = inHead, -1, false, false
}

// distrust gives up: the head that is coming, or has just come, is not to be trusted, nor anything behind it.
func (f *framingChecker) distrust(head int) { f.state, f.firstUntrusted = untrusted, head }

func (f *framingChecker) endLine(line string) {
	switch f.state {
	case inHead:
		f.headLine(line)
	case inSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
		switch {
		case err != nil:
			f.distrust(f.heads + 1) // net/http finds the same, and closes the connection
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunk, int64(n)
		}
	case inChunkEnd:
		if f.state = inSize; line != "" {
			f.distrust(f.heads + 1)
		}
	case inTrailer:
		if line == "" {
			f.nextMessage()
		}
	}
}

func (f *framingChecker) headLine(line string) {
	if line != "" {
		f.headBegun = true
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimRight(name, " \t")) {
		case "content-length":
			n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 62)
			if err != nil || f.length >= 0 && f.length != int64(n) {
				f.distrust(f.heads + 1)
				return
			}
			f.length = int64(n)
		case "transfer-encoding":
			f.transferEncoding = true
		}
		return
	}
	if !f.headBegun {
		return // an empty line ahead of a request is none
	}
	f.heads++
	switch {
	case f.transferEncoding && f.length >= 0:
		f.distrust(f.heads)
	case f.transferEncoding:
		f.state = inSize
	case f.length > 0:
		f.state, f.remaining = inBody, f.length
	default:
		f.nextMessage()
	}
}

// framedConn is a client's connection whose framing is followed.
type framedConn struct {
	net.Conn
	mu         sync.Mutex // net/http reads ahead in the background
	framing    framingChecker
	requests   int // requests that the handler has seen
	disconnect disconnectDetector
}

// newFramedConn follows a connection that has just come.
func newFramedConn(nc net.Conn) *framedConn {
	c := &framedConn{Conn: nc, framing: framingChecker{length: -1}}
	c.disconnect.conn, c.disconnect.onRead, c.disconnect.disconnected = nc, c.follow, make(chan struct{})
	return c
}

// Read reads and follows.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.disconnect.stopAndRead(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.betweenRequests() {
			// A request that came in the moment in which it was to be closed as idle is served.
			if m := socket.ReadNow(c.Conn, p); m > 0 {
				n, err = m, nil
			}
		}
		c.follow(p[:n])
	}
	if n == 1 && len(p) == 1 {
		c.disconnect.start() // this was net/http's look for the client's leaving, and it is over now
	}
	return n, err
}

func (c *framedConn) follow(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.feed(p)
}

// SetReadDeadline sets it beside the detector, which has to end its reads as well.
func (c *framedConn) SetReadDeadline(t time.Time) error { return c.disconnect.setReadDeadline(t) }

// SetDeadline sets both.
func (c *framedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite lets the server end its sending before it closes, as it does on a TCP connection.
func (c *framedConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// betweenRequests tells whether nothing of a request has come behind the last one.
func (c *framedConn) betweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.state == inHead && !c.framing.headBegun && len(c.framing.line) == 0
}

// Close closes the connection, and resets no answer over what its client has sent behind.
func (c *framedConn) Close() error {
	c.disconnect.mu.Lock()
	ahead := len(c.disconnect.readAhead) > 0
	c.disconnect.mu.Unlock()
	return socket.LingeringClose(c.Conn, ahead)
}

// abort closes the connection at once.
func (c *framedConn) abort() error { return c.Conn.Close() }

// SyscallConn lets the socket be asked beside whoever reads it.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// trustNextRequest counts a request, and tells whether its framing can be trusted.
func (c *framedConn) trustNextRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.framing.firstUntrusted == 0 || c.requests < c.framing.firstUntrusted
}

// framedListener follows the framing on each connection that it accepts.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(nc), nil
}
