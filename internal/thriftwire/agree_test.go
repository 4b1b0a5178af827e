package thriftwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

const (
	// agreementMessages is how many messages are drawn for each protocol.
	agreementMessages = 1_000
	// maxAgreementBytes bounds the messages that are compared, maxRandomFields their random fields.
	maxAgreementBytes = 2 << 10
	maxRandomFields   = 6
	// bytesBehind follow each message, so that a reader that goes on beyond its end finds bytes.
	bytesBehind = 64
)

// libraryMessage is what the Apache library reads.
type libraryMessage struct {
	name string
	kind Kind
	seq  int32
	size int
}

// readByLibrary reads one message from the beginning of b.
func readByLibrary(f thrift.TProtocolFactory, b []byte) (libraryMessage, error) {
	buf := thrift.NewTMemoryBuffer()
	buf.Write(b)
	p := f.GetProtocol(buf)
	name, kind, seq, err := p.ReadMessageBegin(context.Background())
	if err == nil {
		err = p.Skip(context.Background(), thrift.STRUCT)
	}
	return libraryMessage{name, Kind(kind), seq, len(b) - buf.Len()}, err
}

// spoil changes some bytes of a message: numbers become longer, lengths and types others.
func spoil(rng *rand.Rand, msg []byte) []byte {
	for range rng.IntN(4) {
		at := rng.IntN(len(msg))
		switch rng.IntN(4) {
		case 0:
			msg[at] = byte(rng.IntN(256))
		case 1:
			msg[at] ^= 1 << rng.IntN(8)
		case 2: // a varint that goes on, with nothing behind it
			msg[at] |= 0x80
			msg = append(msg[:at+1], append(bytes.Repeat([]byte{0x80}, rng.IntN(11)), append([]byte{0}, msg[at+1:]...)...)...)
		case 3:
			msg = append(msg[:at], msg[min(len(msg), at+rng.IntN(4)):]...)
		}
		if len(msg) == 0 {
			return []byte{0}
		}
	}
	return msg
}

// Guards against a message whose end the agent finds elsewhere than a server: what follows it would be read as another
// call. Where both accept, they agree on the header and on the offset of the end; and the protocol that Detect
// has found is the one that the message is read by.
func TestReadersAgreeOnTheEndOfAMessage(t *testing.T) {
	for proto, f := range protocols() {
		rng := rand.New(rand.NewPCG(83, uint64(proto)))
		accepted := 0
		for i := range agreementMessages {
			msg := encodeMessage(f, rng.Uint64(), thrift.CALL, int32(rng.Uint32()), "key", int64(i), rng.IntN(maxRandomFields))
			if len(msg) > maxAgreementBytes {
				continue
			}
			b := append(spoil(rng, bytes.Clone(msg)), bytes.Repeat([]byte{0}, bytesBehind)...)
			r := NewReader(Limits{})
			ok, err := r.Read(b)
			library, libraryErr := readByLibrary(protocolOf(r, f), b)
			if !ok || err != nil || libraryErr != nil {
				continue
			}
			accepted++
			if library != (libraryMessage{string(r.Name), r.Kind, r.Seq, r.Size}) {
				t.Fatalf("%v: %x: the library reads %+v, here %+v", proto, b, library, r.Message)
			}
			checkDetected(t, b, r)
		}
		t.Logf("%v: %d of %d messages were accepted by both", proto, accepted, agreementMessages)
		if accepted < agreementMessages/8 {
			t.Errorf("%v: only %d of %d messages were accepted by both", proto, accepted, agreementMessages)
		}
	}
}

// protocolOf returns the factory for the protocol by which a message was read.
func protocolOf(r *Reader, otherwise thrift.TProtocolFactory) thrift.TProtocolFactory {
	if f := protocols()[r.Protocol]; f != nil {
		return f
	}
	return otherwise
}

// checkDetected checks that Detect and the reader agree on the protocol of a message, unframed and in a frame.
func checkDetected(t *testing.T, b []byte, r *Reader) {
	t.Helper()
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(r.Size)), b[:r.Size]...)
	for transport, bytes := range map[Transport][]byte{Unframed: b, Framed: frame} {
		found, protocol, ok, err := Detect(bytes)
		if ok && err == nil && (found != transport || protocol != r.Protocol) {
			t.Fatalf("%x is detected as %v %v, and read as %v %v", bytes, found, protocol, transport, r.Protocol)
		}
	}
}
