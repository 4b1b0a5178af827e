// Package unsolicited has stand-in servers that send HTTP responses which nobody asked for, clients, and a
// record of what both observe. The record checks that a client gets only a response that was made for its
// request, and that a request whose first attempt may have run is neither repeated nor rejected.
package unsolicited

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// Moment is when a server sends a response that nobody asked for.
type Moment uint8

// The moments.
const (
	AfterAccept   Moment = iota // some time after a connection was accepted
	AfterResponse               // some time after a response: its copy, or a rejection
)

// Fault describes the unsolicited responses of a server.
type Fault struct {
	Name     string
	Moment   Moment
	Delay    time.Duration // after the moment
	Latest   time.Duration // after the moment: nothing is sent that a late timer would delay further; 0: no limit
	Quiet    time.Duration // after the first request of a server, in which it has no fault
	Rejected bool          // 503 with Not-Started, otherwise a 200
	Closing  bool          // it has "Connection: close", although the server goes on to run the request
	Share    float64       // of the connections, or of the responses, that have the fault
	// RunsRejected makes the server run the requests that it rejects: a defect, which the record has to detect.
	RunsRejected bool
}

const (
	// minHandshake and maxHandshake bound the additional time for the first request of a connection.
	minHandshake, maxHandshake = 15 * time.Millisecond, 50 * time.Millisecond
	// minWork is the least time of a request, meanExtraWork the mean of what an exponential distribution adds.
	minWork, meanExtraWork = 10 * time.Millisecond, 30 * time.Millisecond
	// rejectedShare is the share of the requests that a server rejects, which then never run.
	rejectedShare = 0.05
)

// Server is a stand-in for a backend server over HTTP.
type Server struct {
	*lab.Acceptor
	Entry membership.Entry

	fault  Fault
	record *Record
	mu     sync.Mutex
	rng    *rand.Rand
	begun  time.Time // when the first request came
}

// NewServer starts a server with a fault.
func NewServer(id, zone string, fault Fault, seed uint64, record *Record) (*Server, error) {
	s := &Server{fault: fault, record: record, rng: rand.New(rand.NewPCG(seed, 0x5eed))}
	var err error
	if s.Acceptor, err = lab.Accept(s.serve); err != nil {
		return nil, err
	}
	s.Entry = membership.Entry{ID: id, Addr: s.Addr, Zone: zone, Kind: "fast", State: membership.Up, Weight: 1}
	return s, nil
}

func (s *Server) draw(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

// noteRequest notes when the first request came.
func (s *Server) noteRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.IsZero() {
		s.begun = time.Now()
	}
}

// hasFault draws whether the server has its fault now.
func (s *Server) hasFault() bool {
	s.mu.Lock()
	quiet := s.fault.Quiet > 0 && (s.begun.IsZero() || time.Since(s.begun) < s.fault.Quiet)
	s.mu.Unlock()
	return !quiet && s.draw(s.fault.Share)
}

func (s *Server) handshake() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minHandshake + time.Duration(s.rng.Int64N(int64(maxHandshake-minHandshake)))
}

func (s *Server) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minWork + time.Duration(s.rng.ExpFloat64()*float64(meanExtraWork))
}

// connection serializes the writes of responses and of unsolicited ones.
type connection struct {
	net.Conn
	mu sync.Mutex
}

func (c *connection) send(response []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(response)
	return err
}

// sendAfter sends a response later, while the connection is open, unless it would come after latest.
func (c *connection) sendAfter(delay, latest time.Duration, response []byte) {
	if delay == 0 {
		c.send(response)
		return
	}
	begun := time.Now()
	time.AfterFunc(delay, func() {
		if latest == 0 || time.Since(begun) <= latest {
			c.send(response)
		}
	})
}

func (s *Server) serve(nc net.Conn) {
	c := &connection{Conn: nc}
	if s.fault.Moment == AfterAccept && s.hasFault() {
		c.sendAfter(s.fault.Delay, s.fault.Latest, s.unsolicited(nil))
	}
	br := bufio.NewReader(nc)
	for first := true; ; first = false {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.noteRequest()
		response, err := s.run(c, req, first)
		if err != nil {
			return
		}
		if s.fault.Moment == AfterResponse && s.hasFault() {
			c.sendAfter(s.fault.Delay, s.fault.Latest, s.unsolicited(response))
		}
	}
}

// run runs or rejects a request, and sends and returns its response.
func (s *Server) run(c *connection, req *http.Request, first bool) ([]byte, error) {
	attempt := s.record.received(req.Header.Get("Request-Id"), s.Entry.Zone, c.Conn, first)
	if first {
		time.Sleep(s.handshake())
	}
	if s.draw(rejectedShare) {
		if s.fault.RunsRejected {
			s.record.started(attempt)
			s.record.ended(attempt)
		} else {
			s.record.rejected(attempt)
		}
		response := encodeResponse("503 Full\r\nNot-Started: 1", "")
		return response, c.send(response)
	}
	body := s.record.started(attempt)
	time.Sleep(s.work())
	response := encodeResponse("200 OK", body)
	err := c.send(response)
	s.record.ended(attempt)
	return response, err
}

// unsolicited returns a response that nobody asked for. previous is the last response on the connection, if
// there was one.
func (s *Server) unsolicited(previous []byte) []byte {
	status, body := "200 OK", "a response to no request"
	if s.fault.Rejected {
		status, body = "503 Full\r\nNot-Started: 1", ""
	}
	if s.fault.Closing {
		status += "\r\nConnection: close"
	}
	if previous != nil && !s.fault.Rejected {
		return previous
	}
	return encodeResponse(status, body)
}

func encodeResponse(status, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}
