package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// Mode is how a stand-in server behaves.
type Mode int32

// The modes. Servers of all protocols implement the first group; the second is for Thrift only.
const (
	Serving         Mode = iota
	Silent               // reads requests and never answers
	Failing              // runs the request and answers that it failed
	Rejecting            // rejects requests, stating that nothing ran
	ResetAfterRun        // runs the request and resets the connection
	AnswerTwice          // runs the request and answers twice
	TruncatedAnswer      // runs the request and sends only half of the answer
	ByteByByte           // runs the request and writes the answer a byte at a time
	Trickle              // runs the request and writes the answer so slowly that it misses every deadline
	WrongProtocol        // runs the request and answers in another protocol
	ResetAtEachByte      // resets connections: in turn at each byte of a request's head and at each byte of an answer
	FalseNotStarted      // runs the request and states that nothing ran: a defect, which the checker has to detect

	WrongSequenceID   // runs the call and answers with another sequence ID
	WrongMethodName   // runs the call and answers with another method name
	DeclaredException // runs the call and answers with a declared exception
)

// UnansweredPrefix is the name prefix of operations that no server answers, whatever its mode.
const UnansweredPrefix = "held-"

// Backend is a stand-in for a backend server that speaks HTTP/1.1. Request bodies name the operation, by
// which the ledger identifies it across attempts.
type Backend struct {
	*Acceptor
	Work
	ID        string
	Entry     membership.Entry
	ledger    *Ledger
	mode      atomic.Int32
	requests  atomic.Int64
	resets    atomic.Int64 // connections in the mode ResetAtEachByte
	onRequest atomic.Pointer[func(op string, received time.Time)]
}

// OnRequest sets a function that is called for each complete request, with its operation and the time at
// which its first byte arrived.
func (s *Backend) OnRequest(f func(op string, received time.Time)) { s.onRequest.Store(&f) }

// maxHeadBytesBeforeReset bounds after how many bytes of a request ResetAtEachByte resets the connection.
// Every request is longer, so that none is complete.
const maxHeadBytesBeforeReset = 120

// NewBackend starts a server that takes the time work for each request; ledger may be nil.
func NewBackend(id, zone string, work time.Duration, ledger *Ledger) (*Backend, error) {
	s := &Backend{ID: id, ledger: ledger}
	s.SetWork(work)
	var err error
	if s.Acceptor, err = Accept(s.serve); err != nil {
		return nil, err
	}
	s.Entry = membership.Entry{ID: id, Addr: s.Addr, Zone: zone, Kind: "fast", State: membership.Up, Weight: 1}
	return s, nil
}

// Set changes the mode.
func (s *Backend) Set(m Mode) { s.mode.Store(int32(m)) }

// RequestCount returns the number of requests received.
func (s *Backend) RequestCount() int64 { return s.requests.Load() }

func (s *Backend) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		received := time.Now()
		resetNumber := int64(-1) // odd: resets the answer; even: resets the request
		if Mode(s.mode.Load()) == ResetAtEachByte {
			if resetNumber = s.resets.Add(1); resetNumber%2 == 0 {
				io.CopyN(io.Discard, br, resetNumber/2%maxHeadBytesBeforeReset)
				c.(*net.TCPConn).SetLinger(0)
				return
			}
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if s.ledger != nil {
			s.ledger.RequestReceived(s.ID, received)
		}
		id, _, _ := strings.Cut(string(body), " ")
		if id == "" {
			id = req.URL.Query().Get("op") // requests without a body
		}
		if f := s.onRequest.Load(); f != nil {
			(*f)(id, received)
		}
		mode := Mode(s.mode.Load())
		if strings.HasPrefix(id, UnansweredPrefix) {
			mode = Silent
		}
		switch mode {
		case Silent:
			io.Copy(io.Discard, br) // until the peer closes the connection
			return
		case Rejecting:
			io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case FalseNotStarted:
			s.recordExecution(id)
			io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case ResetAfterRun:
			s.recordExecution(id)
			c.(*net.TCPConn).SetLinger(0)
			return
		case Failing:
			s.recordExecution(id)
			io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.Do()
		s.recordExecution(id)
		text := s.ID + " " + id
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if mode == WrongProtocol {
			answer = []byte("\x80\x01\x00\x02\x00\x00\x00\x05order\x00\x00\x00\x01\x00")
		}
		if resetNumber >= 0 {
			c.Write(answer[:resetNumber/2%int64(len(answer))])
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if !mode.Write(c, answer) {
			return
		}
	}
}

// Write writes an answer in the way of the mode. It returns false if the connection can't be used any more.
func (m Mode) Write(c net.Conn, answer []byte) bool {
	switch m {
	case AnswerTwice:
		answer = append(answer[:len(answer):len(answer)], answer...)
	case TruncatedAnswer:
		c.Write(answer[:len(answer)/2])
		io.Copy(io.Discard, c)
		return false
	case ByteByByte, Trickle:
		for i := range answer {
			if _, err := c.Write(answer[i : i+1]); err != nil {
				return false
			}
			if m == Trickle {
				time.Sleep(20 * time.Millisecond)
			}
		}
		return true
	}
	_, err := c.Write(answer)
	return err == nil
}

func (s *Backend) recordExecution(id string) {
	if s.ledger != nil && id != "" {
		s.ledger.Executed(s.ID, id, time.Now())
	}
}
