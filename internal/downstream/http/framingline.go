package http

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxLine bounds the part of a line that is stored. Of fields other than lengths only the name matters.
	maxLine = 256
	// maxChunkSizeLine bounds the line in front of a chunk in bytes, and maxChunkSizeDigits its number; net/http has the
	// same bounds.
	maxChunkSizeLine   = 4 << 10
	maxChunkSizeDigits = 16
)

// lineBuffer collects a line as it arrives.
type lineBuffer struct {
	stored []byte // at most maxLine
	bytes  int    // that have arrived, stored or not
	crs    int    // how many of them are CRs
	endsCR bool   // the last of them is one
}

// add adds bytes of the line.
func (b *lineBuffer) add(part []byte) {
	if len(part) == 0 {
		return
	}
	b.stored = append(b.stored, part[:min(len(part), maxLine-len(b.stored))]...)
	b.bytes += len(part)
	b.crs += bytes.Count(part, []byte("\r"))
	b.endsCR = part[len(part)-1] == '\r'
}

// isEmpty reports whether no byte of the line has arrived.
func (b *lineBuffer) isEmpty() bool { return b.bytes == 0 }

// take returns the line, which has ended, and prepares for the next one.
func (b *lineBuffer) take() framingLine {
	line := framingLine{
		text:  string(b.stored),
		cut:   b.bytes > len(b.stored),
		crlf:  b.endsCR && b.crs == 1,
		bytes: b.bytes + 1,
	}
	if !line.cut {
		line.text = strings.TrimSuffix(line.text, "\r")
	}
	*b = lineBuffer{stored: b.stored[:0]}
	return line
}

// framingLine is a line without its end. No number is read from one that is cut: what was dropped may continue it.
type framingLine struct {
	text  string
	cut   bool // text is only the beginning, of maxLine bytes
	crlf  bool // the line ends in CR LF, and has no other CR
	bytes int  // of the line and its end
}

// isEmpty reports whether the line is an empty one.
func (l framingLine) isEmpty() bool { return l.text == "" && !l.cut }

// chunkSize reads the size of a chunk, and accepts what net/http accepts: at most maxChunkSizeDigits, and behind them
// spaces or an extension, but not both.
func (l framingLine) chunkSize() (size int64, ok bool) {
	text := l.text
	if !l.cut {
		text = strings.TrimRight(text, " \t")
	}
	text, _, hasExtension := strings.Cut(text, ";")
	if !l.crlf || l.bytes > maxChunkSizeLine || len(text) > maxChunkSizeDigits || l.cut && !hasExtension {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, maxLengthBits)
	return int64(n), err == nil
}
