// Package pace bounds the processor time that clients can cause without a request that is admitted: by connecting, and
// by requests that the agent answers by itself. It delays them, and rejects nothing.
package pace

import (
	"errors"
	"net"
	"runtime"
	"syscall"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// peekedBytes is how much of what a client has sent is looked at before its connection is accepted.
	peekedBytes = 512
	// maxDiscards bounds the reads of peekedBytes from a connection that is left out.
	maxDiscards = 32
	// closedPerSecond and closedBurst bound the new connections that are handled though their clients have closed them.
	closedPerSecond, closedBurst = 100, 32
)

// Listener is a listener whose accept queue is no place to wait in: it leaves out connections that have ended with nothing
// to answer, which cost no more than that.
type Listener struct {
	net.Listener
	// mayHoldMessage reports whether the bytes that a client had sent before it closed, or the first peekedBytes of them, may
	// hold a message that is to be handled.
	mayHoldMessage func(sent []byte) bool
	closed         *ClosedClients // nil: all that were closed behind such a message are handled
	peeked         [peekedBytes]byte
}

// NewListener returns a listener that accepts the connections of another one. closed is nil for a protocol whose clients
// need not wait for an answer.
func NewListener(ln net.Listener, mayHoldMessage func(sent []byte) bool, closed *ClosedClients) *Listener {
	return &Listener{Listener: ln, mayHoldMessage: mayHoldMessage, closed: closed}
}

// ClosedClients bounds the new connections that are handled though their clients have closed them behind a message: a
// client may have closed its sending side only.
type ClosedClients struct{ limiter *rate.Limiter }

// NewClosedClients returns the bound for a listener.
func NewClosedClients() *ClosedClients {
	return &ClosedClients{rate.NewLimiter(closedPerSecond, closedBurst)}
}

// Allow reports whether one more is handled.
func (c *ClosedClients) Allow() bool { return c == nil || c.limiter.Allow() }

// Accept implements net.Listener. It is called by one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		// The goroutines of accepted connections run between two accepts, however many there are to accept.
		runtime.Gosched()
		nc, err := l.Listener.Accept()
		if errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) {
			return nc, noMemoryError{err}
		}
		if err != nil || !l.hasEnded(nc) {
			return nc, err
		}
		l.discard(nc)
		_ = nc.Close()
	}
}

// discard reads what a client has sent, as a close over unread bytes resets the connection.
func (l *Listener) discard(nc net.Conn) {
	for range maxDiscards {
		if socket.ReadNow(nc, l.peeked[:]) < len(l.peeked) {
			return
		}
	}
}

// hasEnded reports whether a connection has ended with nothing to answer.
func (l *Listener) hasEnded(nc net.Conn) bool {
	if !socket.HungUp(nc) {
		return false
	}
	n := socket.Peek(nc, l.peeked[:])
	return n == 0 || !l.mayHoldMessage(l.peeked[:n]) || !l.closed.Allow()
}

// noMemoryError is the error of an accept for which the kernel has no memory. net/http repeats only accepts whose error
// says that it is temporary, and would end the listener.
type noMemoryError struct{ error }

// Temporary implements net.Error.
func (noMemoryError) Temporary() bool { return true }

// Timeout implements net.Error.
func (noMemoryError) Timeout() bool { return false }

// Unwrap returns the error of the accept.
func (e noMemoryError) Unwrap() error { return e.error }
