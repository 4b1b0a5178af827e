package http

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"ringtrack.example/ringtrack/internal/upstream/conns"
)

const (
	// MaxResponseBodyBytes bounds the body of a response. A response that announces more is malformed.
	MaxResponseBodyBytes = 64 << 20
	// maxBufferedBody is the maximum length of a body that is read completely before it is forwarded. A
	// longer one is streamed, and so is one of unknown length that has not ended bufferTimeout after the
	// header.
	maxBufferedBody = 64 << 10
	bufferTimeout   = 100 * time.Millisecond
	// maxWholeReply is the maximum length of a body that is read completely while the process ends.
	maxWholeReply = 1 << 20
)

// responseBody is the body of a response, or its beginning.
type responseBody struct {
	bytes    []byte
	readMore func(p []byte) (int, error) // reads the rest, up to io.EOF; nil: bytes is complete
	size     int64                       // of the complete body, -1 if unknown
}

// readBody reads the body of a response, or the beginning of a long one.
func readBody(
	br *bufio.Reader, resp *http.Response, closes bool, reserve reserveFunc, setDeadline deadlineFunc,
) (*responseBody, error) {
	streamable := resp.StatusCode == http.StatusOK
	size := resp.ContentLength
	switch {
	case size > MaxResponseBodyBytes:
		return nil, conns.MalformedResponse("body of %d bytes", size)
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return &responseBody{size: size}, nil
	case len(resp.TransferEncoding) > 0:
		return readUnknownLength(&chunkedReader{br: br}, streamable, reserve, setDeadline)
	case size >= 0 && size <= maxBufferedBody:
		return readBuffered(br, size, reserve)
	case size >= 0 && !streamable:
		return nil, conns.MalformedResponse("body of %d bytes with status %d", size, resp.StatusCode)
	case size >= 0:
		return &responseBody{size: size, readMore: exactLength(io.LimitReader(br, size).Read, size)}, nil
	case closes:
		// The body ends when the connection is closed (RFC 9112, section 6.3).
		return readUnknownLength(br, streamable, reserve, setDeadline)
	}
	// A complete body could not be distinguished from a truncated one.
	return nil, conns.MalformedResponse("response has neither a length nor \"Connection: close\"")
}

// readBuffered reads a complete body of known size.
func readBuffered(br *bufio.Reader, size int64, reserve reserveFunc) (*responseBody, error) {
	if err := reserve(size); err != nil {
		return nil, err
	}
	b := &responseBody{size: size, bytes: make([]byte, size)}
	_, err := io.ReadFull(br, b.bytes)
	return b, err
}

// exactLength wraps read so that io.EOF before n bytes becomes io.ErrUnexpectedEOF.
func exactLength(read func(p []byte) (int, error), n int64) func(p []byte) (int, error) {
	return func(p []byte) (int, error) {
		m, err := read(p)
		n -= int64(m)
		if err == io.EOF && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		return m, err
	}
}

// readUnknownLength reads a body of unknown length and reserves memory as it grows. If the body is
// streamable, it reads at most maxBufferedBody bytes and no longer than bufferTimeout; otherwise it reads the
// body completely.
func readUnknownLength(
	from io.Reader, streamable bool, reserve reserveFunc, setDeadline deadlineFunc,
) (*responseBody, error) {
	b := &responseBody{size: -1}
	timed := streamable && setDeadline != nil
	if timed {
		setDeadline(time.Now().Add(bufferTimeout))
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			grown := max(2*cap(b.bytes), unreservedBytes)
			if grown > maxBufferedBody && streamable {
				b.readMore = from.Read
				return b, nil
			}
			if grown > maxBufferedBody {
				return nil, conns.MalformedResponse("body over %d bytes", maxBufferedBody)
			}
			if err := reserve(int64(grown - cap(b.bytes))); err != nil {
				return nil, err
			}
			b.bytes = append(make([]byte, 0, grown), b.bytes...)
		}
		n, err := from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == nil:
		case err == io.EOF:
			return b, nil
		case timed && errors.Is(err, os.ErrDeadlineExceeded): // not ETIMEDOUT: that connection is broken
			setDeadline(time.Time{})
			b.readMore = from.Read
			return b, nil
		default:
			return nil, err
		}
	}
}

// readRest reads the rest of a body of at most maxWholeReply. A longer one stays one that is streamed.
func (b *responseBody) readRest(reserve reserveFunc) error {
	if b.readMore == nil || b.size > maxWholeReply {
		return nil
	}
	for len(b.bytes) < maxWholeReply {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(reserve); err != nil {
				return err
			}
		}
		n, err := b.readMore(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == io.EOF:
			b.readMore = nil
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// grow reserves and allocates room for more of the body, as much as it needs if its length is known.
func (b *responseBody) grow(reserve reserveFunc) error {
	size := min(max(2*cap(b.bytes), maxBufferedBody), maxWholeReply)
	if b.size >= 0 {
		size = int(b.size) + 1 // the end is read behind the last byte
	}
	if err := reserve(int64(size - cap(b.bytes))); err != nil {
		return err
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}
