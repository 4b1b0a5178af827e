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
	// streamBufferBytes is the size of the buffer with which a request body is forwarded.
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
	// Remaining is the part of the body after Body, or nil if there is none. It is forwarded as it arrives.
	// It can be read only once, and its errors are the client's fault.
	Remaining io.Reader
	Length    int64 // of the complete body, -1 if unknown; used only with Remaining
}

// Head encodes the request line and header of the request to a backend, with the timeout. It writes the
// client's target unchanged; http.Request would normalise it.
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
	_ = h.Write(&out) // writing to a bytes.Buffer never fails
	out.WriteString("\r\n")
	return out.Bytes()
}

// encodedBody returns Body as it is sent before Remaining.
func (c *Call) encodedBody() []byte {
	if c.Length < 0 {
		return appendChunk(nil, c.Body)
	}
	return c.Body
}

// writeRemaining writes the rest of the body as it arrives from the client.
func (c *Call) writeRemaining(w io.Writer) error {
	buf := make([]byte, streamBufferBytes)
	left := c.Length - int64(len(c.Body))
	for {
		n, err := c.Remaining.Read(buf)
		left -= int64(n)
		if n > 0 {
			data := buf[:n]
			if c.Length < 0 {
				data = appendChunk(nil, data)
			}
			if _, err := w.Write(data); err != nil {
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

// appendChunk appends data as a chunk. For empty data it appends nothing, as an empty chunk would end the
// body.
func appendChunk(to, data []byte) []byte {
	if len(data) == 0 {
		return to
	}
	to = strconv.AppendInt(to, int64(len(data)), 16)
	to = append(to, "\r\n"...)
	to = append(to, data...)
	return append(to, "\r\n"...)
}

// hopByHopFields are the header fields that apply to a single connection and are not forwarded.
var hopByHopFields = []string{
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

// EndToEnd returns a copy of the header without the hop-by-hop fields.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	return out
}
