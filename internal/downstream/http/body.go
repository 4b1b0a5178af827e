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
	// MaxBodyBytes is the largest body of a request; wholeBody what of it is taken before a server is chosen, where
	// there is memory for it.
	MaxBodyBytes, maxBufferedBody = 64 << 20, 1 << 20
	// unreservedBytes is read before the budget is asked for the rest of a body, so that who
	// only claims a long one holds nothing.
	unreservedBytes = 4 << 10
	// bodyGracePeriod and bodyRate bound how slowly a body may come: so long for nothing, and so many bytes a second.
	bodyGracePeriod, minBodyBytesPerSecond = 1500 * time.Millisecond, 24 << 10
)

// clientBody reads a request's body from its client, who has a bounded time for it. What the client waits for
// us is not counted.
type clientBody struct {
	mu         sync.Mutex
	from       io.Reader
	deadline   func(time.Time) error // of the connection's reads
	readTime   time.Duration
	readBytes  int64
	discarding bool // nobody but the front reads on
	ended      bool // nothing more will come
}

var errTooLong = errors.New("body too long")

// Read reads on. Its errors but io.EOF say that the body will not come whole.
func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarding {
		return 0, conns.ErrIncompleteRequest
	}
	return b.next(p)
}

func (b *clientBody) next(p []byte) (int, error) {
	from := time.Now()
	_ = b.deadline(from.Add(maxReadTime(b.readBytes) - b.readTime))
	n, err := b.from.Read(p)
	b.readTime += time.Since(from)
	if b.readBytes += int64(n); b.readBytes > MaxBodyBytes {
		return n, errTooLong
	}
	if err != nil {
		b.ended = true
		if err == io.EOF {
			_ = b.deadline(time.Time{}) // the server looks out for the client's leaving
		} else {
			_ = b.deadline(from) // nobody waits for what does not come
		}
	}
	return n, err
}

// maxReadTime is the time that n bytes may take to come.
func maxReadTime(n int64) time.Duration {
	return bodyGracePeriod + time.Duration(n)*time.Second/minBodyBytesPerSecond
}

// discard reads what is left, for nobody, behind an answer that is given before: some clients read it only once
// they have sent all.
func (b *clientBody) discard(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarding = true; b.ended {
		return
	}
	_ = http.NewResponseController(w).Flush()
	buf := make([]byte, 4<<10)
	for {
		if _, err := b.next(buf); err != nil {
			return
		}
	}
}

// buffer reads the body whole, as far as wholeBody and the budget go. What it takes from the budget the caller
// gives back: held bytes. more says that the body goes on behind what was read.
func (b *clientBody) buffer(length int64, budget *semaphore.Weighted) (body []byte, held int64, more bool, err error) {
	most := int64(maxBufferedBody)
	if length >= 0 {
		most = min(most, length)
	}
	body = make([]byte, 0, min(most, unreservedBytes))
	for {
		if length >= 0 && int64(len(body)) == length {
			// The end is read, too: net/http looks out for a client that leaves only from there on.
			_, err = b.Read(make([]byte, 1))
			if err == io.EOF {
				err = nil
			}
			return body, held, false, err
		}
		if len(body) == cap(body) {
			grown := min(int64(2*cap(body)), most)
			if more := grown - int64(cap(body)); more == 0 || !budget.TryAcquire(more) {
				return body, held, true, nil
			} else {
				held += more
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := b.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && (length < 0 || int64(len(body)) == length):
			return body, held, false, nil
		case err != nil:
			return body, held, false, err
		}
	}
}

// newBody is the body of a request.
func newBody(w http.ResponseWriter, req *http.Request) *clientBody {
	return &clientBody{from: req.Body, deadline: http.NewResponseController(w).SetReadDeadline}
}
