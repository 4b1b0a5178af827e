package http

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strconv"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

// maxTrailerBytes bounds the trailer section of a chunked body, including the final empty line. net/http's
// reader has the same limit.
const maxTrailerBytes = 4 << 10

// maxChunkSizeDigits bounds the digits of a chunk's size, with zeros in front. net/http's reader has the same limit.
const maxChunkSizeDigits = 16

var crlf = []byte("\r\n")

// chunkedReader reads a chunked body (RFC 9112, section 7.1). Unlike net/http's reader it can continue after
// a read timeout, so that the rest of a slow response can be streamed.
type chunkedReader struct {
	br         *bufio.Reader
	chunkLeft  int64 // unread bytes of the current chunk
	total      int64 // bytes of the body, including the current chunk
	inChunk    bool  // the CR LF at the end of the current chunk has not been read
	inTrailers bool  // the last chunk has been read
	ended      bool
	trailers   []byte // the part that has been read
}

// Read reads the body. After a read timeout it may be called again and continues.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.chunkLeft == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.chunkLeft)])
	c.chunkLeft -= int64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads the next element between chunk data: a chunk's end, a size line, or the trailers. It
// returns io.EOF at the end of the body.
func (c *chunkedReader) nextChunk() error {
	switch {
	case c.ended:
		return io.EOF
	case c.inTrailers:
		err := c.readTrailers()
		c.ended = err == nil
		return err
	case c.inChunk:
		return c.readChunkEnd()
	}
	return c.readChunkSize()
}

// readChunkEnd reads the CR LF after the data of a chunk.
func (c *chunkedReader) readChunkEnd() error {
	end, err := c.br.Peek(len(crlf))
	if err != nil {
		return unexpectedEOF(err)
	}
	if !bytes.Equal(end, crlf) {
		return conns.MalformedResponse("chunk is longer than its size")
	}
	c.br.Discard(len(crlf))
	c.inChunk = false
	return nil
}

// readChunkSize reads the line with the size of the next chunk. Chunk extensions are ignored.
func (c *chunkedReader) readChunkSize() error {
	line, err := peekLine(c.br)
	if err != nil {
		return err
	}
	size, ok := parseChunkSize(line)
	if !ok || c.total+int64(min(size, MaxResponseBodyBytes+1)) > MaxResponseBodyBytes {
		return conns.MalformedResponse("invalid chunk size %.20q", line)
	}
	c.br.Discard(len(line))
	if size == 0 {
		c.inTrailers = true
		return nil
	}
	c.chunkLeft = int64(size)
	c.total += c.chunkLeft
	c.inChunk = true
	return nil
}

// parseChunkSize reads the number of a size line, and accepts what net/http's reader accepts: at most maxChunkSizeDigits,
// and behind them spaces or an extension, but not both, and no CR but that of the line's end.
func parseChunkSize(line []byte) (size uint64, ok bool) {
	text, hasCRLF := bytes.CutSuffix(line, crlf)
	if !hasCRLF || bytes.ContainsRune(text, '\r') {
		return 0, false
	}
	text, _, _ = bytes.Cut(bytes.TrimRight(text, " \t"), []byte(";"))
	if len(text) > maxChunkSizeDigits {
		return 0, false
	}
	size, err := strconv.ParseUint(string(text), 16, 63)
	return size, err == nil
}

// readTrailers reads the end of a chunked body: trailer fields, which are ignored, and an empty line, which
// must be exactly CR LF (RFC 9112, section 7.1.2). An end that net/http's reader does not accept is
// malformed: if two readers disagree on the end of a response, responses on a reused connection get mixed up.
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
		case !bytes.HasSuffix(line, crlf):
			return conns.MalformedResponse("trailer line does not end in CR LF")
		case len(line) > len(crlf):
			continue
		case len(c.trailers) == len(crlf):
			return nil // no trailer fields, the usual case
		}
		if _, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(c.trailers))).ReadMIMEHeader(); err != nil {
			return conns.MalformedResponse("trailers: %v", err)
		}
		return nil
	}
}

// peekLine waits for a complete line and returns it without consuming it.
func peekLine(br *bufio.Reader) ([]byte, error) {
	for n := max(br.Buffered(), 1); ; n = max(n+1, br.Buffered()) {
		line, err := br.Peek(n)
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			return line[:i+1], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, conns.MalformedResponse("line too long")
		} else if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// unexpectedEOF replaces io.EOF, the end of the connection within the body, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
