package http

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ringtrack.example/ringtrack/internal/lab/oddhttp"
)

// readStream is the outcome of reading one response of a stream.
type readStream struct {
	status int
	body   []byte
	end    int // offset behind it
}

// readAsAttempt reads a response as an attempt does, and the rest of a long body as it is streamed, or completely first.
func readAsAttempt(text []byte, whole bool) (readStream, error) {
	source := bytes.NewReader(text)
	br := bufio.NewReader(source)
	unlimited := func(int64) error { return nil }
	resp, body, err := readResponse(br, unlimited, nil)
	if err != nil {
		return readStream{}, err
	}
	if whole {
		if err := body.readRest(unlimited); err != nil {
			return readStream{}, err
		}
	}
	content := bytes.Clone(body.bytes)
	if body.readMore != nil {
		rest, err := io.ReadAll(readFunc(body.readMore))
		if err != nil {
			return readStream{}, err
		}
		content = append(content, rest...)
	}
	return readStream{resp.StatusCode, content, len(text) - source.Len() - br.Buffered()}, nil
}

// readAsNetHTTP reads a response as net/http does.
func readAsNetHTTP(text []byte) (readStream, error) {
	source := bytes.NewReader(text)
	br := bufio.NewReader(source)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return readStream{}, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return readStream{resp.StatusCode, body, len(text) - source.Len() - br.Buffered()}, err
	}
}

// compareResponseReaders checks that a response which is accepted is read as net/http reads it, up to the same end, and
// that it makes no difference whether it is streamed or read completely.
func compareResponseReaders(text []byte) error {
	streamed, err := readAsAttempt(text, false)
	whole, wholeErr := readAsAttempt(text, true)
	if (err == nil) != (wholeErr == nil) || !sameResponse(streamed, whole) {
		return fmt.Errorf("streamed %+v, %v, whole %+v, %v", streamed, err, whole, wholeErr)
	}
	if err != nil {
		return nil
	}
	other, err := readAsNetHTTP(text)
	if err != nil || !sameResponse(streamed, other) {
		return fmt.Errorf("read %d, %d bytes, end %d; net/http %d, %d bytes, end %d, %v",
			streamed.status, len(streamed.body), streamed.end, other.status, len(other.body), other.end, err)
	}
	return nil
}

func sameResponse(a, b readStream) bool {
	return a.status == b.status && bytes.Equal(a.body, b.body) && a.end == b.end
}

// oddResponse draws a response, and bytes behind it, in forms that readers may take for different ones.
func oddResponse(t *rapid.T) []byte {
	body := strings.Repeat(oddhttp.Pick(t, "body", "", "ab", "HTTP/1.1 200 OK\r\n\r\n", "0\r\n\r\n"), rapid.SampledFrom([]int{1, 1, 1, 3, 2000, 50000}).Draw(t, "times"))
	chunked := rapid.Bool().Draw(t, "chunked")
	encoded := body
	if chunked {
		encoded = oddhttp.Chunks(t, body)
	}
	var out strings.Builder
	for range rapid.IntRange(0, 1).Draw(t, "interim") {
		out.WriteString("HTTP/1.1 103 E" + oddhttp.LineEnd(t) + oddhttp.Pick(t, "interim field", "", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n") + oddhttp.LineEnd(t))
	}
	out.WriteString("HTTP/1." + oddhttp.Pick(t, "version", "1", "1", "1", "0") + " " + oddhttp.Pick(t, "status", "200", "200", "200", "500", "204", "304") + " x" + oddhttp.LineEnd(t))
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		out.WriteString(oddField(t, len(encoded), chunked) + oddhttp.LineEnd(t))
	}
	return []byte(out.String() + oddhttp.LineEnd(t) + encoded + oddhttp.Pick(t, "behind", "", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "\r\n", "x"))
}

// oddField draws a field, often one that gives the length or a coding.
func oddField(t *rapid.T, length int, chunked bool) string {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	switch {
	case kind < 6 && !chunked:
		return oddhttp.Pick(t, "name", "Content-Length", "content-length") + oddhttp.Separator(t) + oddhttp.Length(t, length)
	case kind < 6:
		coding := oddhttp.Pick(t, "coding", "chunked", "chunked", "chunked", "Chunked", "gzip", "identity", "")
		return oddhttp.Pick(t, "name", "Transfer-Encoding", "transfer-encoding") + oddhttp.Separator(t) + coding
	case kind == 6:
		return oddhttp.Folded(t)
	case kind == 7:
		return "Connection:" + oddhttp.Pick(t, "connection", "close", " Close", "keep-alive", "x, close", "closed")
	}
	return oddhttp.Pick(t, "other", "X", "Content-Lengths") + oddhttp.Separator(t) + oddhttp.Repeat(t, "value", "v")
}

// agreementRounds is how often rapid's number of responses is drawn.
const agreementRounds = 40

// Guards against a response whose end, or whose body, another reader finds elsewhere.
func TestResponseReadersAgree(t *testing.T) {
	for range agreementRounds {
		rapid.Check(t, func(t *rapid.T) {
			text := oddResponse(t)
			if err := compareResponseReaders(text); err != nil {
				t.Fatalf("%v, in %.500q", err, text)
			}
		})
	}
}
