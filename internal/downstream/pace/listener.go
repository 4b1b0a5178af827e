// Package pace bounds the processor time that clients can cause without a request that is admitted: by connecting, and
// by requests that the agent answers by itself. It delays them, and rejects nothing.
package pace

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	// acceptsPerSecond bounds the connections that a listener accepts. Those beyond it wait in the accept queue.
	acceptsPerSecond = 500
	// minAcceptBurst and maxAcceptBurst bound how many connections are accepted at once, as after a restart.
	minAcceptBurst, maxAcceptBurst = 32, 256
	// burstConnBytes is the memory of connections for which one more is accepted at once: it is taken before any of them
	// is read.
	burstConnBytes = 128 << 10
)

// Listener is a listener that accepts no more than acceptsPerSecond.
type Listener struct {
	net.Listener
	limiter *rate.Limiter
	ending  atomic.Bool
}

// NewListener returns a listener that accepts the connections of another one, with an amount of memory for them, in bytes;
// 0: that is not bounded.
func NewListener(ln net.Listener, connMemory int) *Listener {
	burst := maxAcceptBurst
	if connMemory > 0 {
		burst = min(max(connMemory/burstConnBytes, minAcceptBurst), maxAcceptBurst)
	}
	return &Listener{Listener: ln, limiter: rate.NewLimiter(acceptsPerSecond, burst)}
}

// Accept implements net.Listener. It is called by one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.ending.Load() {
		time.Sleep(l.limiter.Reserve().Delay())
	}
	nc, err := l.Listener.Accept()
	if errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) {
		return nc, noMemoryError{err}
	}
	return nc, err
}

// End ends the pace: a listener that is about to close accepts at once what is in its queue.
func (l *Listener) End() { l.ending.Store(true) }

// noMemoryError is the error of an accept for which the kernel has no memory. net/http repeats only accepts whose error
// says that it is temporary, and would end the listener.
type noMemoryError struct{ error }

// Temporary implements net.Error.
func (noMemoryError) Temporary() bool { return true }

// Timeout implements net.Error.
func (noMemoryError) Timeout() bool { return false }

// Unwrap returns the error of the accept.
func (e noMemoryError) Unwrap() error { return e.error }
