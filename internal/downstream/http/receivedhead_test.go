package http

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a request that net/http finds elsewhere in the bytes than they were checked.
func TestRequestReadDifferentlyIsRejected(t *testing.T) {
	const get, sized, chunked = "GET / HTTP/1.1\r\nHost: x\r\n\r\n", plainHead + "Content-Length: 5\r\n\r\nhello", plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	longLine := "POST /" + strings.Repeat("a", 2*maxLine) + " HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct {
		name, checked string
		read          []string // by net/http
		agree         int      // requests that both read alike
	}{
		{"alike", get + sized + chunked + longLine, []string{get, sized, chunked, longLine}, 4},
		{"an explicit length of 0", plainHead + "Content-Length: 0\r\n\r\n" + get, []string{plainHead + "\r\n", get}, 2},
		{"another length", sized, []string{plainHead + "Content-Length: 6\r\n\r\n"}, 0},
		{"a length and a coding", sized, []string{chunked}, 0},
		{"a coding and none", "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", []string{"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"}, 0},
		{"another target", get, []string{"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"}, 0},
		{"a head that was not seen", get, []string{get, get}, 1},
		{"a head that net/http has not seen", get + sized + get, []string{get, get}, 1},
	} {
		client, server := net.Pipe()
		conn := newFramedConn(server)
		conn.framing.feed([]byte(c.checked))
		agreed := 0
		for _, text := range c.read {
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			if err := conn.checkNextRequest(req); err != nil {
				if err != errFramingDisagreement {
					t.Errorf("%s: %v", c.name, err)
				}
				break
			}
			agreed++
		}
		if agreed != c.agree {
			t.Errorf("%s: %d requests agree, want %d", c.name, agreed, c.agree)
		}
		client.Close()
		server.Close()
	}
}

// Heads without a handler are bounded: nothing more is read ahead behind maxReceivedHeads.
func TestReceivedHeadsAreBounded(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := newFramedConn(server)
	for range maxReceivedHeads {
		if conn.disconnect.readsEnough() {
			t.Fatal("reading ahead ends too early")
		}
		conn.framing.feed([]byte("GET / HTTP/1.1\r\n\r\n"))
	}
	if !conn.disconnect.readsEnough() {
		t.Error("reading ahead goes on")
	}
}
