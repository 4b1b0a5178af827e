package thrift

import (
	"encoding/binary"

	"ringtrack.example/ringtrack/internal/thriftwire"
)

// minCallBytes is less than the length of any call.
const minCallBytes = 5

// mayHoldCall reports whether the beginning of what a client has sent before it closed may hold a call. More
// than fills the slice is cut off.
func mayHoldCall(sent []byte) bool {
	if len(sent) < minCallBytes {
		return false
	}
	transport, _, detected, err := thriftwire.Detect(sent)
	if err != nil || !detected || transport != thriftwire.Framed {
		return true
	}
	cutOff := len(sent) == cap(sent)
	return cutOff || len(sent)-frameLengthBytes >= int(binary.BigEndian.Uint32(sent))
}
