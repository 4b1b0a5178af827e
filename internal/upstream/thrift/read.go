package thrift

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// unreservedBytes is the memory that a message may use without a reservation.
	unreservedBytes = 4 << 10
	// bufferGrowth is the factor by which the buffer of a message grows, as its bytes arrive.
	bufferGrowth = 4
	// frameLengthBytes is the size of the length field before a framed message.
	frameLengthBytes = 4
	// defaultFrameLimit bounds a frame if the limits have no size.
	defaultFrameLimit = 16 << 20
)

// unreadableError marks the error of bytes that are not a valid message, from a client or a backend.
type unreadableError struct{ error }

func (u unreadableError) Unwrap() error { return u.error }

func unreadablef(format string, args ...any) error {
	return unreadableError{fmt.Errorf("%w: %s", thriftwire.ErrMalformed, fmt.Sprintf(format, args...))}
}

// IsUnreadable says whether an error of Read is caused by a malformed or too large message, not by the
// connection.
func IsUnreadable(err error) bool {
	var u unreadableError
	return errors.As(err, &u)
}

// Read reads one message and extracts the fields of paths. For memory over unreservedBytes it calls reserve,
// as the message grows, and returns its error. Beside an error it returns what has arrived of the message's head.
func Read(
	br *bufio.Reader, t thriftwire.Transport, limits thriftwire.Limits, paths []thriftwire.Path, reserve func(n int64) error,
) ([]byte, thriftwire.Message, error) {
	r := thriftwire.NewReader(limits, paths...)
	read := readUnframed
	if t == thriftwire.Framed {
		read = readFramed
	}
	msg, err := read(br, r, limits, reserve)
	return msg, r.Message, err
}

// readFramed reads a message of the framed transport, which precedes it with its length.
func readFramed(br *bufio.Reader, r *thriftwire.Reader, limits thriftwire.Limits, reserve func(n int64) error) ([]byte, error) {
	msg, err := readFrame(br, limits, reserve)
	if err != nil {
		_, _ = r.Read(msg) // for the head; the error is that of the connection
		return nil, err
	}
	ok, err := r.Read(msg)
	switch {
	case err != nil:
		return nil, unreadableError{err}
	case !ok:
		return nil, unreadablef("a frame shorter than its message")
	case r.Size != len(msg):
		return nil, unreadablef("a frame of %d bytes with a message of %d", len(msg), r.Size)
	}
	return msg, nil
}

// readFrame reads the content of a frame, or the part before an error. Memory for a large frame is reserved only as its
// bytes arrive, so that a peer can't occupy memory just by announcing one.
func readFrame(br *bufio.Reader, limits thriftwire.Limits, reserve func(n int64) error) ([]byte, error) {
	length, err := br.Peek(frameLengthBytes)
	if err == io.EOF && br.Buffered() > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	maxSize := limits.Size
	if maxSize <= 0 {
		maxSize = defaultFrameLimit
	}
	size, err := thriftwire.FrameSize(length, maxSize)
	if err != nil {
		return nil, unreadableError{err}
	}
	br.Discard(frameLengthBytes)
	msg := make([]byte, min(size, unreservedBytes))
	if n, err := io.ReadFull(br, msg); err != nil {
		return msg[:n], err
	}
	for len(msg) < size {
		grown := min(bufferGrowth*len(msg), size)
		if err := reserve(int64(grown - len(msg))); err != nil {
			return msg, err
		}
		arrived := len(msg)
		msg = append(make([]byte, 0, grown), msg...)[:grown]
		if n, err := io.ReadFull(br, msg[arrived:]); err != nil {
			return msg[:arrived+n], err
		}
	}
	return msg, nil
}

// readUnframed reads a message of the unframed transport, which has no length: parsing its content finds its
// end.
func readUnframed(br *bufio.Reader, r *thriftwire.Reader, _ thriftwire.Limits, reserve func(n int64) error) ([]byte, error) {
	msg := make([]byte, 0, unreservedBytes)
	for {
		// Wait for one byte, then look only at what has arrived: bytes after this message belong to the next
		// one.
		if _, err := br.Peek(1); err != nil {
			if len(msg) > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		arrived, _ := br.Peek(br.Buffered())
		before := len(msg)
		if before+len(arrived) > cap(msg) {
			grown := max(bufferGrowth*cap(msg), before+len(arrived))
			if err := reserve(int64(grown - cap(msg))); err != nil {
				return nil, err
			}
			msg = append(make([]byte, 0, grown), msg...)
		}
		msg = append(msg, arrived...)
		ok, err := r.Read(msg)
		if err != nil {
			return nil, unreadableError{err}
		}
		if ok {
			br.Discard(r.Size - before)
			// r.Message may refer to an earlier buffer, which is not modified any more.
			return msg[:r.Size], nil
		}
		br.Discard(len(arrived))
	}
}
