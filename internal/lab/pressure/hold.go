package pressure

import (
	"errors"
	"io"
	"net"
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
