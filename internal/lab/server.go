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

// The modes. Servers of every protocol know the first part; the rest is Thrift's.
const (
	Serving         Mode = iota
	Silent               // reads, and answers nothing
	Failing              // answers that it has failed, after running
	Rejecting            // turns away, saying that nothing ran
	ResetAfterRun        // runs, then breaks the connection
	AnswerTwice          // runs, and answers twice
	TruncatedAnswer      // runs, answers half, and nothing more
	ByteByByte           // runs, and answers a byte at a time
	Trickle              // runs, and answers so slowly that no deadline holds
	WrongProtocol        // runs, and answers in another protocol
	ResetAtEachByte      // breaks the connection, in turn at each byte of a request's head and at each byte of an answer
	FalseNotStarted      // runs, and says that nothing ran: no server may, and a checker has to find it

	WrongSequenceID   // runs, and answers under another sequence id
	WrongMethodName   // runs, and answers for another method
	DeclaredException // runs, and answers a declared exception
)

// UnansweredPrefix begins the names of operations that no server answers, whatever its mode.
const UnansweredPrefix = "held-"

// Backend is a stand-in for an order server, on HTTP/1.1 as the protocol page has it. Bodies name
// the operation, which is how the ledger knows it again over tries.
type Backend struct {
	*Acceptor
	Work
	ID     string
	Entry  membership.Entry
	ledger *Ledger
	mode   atomic.Int32
	begun  atomic.Int64
	sever  atomic.Int64 // counts what was severed
	saw    atomic.Pointer[func(op string, began time.Time)]
}

// OnRequest has f called with the operation of each request that came whole, and when its first byte did.
func (s *Backend) OnRequest(f func(op string, began time.Time)) { s.saw.Store(&f) }

// severedHead is the part of a request in which it is severed, in bytes: less than any has, so that none is whole.
const severedHead = 120

// NewBackend starts one; ledger may be nil.
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

// RequestCount is the number of requests that began here.
func (s *Backend) RequestCount() int64 { return s.begun.Load() }

func (s *Backend) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		began := time.Now()
		severed := int64(-1)
		if Mode(s.mode.Load()) == ResetAtEachByte {
			if severed = s.sever.Add(1); severed%2 == 0 {
				io.CopyN(io.Discard, br, severed/2%severedHead)
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
		s.begun.Add(1)
		if s.ledger != nil {
			s.ledger.RequestReceived(s.ID, began)
		}
		id, _, _ := strings.Cut(string(body), " ")
		if id == "" {
			id = req.URL.Query().Get("op") // of a request without a body
		}
		if f := s.saw.Load(); f != nil {
			(*f)(id, began)
		}
		mode := Mode(s.mode.Load())
		if strings.HasPrefix(id, UnansweredPrefix) {
			mode = Silent
		}
		switch mode {
		case Silent:
			io.Copy(io.Discard, br) // until the other side gives up
			return
		case Rejecting:
			io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case FalseNotStarted:
			s.ran(id)
			io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case ResetAfterRun:
			s.ran(id)
			c.(*net.TCPConn).SetLinger(0)
			return
		case Failing:
			s.ran(id)
			io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.Do()
		s.ran(id)
		text := s.ID + " " + id
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if mode == WrongProtocol {
			answer = []byte("\x80\x01\x00\x02\x00\x00\x00\x05order\x00\x00\x00\x01\x00")
		}
		if severed >= 0 {
			c.Write(answer[:severed/2%int64(len(answer))])
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if !mode.Write(c, answer) {
			return
		}
	}
}

// Write writes an answer as the mode has it, and returns false where the connection is of no more use.
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

func (s *Backend) ran(id string) {
	if s.ledger != nil && id != "" {
		s.ledger.Executed(s.ID, id, time.Now())
	}
}
