package http

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// framingChecker tracks the message framing in the raw bytes of a client's connection. It detects what
// net/http accepts silently: a request with both Content-Length and Transfer-Encoding, of which net/http
// ignores the former. A request whose length is ambiguous may smuggle another one (RFC 9112, sections 6 and
// 7). Once it can't parse a message, it trusts none from that one on, and ends the stream of bytes.
//
// It also bounds the bytes and fields of a head, and the fields of a trailer section. net/http bounds bytes alone, and a
// field of four bytes takes it over a hundred; it also keeps a connection for half a second behind a head that is too
// long.
type framingChecker struct {
	state            framingState
	line             lineBuffer
	contentLength    int64  // of the current head; -1: there is none
	transferEncoding bool   // the current head has this field
	headBegun        bool   // a line of the current head has arrived
	lineEnds         int    // number of CR and LF bytes that may still be ignored before the next head
	requestLine      uint64 // of the current head, see hashRequestLine
	lines            int    // number of complete lines of the current head or trailer section
	headBytes        int    // of the current head
	lastHeadBytes    int    // of the last complete head, until the next one begins
	remaining        int64  // bytes of the body or the chunk
	heads            int    // number of complete heads
	messages         int    // number of complete messages, and of heads that can't be used and are answered
	firstUntrusted   int    // number of the first head that is not trusted, counted from 1; 0: there is none
	tooLarge         int    // number of the head that exceeds maxHeadBytes or maxHeaderFields; 0: there is none
	received         receivedHeads
}

type framingState uint8

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inUntrustedHead // the head can't be used, and is to be ended
	untrusted       // nothing that follows is passed on
)

const (
	// maxLengthBits bounds the lengths of bodies and chunks that are accepted.
	maxLengthBits = 62
	// maxIgnoredLineEnds is how many CR and LF bytes net/http ignores behind a POST (RFC 9112, section 2.2).
	maxIgnoredLineEnds = 4
	// maxHeaderFields bounds the fields of a head, and maxTrailerFields those of a trailer section.
	maxHeaderFields  = 128
	maxTrailerFields = 16
)

// feed processes bytes that were read from the connection, and returns how many of them may be passed on. A head that
// can't be used ends there with an empty line, which replaces its next byte, so that it can be answered; of anything
// else that can't be used the rest is dropped.
func (f *framingChecker) feed(p []byte) (usable int) {
	rest := p
	for len(rest) > 0 && f.state != untrusted {
		f.limitFields(rest[0])
		switch f.state {
		case untrusted:
			return len(p) - len(rest)
		case inUntrustedHead:
			rest[0] = '\n'
			f.state = untrusted
			return len(p) - len(rest) + 1
		case inBody, inChunk:
			rest = f.skip(rest)
			continue
		case inHead:
			if f.ignoresLineEnd(rest[0]) {
				rest = rest[1:]
				continue
			}
		}
		part, behind, ended := bytes.Cut(rest, []byte("\n"))
		if room := max(maxHeadBytes-f.headBytes, 0); f.state == inHead && len(part) > room {
			f.markTooLarge()
			rest[room] = '\n' // ends the line
			return len(p) - len(rest) + room + 1 + f.feed(rest[room+1:])
		}
		f.headBytes += len(rest) - len(behind)
		f.line.add(part)
		if !ended {
			return len(p)
		}
		rest = behind
		f.endLine(f.line.take())
	}
	return len(p) - len(rest)
}

// ignoresLineEnd reports whether next is a CR or LF that net/http ignores, in front of a head.
func (f *framingChecker) ignoresLineEnd(next byte) bool {
	if f.headBegun || !f.line.isEmpty() {
		return false
	}
	if f.lineEnds == 0 || next != '\r' && next != '\n' {
		f.lineEnds = 0
		return false
	}
	f.lineEnds--
	return true
}

// limitFields ends a head or trailer section if next begins one field too many.
func (f *framingChecker) limitFields(next byte) {
	if !f.line.isEmpty() || next == '\r' || next == '\n' {
		return
	}
	switch {
	case f.state == inHead && f.lines > maxHeaderFields: // the first line is the request line
		f.markTooLarge()
	case f.state == inTrailer && f.lines >= maxTrailerFields:
		f.markUntrusted(f.heads + 1)
	}
}

// markTooLarge ends the current head, which counts as complete.
func (f *framingChecker) markTooLarge() {
	f.heads++
	f.messages = f.heads
	f.tooLarge = f.heads
	f.firstUntrusted = f.heads
	f.state = inUntrustedHead
}

// checkHead returns a *requestError if a head, counted from 1, can't be used: it was cut off as it is too large, or its
// length is ambiguous or can't be read.
func (f *framingChecker) checkHead(number int) error {
	switch {
	case number == f.tooLarge:
		return statusError(http.StatusRequestHeaderFieldsTooLarge)
	case f.firstUntrusted == 0 || number < f.firstUntrusted:
		return nil
	case number <= f.heads:
		return errAmbiguousLength
	}
	return errUnusableLength
}

// heldHeadBytes returns the bytes of the current head, or of the last one while none has begun since.
func (f *framingChecker) heldHeadBytes() int { return max(f.headBytes, f.lastHeadBytes) }

// ended reports whether nothing that follows is passed on.
func (f *framingChecker) ended() bool { return f.state == untrusted }

// skip skips bytes of a body or chunk, and returns those that follow it.
func (f *framingChecker) skip(p []byte) []byte {
	n := min(int64(len(p)), f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		if f.state == inChunk {
			f.state = inChunkEnd
		} else {
			f.endMessage()
		}
	}
	return p[n:]
}

// endMessage ends a message that has arrived completely.
func (f *framingChecker) endMessage() {
	f.messages = f.heads
	f.nextMessage()
}

// nextMessage prepares for the head of the next message.
func (f *framingChecker) nextMessage() {
	f.state = inHead
	f.contentLength = -1
	f.transferEncoding = false
	f.headBegun = false
	f.lines = 0
	f.headBytes = 0
}

// markUntrusted stops checking and trusts no head from this number on.
func (f *framingChecker) markUntrusted(head int) {
	f.state = untrusted
	f.firstUntrusted = head
}

// endLine processes a complete line.
func (f *framingChecker) endLine(line framingLine) {
	switch f.state {
	case inHead:
		f.headLine(line)
	case inChunkSize:
		f.chunkSizeLine(line)
	case inChunkEnd:
		f.state = inChunkSize
		if !line.isEmpty() || !line.crlf {
			f.markUntrusted(f.heads + 1)
		}
	case inTrailer:
		f.lines++
		if line.isEmpty() {
			f.endMessage()
		}
	}
}

// chunkSizeLine processes the line before the data of a chunk.
func (f *framingChecker) chunkSizeLine(line framingLine) {
	size, ok := line.chunkSize()
	switch {
	case !ok:
		f.markUntrusted(f.heads + 1) // net/http rejects it too, and closes the connection
	case size == 0:
		f.state = inTrailer
		f.lines = 0
	default:
		f.state = inChunk
		f.remaining = size
	}
}

// headLine processes a line of a head.
func (f *framingChecker) headLine(line framingLine) {
	if line.isEmpty() {
		f.endHead()
		return
	}
	f.lastHeadBytes = 0
	f.lines++
	if !f.headBegun {
		f.headBegun = true
		f.requestLine = hashRequestLine(line.text)
		if strings.HasPrefix(line.text, http.MethodPost+" ") {
			f.lineEnds = maxIgnoredLineEnds
		}
		return
	}
	name, value, _ := strings.Cut(line.text, ":")
	switch strings.ToLower(strings.TrimRight(name, " \t")) {
	case "content-length":
		n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, maxLengthBits)
		if err != nil || line.cut || f.contentLength >= 0 && f.contentLength != int64(n) {
			f.firstUntrusted = f.heads + 1
			f.state = inUntrustedHead
			return
		}
		f.contentLength = int64(n)
	case "transfer-encoding":
		f.transferEncoding = true
	}
}

// endHead processes the empty line after a head. One in place of a request line can't be used, and net/http rejects it.
func (f *framingChecker) endHead() {
	if !f.headBegun {
		f.markUntrusted(f.heads + 1)
		return
	}
	f.heads++
	f.lastHeadBytes = f.headBytes
	head := receivedHead{requestLine: f.requestLine, bodyLength: max(f.contentLength, 0)}
	if f.transferEncoding {
		head.bodyLength = chunkedBody
	}
	f.received.add(head)
	switch {
	case f.transferEncoding && f.contentLength >= 0:
		f.messages = f.heads
		f.markUntrusted(f.heads)
	case f.transferEncoding:
		f.state = inChunkSize
	case f.contentLength > 0:
		f.state = inBody
		f.remaining = f.contentLength
	default:
		f.endMessage()
	}
}
