// Package oddhttp draws parts of HTTP/1.1 messages in forms that two readers may take for different ones. Most are valid,
// and the others nearly so.
package oddhttp

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

const (
	// maxFew and maxMany bound the repetitions that Repeat draws mostly, and those that it draws at times.
	maxFew, maxMany = 3, 600
	// maxSplitBody bounds the bodies that are sent in more than one chunk.
	maxSplitBody = 1000
)

// Pick draws one of the choices.
func Pick(t *rapid.T, label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(t, label)
}

// Repeat draws a text that is repeated, mostly a few times.
func Repeat(t *rapid.T, label, text string) string {
	n := rapid.IntRange(0, maxFew).Draw(t, label)
	if rapid.IntRange(0, 3).Draw(t, label+" is long") == 0 {
		n = rapid.IntRange(0, maxMany).Draw(t, label+" times")
	}
	return strings.Repeat(text, n)
}

// LineEnd draws the end of a line.
func LineEnd(t *rapid.T) string {
	return Pick(t, "line end", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n")
}

// Separator draws what stands between the name and the value of a field.
func Separator(t *rapid.T) string {
	return Pick(t, "separator", ":", ": ", ": ", ":\t", " :") + Repeat(t, "spaces", " ")
}

// Length draws the value of a Content-Length field, mostly one that is true.
func Length(t *rapid.T, length int) string {
	digits := fmt.Sprint(length)
	if rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
		digits = Pick(t, "number", "0", "+1", "-1", "1_0", "", "4611686018427387904", "9223372036854775807", "0x1", "1 1", "7")
	}
	return Repeat(t, "zeros", "0") + digits + Repeat(t, "spaces behind", " ")
}

// Folded draws a line that continues the one before.
func Folded(t *rapid.T) string {
	return Pick(t, "fold", " ", "\t") + Pick(t, "folded", "x", "Content-Length: 3", "Transfer-Encoding: chunked", "")
}

// Chunks draws the encoding of a body in chunks.
func Chunks(t *rapid.T, body string) string {
	var out strings.Builder
	for part := body; part != ""; {
		n := len(part)
		if len(body) <= maxSplitBody {
			n = rapid.IntRange(1, len(part)).Draw(t, "chunk")
		}
		out.WriteString(chunkSize(t, n))
		out.WriteString(part[:n])
		out.WriteString(Pick(t, "chunk end", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n", ""))
		part = part[n:]
	}
	out.WriteString(chunkSize(t, 0))
	for range rapid.IntRange(0, 2).Draw(t, "trailers") {
		out.WriteString(Pick(t, "trailer", "T: x", "Content-Length: 3", " folded", "no colon", "T:"))
		out.WriteString(LineEnd(t))
	}
	return out.String() + LineEnd(t)
}

// chunkSize draws the line in front of a chunk.
func chunkSize(t *rapid.T, n int) string {
	size := fmt.Sprintf(Pick(t, "digits", "%x", "%X"), n)
	extension := Pick(t, "extension", "", "", "", "", "", ";x=y", ";", " ;x", ";x\r", " ", "\t", "x", "_0")
	if strings.HasPrefix(extension, ";") {
		extension += Repeat(t, "extension", "e")
	}
	end := Pick(t, "size end", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n")
	return Repeat(t, "zeros", "0") + size + extension + end
}
