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

// slowReader returns at most step bytes per read, with a timeout before each.
type slowReader struct {
	text     string
	step     int
	timedOut bool // by the last read
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.timedOut = !s.timedOut; s.timedOut {
		return 0, os.ErrDeadlineExceeded
	}
	if s.text == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(s.step, len(p))], s.text)
	s.text = s.text[n:]
	return n, nil
}

// Reading a body continues after a timeout at any position. A truncated body, or one with a malformed chunk,
// is never reported as complete.
func TestChunkedReaderResumesAfterTimeouts(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, text, body     string
		malformed, truncated bool
	}{
		{"one chunk", "5\r\nhello\r\n0\r\n\r\n", "hello", false, false},
		{"several chunks, extensions and trailers", "5;a=b\r\nhello\r\n12c \r\n" + long + "\r\n0\r\nA: b\r\nC: d\r\n\r\n", "hello" + long, false, false},
		{"empty body", "0\r\n\r\n", "", false, false},
		{"no last chunk", "5\r\nhello\r\n", "hello", false, true},
		{"no end of trailers", "5\r\nhello\r\n0\r\nA: b\r\n", "hello", false, true},
		{"truncated chunk", "5\r\nhel", "hel", false, true},
		{"no chunk size", "\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"chunk size with a sign", "+5\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"bare LF", "5\nhello\r\n0\r\n\r\n", "", true, false},
		{"chunk longer than its size", "4\r\nhello\r\n0\r\n\r\n", "hell", true, false},
		{"trailer line that is not a field", "5\r\nhello\r\n0\r\nno colon\r\n\r\n", "hello", true, false},
		{"body too large", "5\r\nhello\r\n3ffffff\r\n", "hello", true, false},
	} {
		for _, step := range []int{1, 2, 3, 50} {
			ch := &chunkedReader{br: bufio.NewReaderSize(&slowReader{text: c.text, step: step}, 4<<10)}
			var got bytes.Buffer
			var err error
			for buf := make([]byte, 64); ; {
				var n int
				n, err = ch.Read(buf)
				got.Write(buf[:n])
				if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
			}
			malformed, truncated := errors.Is(err, conns.ErrMalformedResponse), err == io.ErrUnexpectedEOF
			if got.String() != c.body || malformed != c.malformed || truncated != c.truncated || !malformed && !truncated && err != io.EOF {
				t.Errorf("%s, %d bytes per read: %q, %v", c.name, step, got.String(), err)
			}
		}
	}
}
