package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingReader returns its text, then each error in turn; a socket reports its error once, and its end
// afterwards.
type failingReader struct {
	text io.Reader
	errs []error
}

func (r *failingReader) Read(p []byte) (int, error) {
	if n, err := r.text.Read(p); err == nil {
		return n, nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return 0, err
}

// A connection that breaks with ETIMEDOUT or EHOSTUNREACH within a body that ends with the connection leaves
// the body incomplete; only the timeout of this side lets it continue.
func TestBrokenConnectionIsNotTheEndOfABody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
	read := func(err error) ([]byte, error) {
		opError := &net.OpError{Op: "read", Net: "tcp", Err: err}
		br := bufio.NewReader(&failingReader{strings.NewReader(head), []error{opError, io.EOF, io.EOF}})
		_, body, err := readResponse(br, func(int64) error { return nil }, func(time.Time) {})
		if err != nil {
			return nil, err
		}
		text := body.bytes
		if body.readMore != nil {
			rest, err := io.ReadAll(readerFunc(body.readMore))
			return append(text, rest...), err
		}
		return text, nil
	}
	for _, broken := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		if body, err := read(os.NewSyscallError("read", broken)); !errors.Is(err, broken) {
			t.Errorf("%v: body %q, error %v", broken, body, err)
		}
	}
	if body, err := read(os.ErrDeadlineExceeded); err != nil || string(body) != "part" {
		t.Errorf("a body that goes on after the timeout: %q, error %v", body, err)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
