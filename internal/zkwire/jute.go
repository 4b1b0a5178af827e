// Package zkwire encodes and decodes the records of ZooKeeper's client protocol: jute records in frames that
// begin with their length. It does no I/O and has no state. No count or length in a record makes it allocate
// more elements than its frame has bytes.
//
// The records are defined in the ZooKeeper project's zookeeper.jute and "Programmer's Guide".
package zkwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by the error of a record that can't be read.
var ErrMalformed = errors.New("zookeeper: malformed record")

// DefaultMaxFrameBytes is the servers' default, jute.maxbuffer, plus some bytes for the header.
const DefaultMaxFrameBytes = 0xfffff + 1024

const (
	// lengthBytes is the size of the length prefix of a frame, a buffer or a string.
	lengthBytes = 4
	// minStringBytes is the size of an empty string.
	minStringBytes = lengthBytes
	// nullLength is the length prefix of a null buffer or vector.
	nullLength = -1
	// initialFrameBytes is the initial capacity of a frame; most requests fit.
	initialFrameBytes = 64
)

// Reader decodes records. After the first error it returns zero values; Err returns that error.
type Reader struct {
	b   []byte
	err error
}

// NewReader returns a Reader of a frame without its length. Its results may share memory with the frame.
func NewReader(b []byte) *Reader { return &Reader{b: b} }

// Err returns the first error, if there was one.
func (r *Reader) Err() error { return r.err }

// Len returns the number of unread bytes.
func (r *Reader) Len() int { return len(r.b) }

func (r *Reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrMalformed, what)
	}
	r.b = nil
}

// next returns the next n bytes.
func (r *Reader) next(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.fail(fmt.Sprintf("need %d bytes, %d left", n, len(r.b)))
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

// Int reads an int.
func (r *Reader) Int() int32 {
	if b := r.next(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

// Long reads a long.
func (r *Reader) Long() int64 {
	if b := r.next(8); b != nil {
		return int64(binary.BigEndian.Uint64(b))
	}
	return 0
}

// Bool reads a boolean.
func (r *Reader) Bool() bool {
	b := r.next(1)
	return len(b) == 1 && b[0] != 0
}

// Buffer reads a buffer, which is nil if its length is nullLength. The result shares memory with the frame.
func (r *Reader) Buffer() []byte {
	n := r.Int()
	if n == nullLength {
		return nil
	}
	return r.next(int(n))
}

// String reads a string.
func (r *Reader) String() string { return string(r.Buffer()) }

// Strings reads a vector of strings.
func (r *Reader) Strings() []string {
	n := r.vectorLen(minStringBytes)
	if n == 0 {
		return nil
	}
	out := make([]string, 0, n)
	for range n {
		out = append(out, r.String())
	}
	return out
}

// vectorLen reads the length of a vector whose elements have at least minBytes bytes.
func (r *Reader) vectorLen(minBytes int) int {
	n := int(r.Int())
	if n == nullLength {
		return 0
	}
	if n < 0 || n > len(r.b)/minBytes {
		r.fail(fmt.Sprintf("vector of %d elements in %d bytes", n, len(r.b)))
		return 0
	}
	return n
}

// AppendInt appends an int.
func AppendInt(b []byte, v int32) []byte { return binary.BigEndian.AppendUint32(b, uint32(v)) }

// AppendLong appends a long.
func AppendLong(b []byte, v int64) []byte { return binary.BigEndian.AppendUint64(b, uint64(v)) }

// AppendBool appends a boolean.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendBuffer appends a buffer; nil is written with the length nullLength.
func AppendBuffer(b, v []byte) []byte {
	if v == nil {
		return AppendInt(b, nullLength)
	}
	return append(AppendInt(b, int32(len(v))), v...)
}

// AppendString appends a string.
func AppendString(b []byte, v string) []byte { return append(AppendInt(b, int32(len(v))), v...) }

// AppendStrings appends a vector of strings.
func AppendStrings(b []byte, v []string) []byte {
	b = AppendInt(b, int32(len(v)))
	for _, s := range v {
		b = AppendString(b, s)
	}
	return b
}

// Frame returns a frame that contains the record appended by write.
func Frame(write func([]byte) []byte) []byte {
	b := write(make([]byte, lengthBytes, initialFrameBytes))
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthBytes))
	return b
}
