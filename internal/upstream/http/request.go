package http

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// streamBufferBytes is how much of a body that is passed on is read at once.
	streamBufferBytes = 16 << 10

	timeoutHeader = "Request-Timeout-Ms"
	lastChunk     = "0\r\n\r\n"
)

// Call is the payload of a core.Call over HTTP.
type Call struct {
	Method string
	Target string // of the request line, byte for byte as the client sent it
	Host   string
	Header http.Header
	Body   []byte
	// Remaining is the part of the body after Body, which is sent as it arrives; nil: there is none. It is read
	// once, and its errors are the client's.
	Remaining io.Reader
	Length    int64 // of the complete body; -1: unknown. Used with Remaining only.
}

// Head encodes the head of the request to a backend, with the timeout. The target is the client's:
// http.Request would normalise it.
func (c *Call) Head(timeout time.Duration) []byte {
	h := EndToEnd(c.Header)
	h.Set(timeoutHeader, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	switch {
	case c.Remaining != nil && c.Length < 0:
		h.Set("Transfer-Encoding", "chunked")
	case c.Remaining != nil:
		h.Set("Content-Length", strconv.FormatInt(c.Length, 10))
	case c.Method != http.MethodGet:
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	_ = h.Write(&out) // a bytes.Buffer returns no errors
	out.WriteString("\r\n")
	return out.Bytes()
}

// encodedBody is Body as it is sent ahead of Remaining.
func (c *Call) encodedBody() []byte {
	if c.Length < 0 {
		return appendChunk(nil, c.Body)
	}
	return c.Body
}

// writeRemaining writes the remaining body as it arrives.
func (c *Call) writeRemaining(w io.Writer) error {
	buf := make([]byte, streamBufferBytes)
	left := c.Length - int64(len(c.Body))
	for {
		n, err := c.Remaining.Read(buf)
		left -= int64(n)
		if n > 0 {
			piece := buf[:n]
			if c.Length < 0 {
				piece = appendChunk(nil, piece)
			}
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && c.Length < 0:
			_, err = io.WriteString(w, lastChunk)
			return err
		case c.Length >= 0 && left == 0:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", conns.ErrIncompleteRequest, err)
		}
	}
}

// appendChunk appends data as a chunk. Empty data has none: an empty chunk ends the body.
func appendChunk(to, data []byte) []byte {
	if len(data) == 0 {
		return to
	}
	to = strconv.AppendInt(to, int64(len(data)), 16)
	to = append(to, "\r\n"...)
	to = append(to, data...)
	return append(to, "\r\n"...)
}

// hopByHop are the header fields that are for one connection only.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
}

// EndToEnd returns the header fields that are not for one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
