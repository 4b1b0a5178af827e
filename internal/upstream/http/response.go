package http

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// maxHeadBytes is the largest head of an answer.
	maxHeadBytes = 16 << 10
	// maxTrailerBytes is what may stand behind a chunked body, its empty line with it: what
	// net/http's reader takes at the most.
	maxTrailerBytes = 4 << 10
	// maxBufferedBody is the largest body of an answer that is read whole before any of it goes on; longer ones
	// are passed on as they come, and so is one of unknown length that has not ended wholeTime after its head.
	maxBufferedBody, bufferTimeout = 64 << 10, 100 * time.Millisecond
	// MaxResponseBodyBytes is the largest body of an answer: one that claims more is spoilt.
	MaxResponseBodyBytes = 64 << 20
	// maxInterimResponses bounds the 1xx answers that may come ahead of the final one.
	maxInterimResponses = 8
)

// reserveFunc asks for memory for a body of n bytes.
type reserveFunc func(n int64) error

// responseBody is an answer's body as far as it was read, and where it goes on; more is nil where it has come whole.
type responseBody struct {
	bytes    []byte
	readMore func(p []byte) (int, error) // ends with io.EOF
	size     int64                       // of all of it; -1: unknown
}

// readResponse reads one final answer and its whole body, or the beginning of a long one. Only an answer whose
// head and framing leave no doubt is returned; then nothing of what follows on the connection has been taken
// for part of it. hurry, where it is set, gives reads until then at the most.
func readResponse(br *bufio.Reader, want reserveFunc, hurry func(time.Time)) (*http.Response, *responseBody, error) {
	for range maxInterimResponses + 1 {
		head, err := readHead(br)
		if err != nil {
			return nil, nil, err
		}
		closes, err := checkHead(head)
		if err != nil {
			return nil, nil, err
		}
		// net/http parses the head alone; it gets no hold of the connection, as it
		// would read past this answer.
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return nil, nil, conns.MalformedResponse("%v", err)
		}
		switch {
		case resp.ProtoMajor != 1:
			return nil, nil, conns.MalformedResponse("protocol %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, nil, conns.MalformedResponse("status %d", resp.StatusCode)
		case resp.StatusCode < 200:
			continue
		}
		body, err := readBody(br, resp, closes, want, hurry)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
	return nil, nil, conns.MalformedResponse("more than %d interim answers", maxInterimResponses)
}

// readHead reads up to the empty line, and never more than maxHead.
func readHead(br *bufio.Reader) ([]byte, error) {
	var head []byte
	// Noise may bring no line at all: its first bytes tell it.
	for _, n := range []int{1, len("HTTP/")} {
		if start, err := br.Peek(n); err != nil {
			return nil, err
		} else if string(start) != "HTTP/"[:n] {
			return nil, conns.MalformedResponse("no status line")
		}
	}
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > maxHeadBytes || err == bufio.ErrBufferFull:
			return nil, conns.MalformedResponse("head too large")
		case err != nil:
			return nil, err
		case len(line) <= 2 && (line[0] == '\n' || line[0] == '\r'):
			return head, nil
		}
	}
}

// checkHead looks for what net/http settles without a word: a length beside chunked,
// or more than one of them. closes tells whether the head says that the connection ends behind the answer:
// net/http takes that for said where there is no length.
func checkHead(head []byte) (closes bool, err error) {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return false, conns.MalformedResponse("%v", err)
	}
	lengths, codings := len(h["Content-Length"]), len(h["Transfer-Encoding"])
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return false, conns.MalformedResponse("%d lengths and %d transfer encodings", lengths, codings)
	}
	return httpguts.HeaderValuesContainsToken(h["Connection"], "close"), nil
}

func readBody(br *bufio.Reader, resp *http.Response, closes bool, want reserveFunc, hurry func(time.Time)) (*responseBody, error) {
	n := resp.ContentLength
	b := &responseBody{size: n}
	var from io.Reader
	switch {
	case n > MaxResponseBodyBytes:
		return nil, conns.MalformedResponse("body of %d bytes", n)
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return b, nil
	case len(resp.TransferEncoding) > 0:
		from = &chunkedReader{br: br}
	case n >= 0 && n <= maxBufferedBody || n >= 0 && resp.StatusCode != http.StatusOK:
		if n > maxBufferedBody {
			return nil, conns.MalformedResponse("body of %d bytes with status %d", n, resp.StatusCode)
		}
		if err := want(n); err != nil {
			return nil, err
		}
		b.bytes = make([]byte, n)
		_, err := io.ReadFull(br, b.bytes)
		return b, err
	case n >= 0:
		b.readMore = exactLength(io.LimitReader(br, n).Read, n)
		return b, nil
	case closes:
		// It ends where the connection does, and says so (RFC 9112, section 6.3).
		from = br
	default:
		// Nothing could tell a whole answer from one that was cut off.
		return nil, conns.MalformedResponse("an answer without length")
	}
	return readUnknown(from, resp.StatusCode == http.StatusOK, want, hurry)
}

// exactLength makes the end of a body an error that came before its n bytes.
func exactLength(read func(p []byte) (int, error), n int64) func(p []byte) (int, error) {
	return func(p []byte) (int, error) {
		m, err := read(p)
		if n -= int64(m); err == io.EOF && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		return m, err
	}
}

// readUnknown reads a body of unknown length, and asks for its memory as it grows: whole, or where it may go on
// later, up to wholeAnswer bytes of it, and for wholeTime.
func readUnknown(from io.Reader, mayGoOn bool, want reserveFunc, hurry func(time.Time)) (*responseBody, error) {
	b := &responseBody{size: -1}
	if mayGoOn && hurry != nil {
		hurry(time.Now().Add(bufferTimeout))
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			grown := max(2*cap(b.bytes), unreservedBytes)
			if grown > maxBufferedBody {
				if mayGoOn {
					b.readMore = from.Read
					return b, nil
				}
				return nil, conns.MalformedResponse("body over %d bytes", maxBufferedBody)
			}
			if err := want(int64(grown - cap(b.bytes))); err != nil {
				return nil, err
			}
			b.bytes = append(make([]byte, 0, grown), b.bytes...)
		}
		n, err := from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == nil:
		case err == io.EOF:
			return b, nil
		case mayGoOn && hurry != nil && isTimeout(err):
			hurry(time.Time{})
			b.readMore = from.Read
			return b, nil
		default:
			return nil, err
		}
	}
}

// parseReport reads a load report in the order of names. One that is not whole, or
// has what no load can be, is none; of several fields the first that can be read
// counts.
func parseReport(fields, names []string) []float32 {
	if len(names) == 0 {
		return nil
	}
	for _, text := range fields {
		values := make([]float32, len(names))
		found := 0
		sound := true
		for part := range strings.SplitSeq(text, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			for i, want := range names {
				if name == want {
					v, err := strconv.ParseFloat(value, 32)
					if err != nil || !(v >= 0) || math.IsInf(v, 1) || found&(1<<i) != 0 {
						sound = false
					}
					values[i] = float32(v)
					found |= 1 << i
				}
			}
		}
		if sound && found == 1<<len(names)-1 {
			return values
		}
	}
	return nil
}

// hopByHop names the header fields that are for one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd returns the fields that are not for one connection only.
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
