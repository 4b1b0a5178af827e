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

// The modes.
const (
	Serving  Mode = iota
	Silent        // reads, and answers nothing
	Failing       // answers 500 after running
	Full          // turns away: 503 with Not-Started
	Breaking      // runs, then breaks the connection
)

// OrderServer is a stand-in for an order server, on HTTP/1.1 as the protocol page has it. Bodies name
// the operation, which is how the ledger knows it again over tries.
type OrderServer struct {
	*Acceptor
	ID     string
	Entry  membership.Entry
	Work   time.Duration // how long a request takes
	ledger *Ledger
	mode   atomic.Int32
	begun  atomic.Int64
}

// NewOrderServer starts one; ledger may be nil.
func NewOrderServer(id, zone string, work time.Duration, ledger *Ledger) (*OrderServer, error) {
	s := &OrderServer{ID: id, Work: work, ledger: ledger}
	var err error
	if s.Acceptor, err = Accept(s.serve); err != nil {
		return nil, err
	}
	s.Entry = membership.Entry{ID: id, Addr: s.Addr, Zone: zone, Kind: "fast", State: membership.Up, Weight: 1}
	return s, nil
}

// Set changes the mode.
func (s *OrderServer) Set(m Mode) { s.mode.Store(int32(m)) }

// Begun is the number of requests that began here.
func (s *OrderServer) Begun() int64 { return s.begun.Load() }

func (s *OrderServer) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		began := time.Now()
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
			s.ledger.Began(s.ID, began)
		}
		id, _, _ := strings.Cut(string(body), " ")
		if id == "" {
			id = req.URL.Query().Get("op") // of a request without a body
		}
		switch Mode(s.mode.Load()) {
		case Silent:
			io.Copy(io.Discard, br) // until the other side gives up
			return
		case Full:
			io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case Breaking:
			s.ran(id)
			c.(*net.TCPConn).SetLinger(0)
			return
		case Failing:
			s.ran(id)
			io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if s.Work > 0 {
			time.Sleep(s.Work)
		}
		s.ran(id)
		text := s.ID + " " + id
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

func (s *OrderServer) ran(id string) {
	if s.ledger != nil && id != "" {
		s.ledger.Ran(s.ID, id, time.Now())
	}
}
