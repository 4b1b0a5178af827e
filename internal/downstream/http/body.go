package http

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 64 << 20
	// maxBufferedBody is how much of a body is read before a server is selected, if there is memory for it.
	maxBufferedBody = 1 << 20
	// unreservedBytes are read before memory for the rest of a body is reserved, so that a client that only
	// claims a long one occupies none.
	unreservedBytes = 4 << 10
	// discardBufferBytes is how much is read at once of a body that nobody needs.
	discardBufferBytes = 4 << 10

	// A body may take bodyGracePeriod, and a second more for each minBodyBytesPerSecond.
	bodyGracePeriod       = 1500 * time.Millisecond
	minBodyBytesPerSecond = 24 << 10
)

// errBodyTooLong is the error of a body over MaxBodyBytes.
var errBodyTooLong = errors.New("body too long")

// clientBody reads the body of a request from a client, which has a bounded time to send it. Only the time within
// Read counts, not the time in between.
type clientBody struct {
	setDeadline func(time.Time) error // of the connection's reads

	mu         sync.Mutex
	from       io.Reader
	readTime   time.Duration
	readBytes  int64
	discarding bool // Read is over: discard reads the rest
	ended      bool // nothing more will arrive
}

// newBody returns the body of a request.
func newBody(w http.ResponseWriter, req *http.Request) *clientBody {
	return &clientBody{from: req.Body, setDeadline: http.NewResponseController(w).SetReadDeadline}
}

// Read reads the next bytes. An error other than io.EOF says that the body will not arrive completely.
func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarding {
		return 0, conns.ErrIncompleteRequest
	}
	return b.next(p)
}

// next is Read with the lock held.
func (b *clientBody) next(p []byte) (int, error) {
	start := time.Now()
	_ = b.setDeadline(start.Add(maxReadTime(b.readBytes) - b.readTime))
	n, err := b.from.Read(p)
	b.readTime += time.Since(start)
	b.readBytes += int64(n)
	if b.readBytes > MaxBodyBytes {
		return n, errBodyTooLong
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		_ = b.setDeadline(time.Time{}) // net/http reads on, to notice that the client disconnects
	default:
		_ = b.setDeadline(start) // nobody waits for the rest
	}
	b.ended = true
	return n, err
}

// maxReadTime is how long n bytes may take to arrive.
func maxReadTime(n int64) time.Duration {
	return bodyGracePeriod + time.Duration(n)*time.Second/minBodyBytesPerSecond
}

// discard reads the rest of the body after an answer that came before its end: some clients read the answer only
// once they have sent everything.
func (b *clientBody) discard(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discarding = true
	if b.ended {
		return
	}
	_ = http.NewResponseController(w).Flush()
	buf := make([]byte, discardBufferBytes)
	for {
		if _, err := b.next(buf); err != nil {
			return
		}
	}
}

// buffer reads the complete body, as far as maxBufferedBody and the budget permit. length is -1 if unknown. The
// caller releases the bytes reserved from the budget, with an error too. more says that the body continues.
func (b *clientBody) buffer(length int64, budget *semaphore.Weighted) (body []byte, reserved int64, more bool, err error) {
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
			grown := min(int64(2*cap(body)), limit)
			extra := grown - int64(cap(body))
			if extra == 0 || !budget.TryAcquire(extra) {
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

// readEnd reads the end of a body whose bytes have all arrived: only from there on net/http notices that a client
// disconnects.
func (b *clientBody) readEnd() error {
	_, err := b.Read(make([]byte, 1))
	if err == io.EOF {
		return nil
	}
	return err
}
