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

func pick(t *rapid.T, label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(t, label)
}

// repeat draws a text that is repeated, mostly a few times.
func repeat(t *rapid.T, label, text string) string {
	n := rapid.IntRange(0, 2).Draw(t, label)
	if rapid.IntRange(0, 3).Draw(t, label+" is long") == 0 {
		n = rapid.IntRange(0, 600).Draw(t, label+" times")
	}
	return strings.Repeat(text, n)
}

func lineEnd(t *rapid.T) string {
	return pick(t, "line end", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n")
}

// oddResponse draws a response, and bytes behind it, in forms that readers may take for different ones.
func oddResponse(t *rapid.T) []byte {
	body := strings.Repeat(pick(t, "body", "", "ab", "HTTP/1.1 200 OK\r\n\r\n", "0\r\n\r\n"), rapid.SampledFrom([]int{1, 1, 1, 3, 2000, 50000}).Draw(t, "times"))
	chunked := rapid.Bool().Draw(t, "chunked")
	encoded := body
	if chunked {
		encoded = oddChunks(t, body)
	}
	var out strings.Builder
	for range rapid.IntRange(0, 1).Draw(t, "interim") {
		out.WriteString("HTTP/1.1 103 E" + lineEnd(t) + pick(t, "interim field", "", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n") + lineEnd(t))
	}
	out.WriteString("HTTP/1." + pick(t, "version", "1", "1", "1", "0") + " " + pick(t, "status", "200", "200", "200", "500", "204", "304") + " x" + lineEnd(t))
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		out.WriteString(oddField(t, len(encoded), chunked) + lineEnd(t))
	}
	return []byte(out.String() + lineEnd(t) + encoded + pick(t, "behind", "", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "\r\n", "x"))
}

// oddField draws a field, often one that gives the length or a coding.
func oddField(t *rapid.T, length int, chunked bool) string {
	separator := pick(t, "separator", ":", ": ", ": ", ":\t", " :") + repeat(t, "spaces", " ")
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	switch {
	case kind < 6 && !chunked:
		digits := fmt.Sprint(length)
		if rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
			digits = pick(t, "number", "0", "+1", "-1", "1_0", "", "9223372036854775807", "0x1", "1 1", "1")
		}
		return pick(t, "name", "Content-Length", "content-length") + separator + repeat(t, "zeros", "0") + digits + repeat(t, "behind", " ")
	case kind < 6:
		return pick(t, "name", "Transfer-Encoding", "transfer-encoding") + separator + pick(t, "coding", "chunked", "chunked", "chunked", "Chunked", "gzip", "identity", "")
	case kind == 6:
		return pick(t, "fold", " ", "\t") + pick(t, "folded", "x", "Content-Length: 3", "Transfer-Encoding: chunked", "")
	case kind == 7:
		return "Connection:" + pick(t, "connection", "close", " Close", "keep-alive", "x, close", "closed")
	}
	return pick(t, "other", "X", "Content-Lengths") + separator + repeat(t, "value", "v")
}

// oddChunks draws a chunked body.
func oddChunks(t *rapid.T, body string) string {
	var out strings.Builder
	for part := body; part != ""; {
		n := min(len(part), rapid.SampledFrom([]int{1, 7, 4000, 1 << 20}).Draw(t, "chunk"))
		if len(body) > 1000 {
			n = len(part)
		}
		out.WriteString(oddChunkSize(t, n) + part[:n] + pick(t, "chunk end", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n", ""))
		part = part[n:]
	}
	out.WriteString(oddChunkSize(t, 0))
	for range rapid.IntRange(0, 2).Draw(t, "trailers") {
		out.WriteString(pick(t, "trailer", "T: x", "Content-Length: 3", " folded", "no colon", "T:") + lineEnd(t))
	}
	return out.String() + lineEnd(t)
}

func oddChunkSize(t *rapid.T, n int) string {
	extension := pick(t, "extension", "", "", "", "", "", ";x=y", ";", " ;x", ";x\r", " ", "\t", "x", "_0")
	if strings.HasPrefix(extension, ";") {
		extension += repeat(t, "extension", "e")
	}
	return repeat(t, "zeros", "0") + fmt.Sprintf(pick(t, "digits", "%x", "%X"), n) + extension +
		pick(t, "size end", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n")
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
