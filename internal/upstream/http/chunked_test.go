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

// slow gives a few bytes at a time, and runs out of time between any two.
type slow struct {
	text string
	step int
	wait bool
}

func (s *slow) Read(p []byte) (int, error) {
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

// A body that comes in pieces is read on after each time-out, wherever it was cut; one that ends before its
// end, or has a chunk that is none, is never whole.
func TestChunksComeInPieces(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, text, body string
		spoilt, broken   bool
	}{
		{"one", "5\r\nhello\r\n0\r\n\r\n", "hello", false, false},
		{"more, with extensions and trailers", "5;a=b\r\nhello\r\n12c \r\n" + long + "\r\n0\r\nA: b\r\nC: d\r\n\r\n", "hello" + long, false, false},
		{"none", "0\r\n\r\n", "", false, false},
		{"no end", "5\r\nhello\r\n", "hello", false, true},
		{"no end of the trailers", "5\r\nhello\r\n0\r\nA: b\r\n", "hello", false, true},
		{"cut in a chunk", "5\r\nhel", "hel", false, true},
		{"no size", "\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"a sign", "+5\r\nhello\r\n0\r\n\r\n", "", true, false},
		{"a bare LF", "5\nhello\r\n0\r\n\r\n", "", true, false},
		{"too long a chunk", "4\r\nhello\r\n0\r\n\r\n", "hell", true, false},
		{"a trailer line that is no field", "5\r\nhello\r\n0\r\nno colon\r\n\r\n", "hello", true, false},
		{"more than may be", "5\r\nhello\r\n3ffffff\r\n", "hello", true, false},
	} {
		for _, step := range []int{1, 2, 3, 50} {
			ch := &chunkedReader{br: bufio.NewReaderSize(&slow{text: c.text, step: step}, 4<<10)}
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
			spoilt, broken := errors.Is(err, conns.ErrMalformedResponse), err == io.ErrUnexpectedEOF
			if got.String() != c.body || spoilt != c.spoilt || broken != c.broken || !spoilt && !broken && err != io.EOF {
				t.Errorf("%s, %d at once: %q, %v", c.name, step, got.String(), err)
			}
		}
	}
}
