package http

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"time"

	"golang.org/x/net/http/httpguts"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// maxHeadBytes bounds the status line and header of a response.
	maxHeadBytes = 16 << 10
	// maxHeaderLines bounds its lines, as each takes many times its bytes once parsed.
	maxHeaderLines = 256
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
	// versionPrefix is the beginning of every status line.
	versionPrefix = "HTTP/"
)

// reserveFunc reserves n bytes of memory for a body.
type reserveFunc func(n int64) error

// deadlineFunc sets the read deadline; the zero time restores that of the attempt.
type deadlineFunc func(time.Time)

// readResponse reads one final response with its complete body, or the beginning of a long body. It returns
// only responses whose header and framing are unambiguous, and consumes no bytes after them. setDeadline may
// be nil.
func readResponse(
	br *bufio.Reader, reserve reserveFunc, setDeadline deadlineFunc,
) (*http.Response, *responseBody, error) {
	for range maxInterimResponses + 1 {
		resp, closes, err := readHead(br)
		if err != nil {
			return nil, nil, err
		}
		switch {
		case resp.ProtoMajor != 1:
			return nil, nil, conns.MalformedResponse("protocol %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, nil, conns.MalformedResponse("status %d", resp.StatusCode)
		case resp.StatusCode < 200:
			continue
		}
		body, err := readBody(br, resp, closes, reserve, setDeadline)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
	return nil, nil, conns.MalformedResponse("more than %d interim responses", maxInterimResponses)
}

// readHead reads and parses a status line and header. closes says whether it has "Connection: close".
// net/http gets only these bytes to parse: given the connection, it would read beyond this response.
func readHead(br *bufio.Reader) (resp *http.Response, closes bool, err error) {
	head, err := readHeadBytes(br)
	if err != nil {
		return nil, false, err
	}
	closes, err = checkHead(head)
	if err != nil {
		return nil, false, err
	}
	resp, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		return nil, false, conns.MalformedResponse("%v", err)
	}
	return resp, closes, nil
}

// readHeadBytes reads up to and including the empty line, and fails beyond maxHeadBytes.
func readHeadBytes(br *bufio.Reader) ([]byte, error) {
	// Bytes that are not a response may never have a line end, so the first ones are checked at once.
	for _, n := range []int{1, len(versionPrefix)} {
		if start, err := br.Peek(n); err != nil {
			return nil, err
		} else if string(start) != versionPrefix[:n] {
			return nil, conns.MalformedResponse("response does not start with a status line")
		}
	}
	var head []byte
	for lines := 0; ; lines++ {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > maxHeadBytes || lines > maxHeaderLines || err == bufio.ErrBufferFull:
			return nil, conns.MalformedResponse("response header too large")
		case err != nil:
			return nil, err
		case len(line) <= 2 && (line[0] == '\n' || line[0] == '\r'):
			return head, nil
		}
	}
}

// checkHead rejects what net/http accepts silently: several lengths, or a length together with a transfer
// encoding. It returns whether the header has "Connection: close", which net/http also assumes if there is no
// length.
func checkHead(head []byte) (closes bool, err error) {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return false, conns.MalformedResponse("%v", err)
	}
	lengths, encodings := len(h["Content-Length"]), len(h["Transfer-Encoding"])
	if lengths+encodings > 1 {
		return false, conns.MalformedResponse("%d lengths and %d transfer encodings", lengths, encodings)
	}
	return httpguts.HeaderValuesContainsToken(h["Connection"], "close"), nil
}
