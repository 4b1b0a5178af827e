package http

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

// slowReader returns step bytes at a time, with a timeout between any two reads.
type slowReader struct {
	text string
	step int
	wait bool
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.wait = !s.wait; s.wait {
		return 0, os.ErrDeadlineExceeded
	}
	if s.text == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(s.step, len(p))], s.text)
	s.text = s.text[n:]
	return n, nil
}

// A body that arrives in pieces is read on after each timeout, wherever that was; one that is truncated, or has a
// malformed chunk, is never complete.
func TestChunkedReaderResumesAfterTimeouts(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, text, body     string
		malformed, truncated bool
	}{
		{"one", "5\r\nhello\r\n0\r\n\r\n", "hello", false, false},
		{"more, with extensions and trailers", "5;a=b\r\nhello\r\n12c \r\n" + long + "\r\n0\r\nA: b\r\nC: d\r\n\r\n", "hello" + long, false, false},
		{"none", "0\r\n\r\n", "", false, false},
		{"no end", "5\r\nhello\r\n", "hello", false, true},
		{"no end of the trailers", "5\r\nhello\r\n0\r\nA: b\r\n", "hello", false, true},
		{"truncated chunk", "5\r\nhel", "hel", false, true},
		{"no size", "\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"a sign", "+5\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"a bare LF", "5\nhello\r\n0\r\n\r\n", "", true, false},
		{"too long a chunk", "4\r\nhello\r\n0\r\n\r\n", "hell", true, false},
		{"a trailer line that is no field", "5\r\nhello\r\n0\r\nno colon\r\n\r\n", "hello", true, false},
		{"more than may be", "5\r\nhello\r\n3ffffff\r\n", "hello", true, false},
	} {
		for _, step := range []int{1, 2, 3, 50} {
			ch := &chunkedReader{br: bufio.NewReaderSize(&slowReader{text: c.text, step: step}, 4<<10)}
			var got bytes.Buffer
			var err error
			for buf := make([]byte, 64); ; {
				var n int
				n, err = ch.Read(buf)
				got.Write(buf[:n])
				if err != nil && !isTimeout(err) {
					break
				}
			}
			malformed, truncated := errors.Is(err, conns.ErrMalformedResponse), err == io.ErrUnexpectedEOF
			if got.String() != c.body || malformed != c.malformed || truncated != c.truncated || !malformed && !truncated && err != io.EOF {
				t.Errorf("%s, %d bytes at once: %q, %v", c.name, step, got.String(), err)
			}
		}
	}
}
