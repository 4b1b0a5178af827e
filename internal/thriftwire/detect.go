package thriftwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Transport is how messages stand on a connection.
type Transport uint8

// The transports.
const (
	Framed   Transport = iota + 1 // each behind its length, four bytes, big-endian
	Unframed                      // one behind the other ("buffered")
)

func (t Transport) String() string {
	if t == Framed {
		return "framed"
	}
	return "unframed"
}

// What is told apart and not spoken.
var (
	ErrHTTP    = errors.New("thrift: the client speaks HTTP")
	ErrTHeader = errors.New("thrift: the client speaks THeader, which is not served")
)

// DetectBytes is the number of bytes by which Detect always knows.
const DetectBytes = 6

// Detect tells a connection's transport and protocol by its first bytes. ok is false where there are
// too few yet. The first message tells the protocol again; this is to tell transports apart:
//
//	80 01            unframed, strict binary
//	82               unframed, compact
//	00 00 00 00      an empty frame, or a method without a name: nothing
//	00..7f LLLLLL    a length: framed, if what follows begins a message; else the length of an old
//	                 binary message's name, which begins with a letter
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
		// Who sends it may wait for an answer, and never send more.
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

// FrameSize reads the length of a frame. A frame holds one message, so that none is empty.
func FrameSize(b []byte, most int) (int, error) {
	n := int32(binary.BigEndian.Uint32(b))
	switch {
	case n <= 0:
		return 0, malformed("a frame of %d bytes", n)
	case int(n) > most:
		return 0, fmt.Errorf("%w: a frame of %d bytes, at most %d", ErrTooLarge, n, most)
	}
	return int(n), nil
}
