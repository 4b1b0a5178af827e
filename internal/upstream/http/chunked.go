package http

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"strconv"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

// chunkedReader reads a chunked body (RFC 9112, section 7.1). net/http's reader is not used: once a read has run out
// of time it is of no more use, and an answer that comes slowly is passed on from where it was.
type chunkedReader struct {
	br         *bufio.Reader
	chunkLeft  int64 // of the chunk
	total      int64 // of the body, with this chunk
	inChunk    bool  // a chunk has been read whose end has not
	inTrailers bool  // the last chunk has come, and trailers do
	ended      bool

	trailers []byte // as far as they have come
}

// Read reads of the body. After an error of the connection that is a time-out it may be called again.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.chunkLeft == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if c.inTrailers {
			if err := c.readTrailers(); err != nil {
				return 0, err
			}
			c.ended = true
			continue
		}
		if c.inChunk {
			end, err := c.br.Peek(2)
			if err != nil {
				return 0, unexpected(err)
			}
			if string(end) != "\r\n" {
				return 0, conns.MalformedResponse("a chunk that does not end where it says")
			}
			c.br.Discard(2)
			c.inChunk = false
		}
		line, err := peekLine(c.br)
		if err != nil {
			return 0, err
		}
		size, sound := bytes.CutSuffix(line, []byte("\r\n"))
		size, _, _ = bytes.Cut(size, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		n, err := strconv.ParseUint(string(size), 16, 63)
		if !sound || err != nil || c.total+int64(min(n, MaxResponseBodyBytes+1)) > MaxResponseBodyBytes {
			return 0, conns.MalformedResponse("chunk size %.20q", line)
		}
		c.br.Discard(len(line))
		if n == 0 {
			c.inTrailers = true
			continue
		}
		c.chunkLeft, c.inChunk = int64(n), true
		c.total += c.chunkLeft
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.chunkLeft)])
	c.chunkLeft -= int64(n)
	return n, unexpected(err)
}

// readTrailers reads what ends a chunked body: trailer fields, which nobody here wants,
// and an empty line that is CR LF and nothing else (RFC 9112, section 7.1.2). What this
// reader and net/http's do not both take for the end is none: two readers that disagree
// on where an answer ends are how answers get mixed up on a kept connection.
func (c *chunkedReader) readTrailers() error {
	for {
		line, err := peekLine(c.br)
		if err != nil {
			return err
		}
		c.trailers = append(c.trailers, line...)
		c.br.Discard(len(line))
		switch {
		case len(c.trailers) > maxTrailerBytes:
			return conns.MalformedResponse("trailers too large")
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return conns.MalformedResponse("a trailer line that ends in no CR LF")
		case len(line) > 2:
			continue
		case len(c.trailers) == 2:
			return nil // none, as nearly always
		}
		if _, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.trailers))).ReadMIMEHeader(); err != nil {
			return conns.MalformedResponse("trailers: %v", err)
		}
		return nil
	}
}

// peekLine waits for a whole line, and leaves it where it is.
func peekLine(br *bufio.Reader) ([]byte, error) {
	for n := max(br.Buffered(), 1); ; n = max(n+1, br.Buffered()) {
		line, err := br.Peek(n)
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			return line[:i+1], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, conns.MalformedResponse("line too long")
		} else if err != nil {
			return nil, unexpected(err)
		}
	}
}

// unexpected is the error of a body that ends before its end.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
