package http

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// maxHead is the largest head of an answer.
	maxHead = 16 << 10
	// maxTrailers is what may stand behind a chunked body, its empty line with it: what
	// net/http's reader takes at the most.
	maxTrailers = 4 << 10
	// MaxAnswer is the largest body of an answer. Some are larger than requests may be;
	// what they take of the memory is bounded by the budget.
	MaxAnswer = 1 << 20
	// maxInterim bounds the 1xx answers that may come ahead of the final one.
	maxInterim = 8
)

// reserve asks for memory for a body of n bytes.
type reserve func(n int64) error

// readAnswer reads one final answer and its whole body. Only an answer whose head
// and framing leave no doubt is returned; then nothing of what follows on the
// connection has been taken for part of it.
func readAnswer(br *bufio.Reader, want reserve) (*http.Response, []byte, error) {
	for range maxInterim + 1 {
		head, err := readHead(br)
		if err != nil {
			return nil, nil, err
		}
		if err := checkHead(head); err != nil {
			return nil, nil, err
		}
		// net/http parses the head alone; it gets no hold of the connection, as it
		// would read past this answer.
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return nil, nil, conns.Spoilt("%v", err)
		}
		switch {
		case resp.ProtoMajor != 1:
			return nil, nil, conns.Spoilt("protocol %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, nil, conns.Spoilt("status %d", resp.StatusCode)
		case resp.StatusCode < 200:
			continue
		}
		body, err := readBody(br, resp, want)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
	return nil, nil, conns.Spoilt("more than %d interim answers", maxInterim)
}

// readHead reads up to the empty line, and never more than maxHead.
func readHead(br *bufio.Reader) ([]byte, error) {
	var head []byte
	// Noise may bring no line at all: its first bytes tell it.
	for _, n := range []int{1, len("HTTP/")} {
		if start, err := br.Peek(n); err != nil {
			return nil, err
		} else if string(start) != "HTTP/"[:n] {
			return nil, conns.Spoilt("no status line")
		}
	}
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > maxHead || err == bufio.ErrBufferFull:
			return nil, conns.Spoilt("head too large")
		case err != nil:
			return nil, err
		case len(line) <= 2 && (line[0] == '\n' || line[0] == '\r'):
			return head, nil
		}
	}
}

// checkHead looks for what net/http settles without a word: a length beside chunked,
// or more than one of them.
func checkHead(head []byte) error {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return conns.Spoilt("%v", err)
	}
	lengths, codings := len(h["Content-Length"]), len(h["Transfer-Encoding"])
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return conns.Spoilt("%d lengths and %d transfer encodings", lengths, codings)
	}
	return nil
}

func readBody(br *bufio.Reader, resp *http.Response, want reserve) ([]byte, error) {
	n := resp.ContentLength
	switch {
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return nil, nil
	case len(resp.TransferEncoding) > 0:
		body, err := readChunks(httputil.NewChunkedReader(br), want)
		if err != nil {
			return nil, err
		}
		if err := readTrailers(br); err != nil {
			return nil, err
		}
		return body, nil
	case n < 0:
		// It would end where the connection does, and nothing could tell a whole
		// answer from one that was cut off.
		return nil, conns.Spoilt("an answer without length")
	case n > MaxAnswer:
		return nil, conns.Spoilt("body of %d bytes", n)
	}
	if err := want(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	_, err := io.ReadFull(br, body)
	return body, err
}

// readTrailers reads what ends a chunked body: trailer fields, which nobody here wants,
// and an empty line that is CR LF and nothing else (RFC 9112, section 7.1.2). What this
// reader and net/http's do not both take for the end is none: two readers that disagree
// on where an answer ends are how answers get mixed up on a kept connection.
func readTrailers(br *bufio.Reader) error {
	var fields []byte
	for {
		line, err := br.ReadSlice('\n')
		fields = append(fields, line...)
		switch {
		case err == bufio.ErrBufferFull || len(fields) > maxTrailers:
			return conns.Spoilt("trailers too large")
		case err != nil:
			return err
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return conns.Spoilt("a trailer line that ends in no CR LF")
		case len(line) > 2:
			continue
		case len(fields) == 2:
			return nil // none, as nearly always
		}
		if _, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader(); err != nil {
			return conns.Spoilt("trailers: %v", err)
		}
		return nil
	}
}

// readChunks reads a body of unknown length, and asks for its memory as it grows.
func readChunks(r io.Reader, want reserve) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(2*cap(body), freeBody)
			if err := want(int64(grown - cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err == io.ErrUnexpectedEOF || err != nil && isNet(err):
			return nil, err
		case err != nil:
			return nil, conns.Spoilt("%v", err)
		case len(body) > MaxAnswer:
			return nil, conns.Spoilt("body over %d bytes", MaxAnswer)
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

// hop names the header fields that are for one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd returns the fields that are not for one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	return out
}
