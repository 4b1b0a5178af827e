package thrift

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// unreservedBytes is what a message may use of memory without reserving it.
	unreservedBytes = 4 << 10
	// frameLengthBytes is the size of the length before a framed message.
	frameLengthBytes = 4
	// defaultFrameLimit bounds a frame where the limits do not.
	defaultFrameLimit = 16 << 20
)

// unreadableError is the error of bytes that are no message, whoever sent them.
type unreadableError struct{ error }

func (u unreadableError) Unwrap() error { return u.error }

func unreadablef(format string, args ...any) error {
	return unreadableError{fmt.Errorf("%w: %s", thriftwire.ErrMalformed, fmt.Sprintf(format, args...))}
}

// IsUnreadable says whether an error of Read is due to a malformed or too large message, not to the connection.
func IsUnreadable(err error) bool {
	var u unreadableError
	return errors.As(err, &u)
}

// Read reads one message and looks for the fields of paths. It calls reserve for memory over unreservedBytes, as
// the message grows, and returns its error.
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

// readFramed reads a message that is preceded by its length.
func readFramed(br *bufio.Reader, r *thriftwire.Reader, limits thriftwire.Limits, reserve func(n int64) error) ([]byte, error) {
	msg, err := readFrame(br, limits, reserve)
	if err != nil {
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

// readFrame reads a frame. Memory for a large one is reserved only once its beginning has arrived, so that a peer
// that only claims one occupies none.
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
	if _, err := io.ReadFull(br, msg); err != nil {
		return nil, err
	}
	if size <= unreservedBytes {
		return msg, nil
	}
	if err := reserve(int64(size)); err != nil {
		return nil, err
	}
	msg = append(make([]byte, 0, size), msg...)[:size]
	_, err = io.ReadFull(br, msg[unreservedBytes:])
	return msg, err
}

// readUnframed reads a message that has no length: it ends where its content does.
func readUnframed(br *bufio.Reader, r *thriftwire.Reader, _ thriftwire.Limits, reserve func(n int64) error) ([]byte, error) {
	msg := make([]byte, 0, unreservedBytes)
	for {
		// Wait for one byte, then read no more than has arrived: what follows the message belongs to the next.
		if _, err := br.Peek(1); err != nil {
			if len(msg) > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		arrived, _ := br.Peek(br.Buffered())
		before := len(msg)
		if before+len(arrived) > cap(msg) {
			grown := max(2*cap(msg), before+len(arrived))
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
			// r.Message may refer to an older buffer, whose content stays as it is.
			return msg[:r.Size], nil
		}
		br.Discard(len(arrived))
	}
}
