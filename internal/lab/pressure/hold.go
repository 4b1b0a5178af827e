package pressure

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// errNotEnded is the error of a connection that the agent did not end in time.
var errNotEnded = errors.New("the agent did not end the connection")

// TimeToEnd sends a request of an announced length with a part of its body, and returns how long after that the agent
// answers or ends the connection.
func TimeToEnd(addr string, sent int, timeout time.Duration) (time.Duration, error) {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	text := requestHead("POST", "/api/1", "order", declaredLength) + "\r\n" + strings.Repeat("x", sent)
	if _, err := io.WriteString(nc, text); err != nil {
		return 0, err
	}
	stopped := time.Now()
	_ = nc.SetReadDeadline(stopped.Add(timeout))
	_, err = nc.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, errNotEnded
	}
	return time.Since(stopped), nil
}

// Upload is a request with a body that is sent as fast as it is taken, or with a pause behind each piece.
type Upload struct {
	Path    string
	Bytes   int
	Timeout time.Duration // of the client, from its last byte
	Piece   int
	Pause   time.Duration
}

// Send sends the request. It returns the status of the answer, and how long after the last byte that came; the answer may
// come before the last byte.
func (u *Upload) Send(addr string) (status int, took time.Duration, err error) {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return 0, 0, err
	}
	defer nc.Close()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		u.Path, nextRequestID(), u.Timeout.Milliseconds(), u.Bytes)
	sent := make(chan time.Time, 1)
	go func() {
		_, _ = io.WriteString(nc, head)
		piece := make([]byte, u.Piece)
		for left := u.Bytes; left > 0; left -= len(piece) {
			piece = piece[:min(len(piece), left)]
			if _, err := nc.Write(piece); err != nil {
				break // answered and closed
			}
			time.Sleep(u.Pause)
		}
		sent <- time.Now()
	}()
	_ = nc.SetReadDeadline(time.Now().Add(holdTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, 0, err
	}
	answered := time.Now()
	nc.Close()
	return resp.StatusCode, answered.Sub(<-sent), nil
}
