package pressure

import (
	"bufio"
	"bytes"
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
	// defaultBackendWork is how long a backend works on a request, unless the scenario says otherwise.
	defaultBackendWork = 10 * time.Millisecond
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
	// A request for hangPath, and a call of hangMethod, is read and gets no answer.
	hangPath   = "/api/hang"
	hangMethod = "hang"
	// The answers to requests for slowAnswerPath and slowChunkedPath are written in slowAnswerPieces, over slowAnswerTime.
	slowAnswerPath   = "/api/answer"
	slowChunkedPath  = "/api/chunked"
	slowAnswerPieces = 20
	slowAnswerTime   = 600 * time.Millisecond
	slowAnswerBytes  = 160 << 10
	slowChunkedBytes = 20 << 10
)

// errHangs ends the service of a connection on which a request hangs.
var errHangs = errors.New("the request hangs")

// backend is a server of all agents, which speaks HTTP and framed Thrift.
type backend struct {
	work time.Duration // on a request
}

// serve serves a connection.
func (b *backend) serve(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetReadBuffer(backendReadBuffer)
	reader := bufio.NewReader(nc)
	first, err := reader.Peek(1)
	if err != nil {
		return
	}
	serve := b.serveHTTP
	if first[0] == 0 { // of the length of a frame
		serve = b.serveThrift
	}
	for err == nil {
		err = serve(nc, reader)
	}
	if errors.Is(err, errHangs) {
		_, _ = io.Copy(io.Discard, nc) // until the agent gives up
	}
}

// serveHTTP serves one request.
func (b *backend) serveHTTP(nc net.Conn, reader *bufio.Reader) error {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if err := readBody(req); err != nil {
		return err
	}
	if req.URL.Path == hangPath {
		return errHangs
	}
	time.Sleep(b.work)
	length := smallAnswerBytes
	switch {
	case req.URL.Path == slowAnswerPath:
		return writeSlowAnswer(nc, slowAnswerBytes, false)
	case req.URL.Path == slowChunkedPath:
		return writeSlowAnswer(nc, slowChunkedBytes, true)
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

// writeSlowAnswer writes an answer in pieces.
func writeSlowAnswer(nc net.Conn, length int, chunked bool) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
	if chunked {
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(nc, head); err != nil {
		return err
	}
	piece := strings.Repeat("x", length/slowAnswerPieces)
	if chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	for range slowAnswerPieces {
		if _, err := io.WriteString(nc, piece); err != nil {
			return err
		}
		time.Sleep(slowAnswerTime / slowAnswerPieces)
	}
	if chunked {
		_, err := io.WriteString(nc, "0\r\n\r\n")
		return err
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

const (
	// thriftKindOffset is the offset of the type of a message in its frame.
	thriftKindOffset = 7
	// thriftNameOffset is the offset of the name of its method.
	thriftNameOffset = 12
)

// serveThrift serves one call with a reply of the same name and sequence id, and an empty result.
func (b *backend) serveThrift(nc net.Conn, reader *bufio.Reader) error {
	frame := make([]byte, 4)
	if _, err := io.ReadFull(reader, frame); err != nil {
		return err
	}
	frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
	if _, err := io.ReadFull(reader, frame[4:]); err != nil {
		return err
	}
	if bytes.HasPrefix(frame[thriftNameOffset:], []byte(hangMethod)) {
		return errHangs
	}
	time.Sleep(b.work)
	frame[thriftKindOffset] = thriftReply
	_, err := nc.Write(frame)
	return err
}
