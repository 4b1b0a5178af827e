package http

import (
	"bytes"
	"strconv"
	"strings"
)

// framingChecker follows the raw bytes of a client's connection from message to message, to find what net/http
// accepts silently: a Content-Length beside a Transfer-Encoding, of which it drops the first. A request whose length
// can be read in two ways may hide another one (RFC 9112, sections 6 and 7). It decides only whether the framing of
// a chunked request can be trusted; from the first message on that it can't follow, none is.
type framingChecker struct {
	state            framingState
	line             []byte // of a head, or the size of a chunk, as far as it has arrived; at most maxLine
	length           int64  // of the body by Content-Length; -1: there is none
	transferEncoding bool   // the head has one
	headBegun        bool   // a line of the head has arrived
	remaining        int64  // of the body or the chunk
	heads            int    // complete heads
	firstUntrusted   int    // the number of the first head that is not trusted, from 1; 0: there is none
}

type framingState uint8

const (
	inHead framingState = iota
	inBody
	inSize
	inChunk
	inChunkEnd
	inTrailer
	untrusted
)

const (
	// maxLine bounds the part of a line that is stored: a length or an encoding is far shorter, and of longer
	// fields only the name matters.
	maxLine = 256
	// maxLengthBits bounds the lengths that are followed.
	maxLengthBits = 62
)

// feed takes bytes that were read from the connection.
func (f *framingChecker) feed(p []byte) {
	for len(p) > 0 && f.state != untrusted {
		if f.state == inBody || f.state == inChunk {
			p = f.skip(p)
			continue
		}
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), maxLine-len(f.line))]...)
		if !ended {
			return
		}
		p = rest
		f.endLine(strings.TrimSuffix(string(f.line), "\r"))
		f.line = f.line[:0]
	}
}

// skip passes over bytes of a body or chunk, and returns what follows.
func (f *framingChecker) skip(p []byte) []byte {
	n := min(int64(len(p)), f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		if f.state == inChunk {
			f.state = inChunkEnd
		} else {
			f.nextMessage()
		}
	}
	return p[n:]
}

// nextMessage begins a message.
func (f *framingChecker) nextMessage() {
	f.state = inHead
	f.length = -1
	f.transferEncoding = false
	f.headBegun = false
}

// distrust gives up, from the head of this number on.
func (f *framingChecker) distrust(head int) {
	f.state = untrusted
	f.firstUntrusted = head
}

// endLine takes a complete line.
func (f *framingChecker) endLine(line string) {
	switch f.state {
	case inHead:
		f.headLine(line)
	case inSize:
		f.sizeLine(line)
	case inChunkEnd:
		f.state = inSize
		if line != "" {
			f.distrust(f.heads + 1)
		}
	case inTrailer:
		if line == "" {
			f.nextMessage()
		}
	}
}

// sizeLine takes the line before the data of a chunk.
func (f *framingChecker) sizeLine(line string) {
	text, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, maxLengthBits)
	switch {
	case err != nil:
		f.distrust(f.heads + 1) // net/http rejects it too, and closes the connection
	case size == 0:
		f.state = inTrailer
	default:
		f.state = inChunk
		f.remaining = int64(size)
	}
}

// headLine takes a line of a head.
func (f *framingChecker) headLine(line string) {
	if line == "" {
		f.endHead()
		return
	}
	f.headBegun = true
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimRight(name, " \t")) {
	case "content-length":
		n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, maxLengthBits)
		if err != nil || f.length >= 0 && f.length != int64(n) {
			f.distrust(f.heads + 1)
			return
		}
		f.length = int64(n)
	case "transfer-encoding":
		f.transferEncoding = true
	}
}

// endHead takes the empty line after a head. An empty line before a head is ignored.
func (f *framingChecker) endHead() {
	if !f.headBegun {
		return
	}
	f.heads++
	switch {
	case f.transferEncoding && f.length >= 0:
		f.distrust(f.heads)
	case f.transferEncoding:
		f.state = inSize
	case f.length > 0:
		f.state = inBody
		f.remaining = f.length
	default:
		f.nextMessage()
	}
}
