package http

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// receive reads from the connection, and returns how many of the bytes may be passed on. Bytes that have arrived when the
// read deadline is found to have passed are received: the process may not have run when they came.
func (c *framedConn) receive(p []byte) (n, usable int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		usable = c.received(p[:n])
		return n, usable, err
	}
	done := false
	attempt := func(fd uintptr) bool {
		n, usable, done, err = c.tryReceive(int(fd), p)
		return done
	}
	waitErr := c.raw.Read(attempt)
	if errors.Is(waitErr, os.ErrDeadlineExceeded) && !c.late() {
		_ = c.raw.Control(func(fd uintptr) { attempt(fd) })
		c.setLate(n < len(p)) // all that had arrived is received
	}
	if !done {
		n, usable, err = 0, 0, readError(waitErr)
	}
	c.reportHead()
	return n, usable, err
}

// tryReceive receives bytes that have arrived, and checks their framing in the same step. done is false if there are none.
func (c *framedConn) tryReceive(fd int, p []byte) (n, usable int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, 0, true, readError(net.ErrClosed)
	}
	n, err = socket.Read(fd, p)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, 0, false, nil
	case err != nil:
		return 0, 0, true, readError(os.NewSyscallError("read", err))
	case n == 0 && len(p) > 0:
		return 0, 0, true, io.EOF
	}
	c.receivedAt = c.stalls.Arrival(c.Conn)
	return n, c.framing.feed(p[:n]), true, nil
}

// received checks the framing of bytes that were read.
func (c *framedConn) received(p []byte) (usable int) {
	c.mu.Lock()
	usable = c.framing.feed(p)
	c.receivedAt = time.Now()
	c.mu.Unlock()
	c.reportHead()
	return usable
}

// late reports whether all has been received that had arrived when the read deadline was found to have passed.
func (c *framedConn) late() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLate
}

func (c *framedConn) setLate(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLate = late
}

// readError returns an error as a read of the connection returns it, which net/http does not answer.
func readError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		err = opErr.Err
	}
	if err == nil {
		return nil
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// reportHead calls onHeadGrown if the current head has grown by headReportBytes.
func (c *framedConn) reportHead() {
	c.mu.Lock()
	held := c.framing.heldHeadBytes()
	if held < c.reportedHead {
		c.reportedHead = 0 // another head has begun
	}
	grown := held >= c.reportedHead+headReportBytes
	if grown {
		c.reportedHead = held
	}
	c.mu.Unlock()
	if grown && c.onHeadGrown != nil {
		c.onHeadGrown(held)
	}
}
