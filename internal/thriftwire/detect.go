package thriftwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Transport is how messages are delimited on a connection.
type Transport uint8

// The transports.
const (
	Framed   Transport = iota + 1 // each is preceded by its length, four bytes, big-endian
	Unframed                      // each directly follows the one before ("buffered")
)

func (t Transport) String() string {
	if t == Framed {
		return "framed"
	}
	return "unframed"
}

// Errors of protocols that Detect recognizes and that are not supported.
var (
	ErrHTTP    = errors.New("thrift: the client speaks HTTP")
	ErrTHeader = errors.New("thrift: the client speaks THeader, which is not served")
)

// DetectBytes is the number of bytes that always suffice for Detect.
const DetectBytes = 6

// Detect detects the transport and protocol of a connection by its first bytes. ok is false if more bytes
// are needed. Its purpose is the transport, as each message shows its protocol by itself:
//
//	80 01            unframed, strict binary
//	82               unframed, compact
//	00 00 00 00      an empty frame, or a method with an empty name: malformed
//	00..7f LLLLLL    a length: of a frame if a message follows, else of the name of an old binary
//	                 message, whose first byte is printable
func Detect(b []byte) (t Transport, p Protocol, ok bool, err error) {
	if len(b) == 0 {
		return 0, 0, false, nil
	}
	switch c := b[0]; {
	case c == 0x80:
		return Unframed, Binary, true, nil
	case c == 0x82:
		return Unframed, Compact, true, nil
	case c >= 'A' && c <= 'Z':
		if len(b) < 4 {
			return 0, 0, false, nil
		}
		if isMethod(b[:4]) {
			return 0, 0, false, ErrHTTP
		}
	case c >= 0x80:
		return 0, 0, false, malformed("no message begins with %#x", c)
	}
	if len(b) >= 4 && string(b[:4]) == "\x00\x00\x00\x00" {
		// Rejected without the next byte: the client may wait for an answer and send nothing more.
		return 0, 0, false, malformed("neither a frame nor a message begins with % x", b[:4])
	}
	if len(b) < 5 {
		return 0, 0, false, nil
	}
	size := binary.BigEndian.Uint32(b)
	switch {
	case b[4] == 0x80:
		return Framed, Binary, true, nil
	case b[4] == 0x82:
		return Framed, Compact, true, nil
	case b[4] == 0x0f:
		if len(b) < 6 {
			return 0, 0, false, nil
		}
		if b[5] == 0xff {
			return 0, 0, false, ErrTHeader
		}
	case b[4] == 0 && size >= 4:
		return Framed, OldBinary, true, nil
	case b[4] > ' ' && b[4] < 0x7f && size <= MaxName:
		return Unframed, OldBinary, true, nil
	}
	return 0, 0, false, malformed("neither a frame nor a message begins with % x", b[:5])
}

func isMethod(b []byte) bool {
	switch string(b) {
	case "GET ", "POST", "PUT ", "HEAD", "DELE", "OPTI", "PATC", "TRAC", "CONN", "PRI ":
		return true
	}
	return false
}

// FrameSize reads the length of a frame. An empty one is malformed, as a frame holds one message.
func FrameSize(b []byte, maxSize int) (int, error) {
	n := int32(binary.BigEndian.Uint32(b))
	switch {
	case n <= 0:
		return 0, malformed("a frame of %d bytes", n)
	case int(n) > maxSize:
		return 0, fmt.Errorf("%w: a frame of %d bytes, at most %d", ErrTooLarge, n, maxSize)
	}
	return int(n), nil
}
