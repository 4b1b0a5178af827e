package pressure

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// backendWork is how long a backend works on a request.
	backendWork = 10 * time.Millisecond
	// longAnswerBytes is the length of an answer to a request for longPath.
	longAnswerBytes = 4 << 20
	longPath        = "/api/long"
	// mediumAnswerBytes is the length of an answer to a request below mediumPath: one that the agent buffers.
	mediumAnswerBytes = 48 << 10
	mediumPath        = "/api/medium"
	smallAnswerBytes  = 4
	// backendReadBuffer is the size of a backend's socket buffer, so that one that reads slowly is felt.
	backendReadBuffer = 64 << 10
	// A request for slowPath is read in pieces of slowPathPiece, one in slowPathInterval.
	slowPath         = "/api/slow"
	slowPathPiece    = 16 << 10
	slowPathInterval = 20 * time.Millisecond
)

// serveBackend serves a connection to a backend, which speaks HTTP or framed Thrift.
func serveBackend(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetReadBuffer(backendReadBuffer)
	reader := bufio.NewReader(nc)
	first, err := reader.Peek(1)
	if err != nil {
		return
	}
	serve := serveHTTP
	if first[0] == 0 { // of the length of a frame
		serve = serveThrift
	}
	for serve(nc, reader) == nil {
	}
}

// serveHTTP serves one request.
func serveHTTP(nc net.Conn, reader *bufio.Reader) error {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if err := readBody(req); err != nil {
		return err
	}
	time.Sleep(backendWork)
	length := smallAnswerBytes
	switch {
	case req.URL.Path == longPath:
		length = longAnswerBytes
	case strings.HasPrefix(req.URL.Path, mediumPath):
		length = mediumAnswerBytes
	}
	if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length); err != nil {
		return err
	}
	for part := make([]byte, min(length, 64<<10)); length > 0; {
		n, err := nc.Write(part[:min(length, len(part))])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}

// readBody reads the body of a request, slowly if that is for slowPath.
func readBody(req *http.Request) error {
	for {
		_, err := io.CopyN(io.Discard, req.Body, slowPathPiece)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case req.URL.Path == slowPath:
			time.Sleep(slowPathInterval)
		}
	}
}

// thriftKindOffset is the offset of the type of a message behind the length of its frame.
const thriftKindOffset = 7

// serveThrift serves one call with a reply of the same name and sequence id, and an empty result.
func serveThrift(nc net.Conn, reader *bufio.Reader) error {
	frame := make([]byte, 4)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return err
	}
	frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
	if _, err := io.ReadFull(reader, frame[4:]); err != nil {
		return err
	}
	time.Sleep(backendWork)
	frame[thriftKindOffset] = thriftReply
	_, err := nc.Write(frame)
	return err
}
