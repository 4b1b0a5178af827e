package http

import (
	"hash/maphash"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// maxReceivedHeads is how many heads may have been received that no handler was called for, until nothing more is read
	// ahead.
	maxReceivedHeads = 4096
	// chunkedBody is the length of a chunked body, as net/http has it.
	chunkedBody = -1
)

// receivedHead is what framingChecker has read of a head. The handler compares it with what net/http says of the same
// request: where two readers of the same bytes disagree, neither knows where the next request begins.
type receivedHead struct {
	requestLine uint64 // see hashRequestLine
	bodyLength  int64  // 0: there is no body; chunkedBody
}

// matches reports whether net/http has read the same head.
func (h receivedHead) matches(req *http.Request) bool {
	return h.bodyLength == req.ContentLength && h.requestLine == hashRequestLine(req.Method+" "+req.RequestURI+" "+req.Proto)
}

var requestLineSeed = maphash.MakeSeed()

// hashRequestLine returns the hash of a request line, of which maxLine bytes count.
func hashRequestLine(line string) uint64 {
	return maphash.String(requestLineSeed, line[:min(len(line), maxLine)])
}

// receivedHeads are the heads that no handler was called for, the oldest first.
type receivedHeads struct{ heads []receivedHead }

func (r *receivedHeads) add(h receivedHead) { r.heads = append(r.heads, h) }

// take removes the oldest head. ok is false if there is none.
func (r *receivedHeads) take() (h receivedHead, ok bool) {
	if len(r.heads) == 0 {
		return receivedHead{}, false
	}
	h = r.heads[0]
	if r.heads = r.heads[1:]; len(r.heads) == 0 {
		r.heads = nil
	}
	return h, true
}

// disagreements counts the requests of which net/http and framingChecker have read something else, and logs a bounded
// number of them. It is safe for concurrent use.
type disagreements struct {
	lines *rate.Limiter
	count atomic.Int64
}

const disagreementLinesPerSecond, disagreementLineBurst = 1, 10

func newDisagreements() *disagreements {
	return &disagreements{lines: rate.NewLimiter(disagreementLinesPerSecond, disagreementLineBurst)}
}

// record records one.
func (d *disagreements) record(req *http.Request) {
	d.count.Add(1)
	if d.lines.Allow() {
		slog.Error("two readers disagree on a request, which is rejected", "peer", req.RemoteAddr, "method", req.Method,
			"protocol", req.Proto, "length", req.ContentLength, "coding", strings.Join(req.TransferEncoding, ","))
	}
}

// FramingDisagreements returns how many requests were rejected because net/http and the check of their framing have read
// something else.
func (s *Server) FramingDisagreements() int64 { return s.disagreements.count.Load() }
