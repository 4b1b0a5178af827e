package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"regexp"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"

	"ringtrack.example/ringtrack/internal/lab/oddhttp"
)

// messageEnds is where a reader finds the head and the body of one request in a stream.
type messageEnds struct {
	head, body int  // offsets behind them
	hasBody    bool // the end of the body was found
}

// checkedMessages returns what framingChecker finds, and the checker. It gets the bytes one at a time.
func checkedMessages(text []byte) ([]messageEnds, *framingChecker) {
	checker := &framingChecker{contentLength: -1}
	var found []messageEnds
	for i := range text {
		if checker.feed([]byte{text[i]}) == 0 {
			break
		}
		if checker.heads > len(found) {
			found = append(found, messageEnds{head: i + 1})
		}
		if checker.messages == len(found) && len(found) > 0 && !found[len(found)-1].hasBody {
			found[len(found)-1].body = i + 1
			found[len(found)-1].hasBody = true
		}
	}
	return found, checker
}

var (
	lengthField = regexp.MustCompile(`(?im)^content-length[ \t]*:`)
	codingField = regexp.MustCompile(`(?im)^transfer-encoding[ \t]*:`)
)

// compareWithNetHTTP reads a stream of requests as net/http's server does, and compares each with what framingChecker has
// found: a request that it trusts has one length, ends where net/http finds its end, and is the same as the handler
// would compare it.
func compareWithNetHTTP(text []byte) error {
	checked, checker := checkedMessages(text)
	source := bytes.NewReader(text)
	br := bufio.NewReader(source)
	offset := func() int { return len(text) - source.Len() - br.Buffered() }
	lastMethod := ""
	for n := 1; ; n++ {
		if lastMethod == http.MethodPost {
			start, _ := br.Peek(maxIgnoredLineEnds)
			_, _ = br.Discard(len(start) - len(bytes.TrimLeft(start, "\r\n")))
		}
		start := offset()
		req, err := http.ReadRequest(br)
		if err != nil || req.ProtoMajor != 1 || !hasValidFields(req) || checker.checkHead(n) != nil {
			return nil // rejected by the one or the other, and nothing that follows is read
		}
		lastMethod = req.Method
		if n > len(checked) {
			return fmt.Errorf("request %d: net/http finds a head that ends at %d, the checker none", n, offset())
		}
		head, ok := checker.received.take()
		if !ok || !head.matches(req) {
			if req.ProtoMinor == 0 {
				return nil // rejected: HTTP/1.0 has no codings
			}
			return fmt.Errorf("request %d: the checker has read %+v, net/http the length %d", n, head, req.ContentLength)
		}
		if offset() != checked[n-1].head {
			return fmt.Errorf("request %d: net/http finds the head's end at %d, the checker at %d", n, offset(), checked[n-1].head)
		}
		if lines := text[start:offset()]; lengthField.Match(lines) && codingField.Match(lines) {
			return fmt.Errorf("request %d with a length and a coding is trusted", n)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return compareBrokenBody(n, err, checked)
		}
		if !checked[n-1].hasBody || offset() != checked[n-1].body {
			return fmt.Errorf("request %d: net/http finds the body's end at %d, the checker at %+v", n, offset(), checked[n-1])
		}
	}
}

// hasValidFields reports whether the fields are those that net/http's server accepts; http.ReadRequest does not check them.
func hasValidFields(req *http.Request) bool {
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return true
}

// compareBrokenBody checks that framingChecker finds no request behind a body that net/http can't read. The contents of
// trailers are not checked: net/http rejects the request then, and closes the connection.
func compareBrokenBody(n int, err error, checked []messageEnds) error {
	var malformedTrailer textproto.ProtocolError
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &malformedTrailer) || strings.Contains(err.Error(), "trailer"):
		return nil
	case strings.Contains(err.Error(), "too much non-data"): // of many small chunks, whose sum is not checked
		return nil
	case len(checked) > n:
		return fmt.Errorf("request %d: net/http fails with %q, the checker finds %d requests", n, err, len(checked))
	}
	return nil
}

// oddStream draws a stream of requests in forms that readers may take for different ones.
func oddStream(t *rapid.T) []byte {
	var out strings.Builder
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		out.WriteString(oddRequest(t))
		out.WriteString(oddhttp.Pick(t, "between", "", "", "", "\r\n", "\n", "\r\n\r\n", "\r\r\n\n", "\n\n\n\n", "\n\n\n\n\n", "\r", " "))
	}
	return []byte(out.String())
}

func oddRequest(t *rapid.T) string {
	body := rapid.StringOfN(rapid.RuneFrom([]rune("ab\r\n:0 ")), 0, 20, -1).Draw(t, "body")
	if rapid.Bool().Draw(t, "looks like a head") {
		body = "POST / HTTP/1.1\r\nContent-Length: " + oddhttp.Pick(t, "inner length", "0", "7", "1000") + "\r\n\r\n"
	}
	encoded := body
	chunked := rapid.Bool().Draw(t, "chunked")
	if chunked {
		encoded = oddhttp.Chunks(t, body)
	}
	var head strings.Builder
	head.WriteString(oddhttp.Pick(t, "method", "POST", "POST", "GET", "PUT") + " /" + oddhttp.Repeat(t, "target", "a") + " HTTP/1." + oddhttp.Pick(t, "version", "1", "1", "1", "1", "0") + oddhttp.LineEnd(t))
	for range rapid.IntRange(1, 4).Draw(t, "fields") {
		head.WriteString(oddField(t, len(encoded), chunked))
		head.WriteString(oddhttp.LineEnd(t))
	}
	return head.String() + oddhttp.LineEnd(t) + encoded
}

// oddField draws a field, often one that gives a length or a coding.
func oddField(t *rapid.T, length int, chunked bool) string {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	switch {
	case kind < 6 && !chunked || kind == 9:
		name := oddhttp.Pick(t, "name", "Content-Length", "content-length", "CONTENT-length")
		return name + oddhttp.Separator(t) + oddhttp.Length(t, length)
	case kind < 6 || kind == 8:
		name := oddhttp.Pick(t, "name", "Transfer-Encoding", "transfer-encoding")
		coding := oddhttp.Pick(t, "coding", "chunked", "chunked", "chunked", "Chunked", "gzip", "gzip, chunked", "identity", "")
		return name + oddhttp.Separator(t) + coding + oddhttp.Repeat(t, "spaces behind", " ")
	case kind == 7:
		return oddhttp.Folded(t)
	}
	name := oddhttp.Pick(t, "other", "X", "Content-Lengths", "Xontent-Length", "Content_Length")
	return name + oddhttp.Separator(t) + oddhttp.Repeat(t, "value", "v")
}

// agreementRounds is how often rapid's number of streams is drawn: the rarest disagreement was found in one of 2,000.
const agreementRounds = 40

// Guards against the disagreements that there were.
func TestFramingCheckerAgreesOnStreamsReadDifferently(t *testing.T) {
	for _, text := range streamsReadDifferently() {
		if err := compareWithNetHTTP([]byte(text)); err != nil {
			t.Errorf("%v, in %.400q", err, text)
		}
	}
}

// Guards against a stream of requests in which framingChecker and net/http find different requests.
func TestFramingCheckerAgreesWithNetHTTP(t *testing.T) {
	for range agreementRounds {
		rapid.Check(t, func(t *rapid.T) {
			text := oddStream(t)
			if err := compareWithNetHTTP(text); err != nil {
				t.Fatalf("%v, in %q", err, text)
			}
		})
	}
}

// streamsReadDifferently returns streams of which framingChecker and net/http once read something else.
func streamsReadDifferently() []string {
	next := plainHead + "Content-Length: 1\r\n\r\nx"
	inner := "POST /api/1 HTTP/1.1\r\nContent-Length: 100\r\n\r\n"
	chunk := func(text string) string { return plainHead + "Transfer-Encoding: chunked\r\n\r\n" + text + next + next }
	streams := []string{
		chunk("1\r\na\n0\r\n\r\n"),
		chunk("1\r\na\r\n0\n\r\n"),
		chunk("1 ;x\r\na\r\n0\r\n\r\n"),
		chunk("1;x\rx\r\na\r\n0\r\n\r\n"),
		chunk(strings.Repeat("0", 16) + "1\r\na\r\n0\r\n\r\n"),
		chunk("1;" + strings.Repeat("x", maxChunkSizeLine) + "\r\na\r\n0\r\n\r\n"),
	}
	for _, between := range []string{"\r\r\n\n", "\n\n\n\n\n", "\r\r\n", "\r\r\r\r\n"} {
		streams = append(streams, next+between+next+next, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+between+next+next)
	}
	for _, spelled := range []string{"Content-Length:", "content-length: "} {
		for n := maxLine - 4; n < maxLine+4; n++ {
			digits := fmt.Sprint(len(inner))
			streams = append(streams, plainHead+spelled+strings.Repeat("0", n-len(spelled)-len(digits))+digits+"\r\n\r\n"+inner+next+next)
		}
	}
	return streams
}
