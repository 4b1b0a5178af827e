// Package zkwire reads and writes the records of ZooKeeper's client protocol: frames of jute, each behind
// its length. It does no I/O and keeps nothing. What comes is bounded by the frame that it stands in: no
// count or length of it makes more memory than the frame has bytes.
//
// Source: the ZooKeeper project's zookeeper.jute and its "Programmer's Guide"; operation and error codes
// are those of ZooDefs and KeeperException.Code.
package zkwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed marks a record that can't be read. It is final.
var ErrMalformed = errors.New("zookeeper: malformed record")

// DefaultMaxFrameBytes bounds a frame, in bytes: the servers' own default, jute.maxbuffer, with room for the head.
const DefaultMaxFrameBytes = 0xfffff + 1024

// Reader reads a record. After the first error it returns zero values; Err tells it.
type Reader struct {
	b   []byte
	err error
}

// NewReader reads from a frame without its length.
func NewReader(b []byte) *Reader { return &Reader{b: b} }

// Err is what went wrong, if anything did.
func (r *Reader) Err() error { return r.err }

// Len is the number of bytes that are left.
func (r *Reader) Len() int { return len(r.b) }

func (r *Reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrMalformed, what)
	}
	r.b = nil
}

func (r *Reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.fail(fmt.Sprintf("%d bytes wanted, %d left", n, len(r.b)))
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

// Int reads an int.
func (r *Reader) Int() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

// Long reads a long.
func (r *Reader) Long() int64 {
	if b := r.take(8); b != nil {
		return int64(binary.BigEndian.Uint64(b))
	}
	return 0
}

// Bool reads a boolean.
func (r *Reader) Bool() bool {
	b := r.take(1)
	return len(b) == 1 && b[0] != 0
}

// Buffer reads a buffer; it is part of the frame. -1 for a length is none.
func (r *Reader) Buffer() []byte {
	n := r.Int()
	if n == -1 {
		return nil
	}
	return r.take(int(n))
}

// String reads a string.
func (r *Reader) String() string { return string(r.Buffer()) }

// Strings reads a vector of strings.
func (r *Reader) Strings() []string {
	n := r.count(4)
	if n == 0 {
		return nil
	}
	out := make([]string, 0, n)
	for range n {
		out = append(out, r.String())
	}
	return out
}

// count reads the length of a vector whose elements have so many bytes at least.
func (r *Reader) count(least int) int {
	n := int(r.Int())
	if n == -1 {
		return 0
	}
	if n < 0 || n > len(r.b)/least {
		r.fail(fmt.Sprintf("a vector of %d in %d bytes", n, len(r.b)))
		return 0
	}
	return n
}

// Appenders of jute's types.

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

// AppendBuffer appends a buffer; nil is none.
func AppendBuffer(b, v []byte) []byte {
	if v == nil {
		return AppendInt(b, -1)
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

// Frame returns a frame whose record append writes.
func Frame(write func([]byte) []byte) []byte {
	b := write(make([]byte, 4, 64))
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}
