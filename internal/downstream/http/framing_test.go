package http

import (
	"strings"
	"testing"
)

const plainHead = "POST /api/a HTTP/1.1\r\nHost: x\r\n"

// Complete heads are counted, and the first untrusted one is found, however the bytes are split.
func TestFramingChecker(t *testing.T) {
	chunked := plainHead + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: x\r\n\r\n"
	sized := plainHead + "Content-Length: 5\r\n\r\nhello"
	for _, c := range []struct {
		name, text string
		heads      int
		untrusted  int // the first head that is not trusted; 0: all are
	}{
		{"sized, chunked, sized", sized + chunked + sized, 3, 0},
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + chunked, 2, 0},
		{"both lengths", sized + plainHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 2, 2},
		{"in the other order and letter case", plainHead + "transfer-ENCODING: chunked\r\ncontent-length: 5\r\n\r\n", 1, 1},
		{"a space before the colon", plainHead + "Transfer-Encoding: chunked\r\nContent-Length : 5\r\n\r\n", 1, 1},
		{"a body that looks like a head", plainHead + "Content-Length: 39\r\n\r\nContent-Length: 1\r\nTransfer-Encoding: x" + chunked, 2, 0},
		{"a chunk that looks like a head", plainHead + "Transfer-Encoding: chunked\r\n\r\n13\r\nContent-Length: 1\r\n\r\n0\r\n\r\n" + sized, 2, 0},
		{"a trailer that looks like a head", plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n" + sized, 2, 0},
		{"an empty line between", sized + "\r\n" + chunked, 2, 0},
		{"bare LF", strings.ReplaceAll(sized+sized, "\r\n", "\n"), 2, 0},
		{"two lengths", plainHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 0, 1},
		{"an invalid length", plainHead + "Content-Length: +5\r\n\r\n", 0, 1},
		{"an invalid chunk size", plainHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 1, 2},
		{"a chunk without end", plainHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 1, 2},
		{"a line longer than is stored", plainHead + "X: " + strings.Repeat("p", 5*maxLine) + "\r\nContent-Length: 2\r\n\r\nab" + chunked, 2, 0},
	} {
		for _, step := range []int{1, 2, 3, 7, 64, len(c.text)} {
			f := framingChecker{contentLength: -1}
			for rest := []byte(c.text); len(rest) > 0; {
				n := min(step, len(rest))
				f.feed(rest[:n])
				rest = rest[n:]
			}
			if f.heads != c.heads || f.firstUntrusted != c.untrusted {
				t.Errorf("%s, %d bytes at once: %d heads, untrusted %d; want %d, %d", c.name, step, f.heads, f.firstUntrusted, c.heads, c.untrusted)
			}
		}
	}
}

// For any bytes, a request that net/http accepts and the framing checker trusts has either a length or a coding, and both
// find its end, and the next request, at the same offset.
func FuzzFramingChecker(f *testing.F) {
	for _, text := range streamsReadDifferently() {
		f.Add([]byte(text))
	}
	f.Add([]byte(plainHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + plainHead + "Content-Length: 1\r\n\r\nx"))
	f.Add([]byte(plainHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte(plainHead + "Content-Length: 2\r\n\r\nab\r\n\r\n" + plainHead + "\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := compareWithNetHTTP(text); err != nil {
			t.Fatalf("%v, in %q", err, text)
		}
	})
}

// A head with too many fields or bytes ends behind the last field that is allowed, however the bytes are split, and nothing
// behind it is passed on. Of trailers with too many fields the beginning is passed on.
func TestHeadsOverTheLimitsAreCutOff(t *testing.T) {
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	chunked := plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
	allowed := plainHead + fields(maxHeaderFields-1) // and Host
	for _, c := range []struct {
		name, text, usable string
		tooLarge           int
	}{
		{"as many as allowed", allowed + "\r\n", allowed + "\r\n", 0},
		{"one more", allowed + "a:\r\n\r\nGET", allowed + "\n", 1},
		{"without an end", plainHead + fields(5000), allowed + "\n", 1},
		{"behind a request", plainHead + "\r\n" + plainHead + fields(5000), plainHead + "\r\n" + allowed + "\n", 2},
		{"a long line", plainHead + "X: " + strings.Repeat("p", 32<<10), (plainHead + "X: " + strings.Repeat("p", 32<<10))[:maxHeadBytes] + "\n\n", 1},
		{"a long request line", strings.Repeat("p", 32<<10), strings.Repeat("p", maxHeadBytes) + "\n\n", 1},
		{"behind an invalid length", plainHead + "Content-Length: x\r\n" + fields(5000), plainHead + "Content-Length: x\r\n\n", 0},
		{"trailers", chunked + fields(maxTrailerFields) + "\r\n" + plainHead, chunked + fields(maxTrailerFields) + "\r\n" + plainHead, 0},
		{"too many trailers", chunked + fields(5000), chunked + fields(maxTrailerFields), 0},
	} {
		for _, step := range []int{1, 2, 3, 7, 64, len(c.text)} {
			f := framingChecker{contentLength: -1}
			var usable []byte
			for rest := []byte(c.text); len(rest) > 0; {
				n := min(step, len(rest))
				usable = append(usable, rest[:f.feed(rest[:n])]...)
				rest = rest[n:]
			}
			if string(usable) != c.usable || f.tooLarge != c.tooLarge {
				t.Errorf("%s, %d bytes at once: %d bytes of which %q is the end, too large head %d; want %d bytes, head %d",
					c.name, step, len(usable), usable[max(0, len(usable)-20):], f.tooLarge, len(c.usable), c.tooLarge)
			}
		}
	}
}
