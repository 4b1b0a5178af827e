package http

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes = 64 << 20
	// maxBufferedBody is how much of a body is buffered before a server is selected, if the budget permits.
	maxBufferedBody = 1 << 20
	// unreservedBytes are read without a reservation. Memory is reserved only for what exceeds them, so that
	// a client that declares a long body and does not send it reserves none.
	unreservedBytes = 4 << 10
	// bufferGrowth is the factor by which the buffer of a body grows, as its bytes arrive.
	bufferGrowth = 4
	// discardBufferBytes is the size of the buffer for a body that is discarded.
	discardBufferBytes = 8 << 10

	// A body may be waited for bodyGracePeriod, and longer by the time of its bytes at minBodyBytesPerSecond, but not
	// over maxBodyPause ahead: bytes that came fast allow no longer silence.
	bodyGracePeriod       = 1500 * time.Millisecond
	minBodyBytesPerSecond = 24 << 10
	maxBodyPause          = 2500 * time.Millisecond
)

// discardBuffers are the buffers for bodies that are discarded. What they hold is not used.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// errBodyTooLong is the error of a body that exceeds MaxBodyBytes.
var errBodyTooLong = errors.New("body too long")

// clientBody reads a request body, and limits how long the client may take to send it. Only the time within
// Read counts, not the time between reads.
type clientBody struct {
	setReadDeadline func(time.Time) error // of the connection
	unreadBytes     func() int64          // that have arrived on the connection
	onProgress      func()                // called as bytes arrive, at most once in progressInterval
	onEnd           func()                // called once the body is complete
	length          int64                 // as announced; -1: unknown
	clock           *requestClock         // nil while the body is buffered

	mu         sync.Mutex
	source     io.Reader
	allowance  time.Duration // for which the client may still be waited for
	readBytes  int64
	progressAt time.Time // when onProgress was last called
	discarding bool      // discard reads the rest, and Read returns an error
	ended      bool      // the end or an error was read
	complete   bool      // the end was read
}

// newBody returns the body of a request on one of the connections.
func newBody(w http.ResponseWriter, req *http.Request, conns *clientConns) *clientBody {
	nc, _ := req.Context().Value(connKey{}).(net.Conn)
	return &clientBody{
		source:          req.Body,
		allowance:       bodyGracePeriod,
		length:          req.ContentLength,
		setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		unreadBytes:     func() int64 { return unreadBytes(nc) },
		onProgress:      func() { conns.bodyProgresses(nc) },
		onEnd:           func() { conns.requestRead(req.Context()) },
	}
}

// Read implements io.Reader. An error other than io.EOF means that the body is incomplete.
func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarding {
		return 0, conns.ErrIncompleteRequest
	}
	return b.readLocked(p)
}

// readLocked reads the next bytes. The lock is held.
func (b *clientBody) readLocked(p []byte) (int, error) {
	start := time.Now()
	if b.clock != nil {
		b.clock.readBegins(start)
	}
	_ = b.setReadDeadline(start.Add(b.allowance))
	n, err := b.source.Read(p)
	end := time.Now()
	b.allowance = min(b.allowance-end.Sub(start)+readTime(n), maxBodyPause)
	b.readBytes += int64(n)
	if b.clock != nil {
		b.clock.readEnds(end, b.mayBeComplete())
	}
	if n > 0 && start.Sub(b.progressAt) >= progressInterval {
		b.progressAt = start
		b.onProgress()
	}
	if b.readBytes > MaxBodyBytes {
		return n, errBodyTooLong
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.complete = true
		b.onEnd()
		_ = b.setReadDeadline(time.Time{}) // net/http reads on, to detect that the client disconnects
	default:
		_ = b.setReadDeadline(start) // the rest is not read
	}
	b.ended = true
	return n, err
}

// mayBeComplete reports whether the client may have sent the complete body.
func (b *clientBody) mayBeComplete() bool {
	missing := b.length - b.readBytes
	return b.length < 0 || missing <= maxKernelBytes || missing-b.unreadBytes() <= maxClientSocketBytes
}

// unreadBytes returns the number of bytes that have arrived on a connection and were not read, 0 if that is not known.
func unreadBytes(nc net.Conn) int64 {
	if nc == nil {
		return 0
	}
	unread, _ := socket.UnreadBytes(nc)
	return int64(unread)
}

// readTime returns how long n bytes take to arrive at the lowest rate.
func readTime(n int) time.Duration { return time.Duration(n) * time.Second / minBodyBytesPerSecond }

// discard reads and drops the rest of the body after an answer that was written before its end: some clients
// read the answer only once they have sent the complete request. It reports whether the end was read.
func (b *clientBody) discard(w http.ResponseWriter) (complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discarding = true
	if b.ended {
		return b.complete
	}
	_ = http.NewResponseController(w).Flush()
	buf := discardBuffers.Get().(*[discardBufferBytes]byte)
	defer discardBuffers.Put(buf)
	for {
		if _, err := b.readLocked(buf[:]); err != nil {
			return b.complete
		}
	}
}

// buffer reads the body, up to maxBufferedBody and as far as the buffers permit. length is -1 if unknown.
// more reports that the body continues. The caller releases the bytes reserved from the budget, also after an
// error.
func (b *clientBody) buffer(length int64, buffers *pace.Buffers) (body []byte, reserved int64, more bool, err error) {
	limit := int64(maxBufferedBody)
	if length >= 0 {
		limit = min(limit, length)
	}
	body = make([]byte, 0, min(limit, unreservedBytes))
	for {
		if length >= 0 && int64(len(body)) == length {
			return body, reserved, false, b.readEnd()
		}
		if len(body) == cap(body) {
			grown := min(int64(bufferGrowth*cap(body)), limit)
			extra := grown - int64(cap(body))
			if extra == 0 || !buffers.TryAcquire(extra) {
				return body, reserved, true, nil
			}
			reserved += extra
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := b.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && (length < 0 || int64(len(body)) == length):
			return body, reserved, false, nil
		case err != nil:
			return body, reserved, false, err
		}
	}
}

// readEnd reads the end of a body whose bytes have all been read: net/http detects that a client disconnects
// only after that.
func (b *clientBody) readEnd() error {
	_, err := b.Read(make([]byte, 1))
	if err == io.EOF {
		return nil
	}
	return err
}
