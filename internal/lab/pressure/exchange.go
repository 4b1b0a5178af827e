package pressure

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// answerStatus is how an answer ends its request.
type answerStatus uint8

const (
	answerFailed answerStatus = iota
	answerServed
	answerRejected
)

// readHTTP reads an answer over HTTP.
func (c *loadConn) readHTTP() (status answerStatus, end bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return answerServed, resp.Close, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return answerRejected, resp.Close, nil
	}
	return answerFailed, resp.Close, nil
}

// thriftMethod returns the method that is called in place of a path.
func thriftMethod(path string) string {
	if path == hangPath {
		return hangMethod
	}
	return "order"
}

// readThrift reads the reply to a call, or the exception.
func (c *loadConn) readThrift() (status answerStatus, end bool, err error) {
	var length [4]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return 0, true, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(c.reader, frame); err != nil {
		return 0, true, err
	}
	if frame[thriftKindOffset-len(length)] == thriftReply {
		return answerServed, false, nil
	}
	return answerFailed, false, nil
}

// pausePollInterval is how often a client that pauses within a request looks for an answer.
const pausePollInterval = 5 * time.Millisecond

// exchange sends a request and reads its answer. end says that the connection ends behind it.
func (l *loader) exchange(c *loadConn, path string) (status answerStatus, end bool, err error) {
	_ = c.SetDeadline(time.Now().Add(l.load.Timeout + unansweredAfter))
	if err := l.send(c, path); err != nil {
		return 0, true, err
	}
	return l.receive(c)
}

// send sends a request.
func (l *loader) send(c *loadConn, path string) error {
	var err error
	if l.load.Thrift {
		err = l.write(c, string(thriftMessage(thriftCall, thriftMethod(path))))
	} else {
		err = l.write(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			path, nextRequestID(), l.load.Timeout.Milliseconds(), len(orderBody), orderBody))
	}
	c.sent = time.Now()
	if err != nil && !errors.Is(err, errConnEnded) && !errors.Is(err, errConnCrossed) {
		return fmt.Errorf("%w: %w", errConnAborted, err)
	}
	return err
}

// receive reads the next answer.
func (l *loader) receive(c *loadConn) (status answerStatus, end bool, err error) {
	if l.load.Thrift {
		return c.readThrift()
	}
	return c.readHTTP()
}

// write writes a request, or a part of it and the rest later. It ends early if the agent has answered meanwhile.
func (l *loader) write(c *loadConn, text string) error {
	pause, withinHead := l.drawPause()
	if pause == 0 {
		_, err := io.WriteString(c, text)
		return err
	}
	first := l.firstPart(text, withinHead)
	if _, err := io.WriteString(c, text[:first]); err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < pause; time.Sleep(pausePollInterval) {
		switch state := socket.ReadState(c.Conn); {
		case state == socket.Unread:
			return nil
		case state == socket.Ended && time.Since(begun) < crossingTime && c.kept:
			return errConnCrossed
		case state == socket.Ended:
			return errConnEnded
		}
	}
	_, err := io.WriteString(c, text[first:])
	return err
}

// firstPart returns how many bytes of a request are written before its pause: its head, or a part of it over HTTP. A part of
// the head of a Thrift call can't be answered.
func (l *loader) firstPart(text string, withinHead bool) int {
	switch {
	case l.load.Thrift:
		return len(text) - thriftBodyBytes
	case withinHead:
		return (len(text) - len(orderBody)) / 2
	}
	return len(text) - len(orderBody)
}

// drawPause returns how long a request waits for its last bytes, and whether these are more than its body.
func (l *loader) drawPause() (pause time.Duration, withinHead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.load.SlowSendTime == 0 || l.rng.IntN(100) >= l.load.SlowSendPercent {
		return 0, false
	}
	return 1 + time.Duration(l.rng.Int64N(int64(l.load.SlowSendTime))), l.rng.IntN(2) == 0
}
