package pressure

import (
	"encoding/binary"
	"io"
	"net/http"
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
