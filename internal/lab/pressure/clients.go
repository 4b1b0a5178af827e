package pressure

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// usualClients is the number of clients beside the crowds.
	usualClients = 8
	// clientTimeout is how long a usual client waits for an answer. An answer up to lateSlack later only earns
	// nothing; one that is later still, or that never comes, is lost.
	clientTimeout = 300 * time.Millisecond
	lateSlack     = 500 * time.Millisecond
	// unansweredAfter is when a client no longer waits for an answer at all.
	unansweredAfter = clientTimeout + 5*time.Second
	// maxClientPause bounds the pause of a usual client between two requests.
	maxClientPause = 10 * time.Millisecond
	dialTimeout    = time.Second
)

// ClientCounts count the requests of the usual clients.
type ClientCounts struct {
	Served, Rejected, Failed int
	Late                     int // answers that came over lateSlack after their time
	Unanswered               int
	Latest                   time.Duration // after the time of its request
}

// Total returns the number of requests.
func (c *ClientCounts) Total() int { return c.Served + c.Rejected + c.Failed + c.Unanswered }

func (c *ClientCounts) String() string {
	return fmt.Sprintf("%d served, %d rejected, %d failed, %d unanswered, %d late, the latest by %v",
		c.Served, c.Rejected, c.Failed, c.Unanswered, c.Late, c.Latest.Round(time.Millisecond))
}

// sharedCounts are ClientCounts that all clients add to.
type sharedCounts struct {
	mu     sync.Mutex
	counts ClientCounts
}

func (s *sharedCounts) total() ClientCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// answered counts an answer by its status.
func (s *sharedCounts) answered(status int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status {
	case http.StatusOK:
		s.counts.Served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.counts.Rejected++
	default:
		s.counts.Failed++
	}
	if late > lateSlack {
		s.counts.Late++
	}
	s.counts.Latest = max(s.counts.Latest, late)
}

func (s *sharedCounts) unanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Unanswered++
}

// startClients starts the usual clients, which send one request at a time until ctx ends.
func (w *world) startClients(ctx context.Context, running *sync.WaitGroup) *sharedCounts {
	counts := &sharedCounts{}
	for i := range usualClients {
		c := &client{agent: w.agent, counts: counts, rng: newRand(w.scenario.Seed, uint64(i))}
		running.Go(func() { c.run(ctx) })
	}
	return counts
}

// client is one usual client with a connection that it keeps.
type client struct {
	agent  *agentProcess
	counts *sharedCounts
	rng    *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	used   bool // the connection has carried a request
}

func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.request()
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxClientPause))))
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
	c.used = false
}

var lastRequestID atomic.Uint64

// nextRequestID returns an id that no other client of this process uses.
func nextRequestID() uint64 { return lastRequestID.Add(1) }

// request sends one request. One that crosses the close of a reused connection is sent once more.
func (c *client) request() {
	id := nextRequestID()
	path := "/api"
	if id%4 == 1 {
		path = mediumPath
	}
	text := fmt.Sprintf("GET %s/%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %x\r\nRequest-Class: read\r\nRequest-Timeout-Ms: %d\r\n\r\n",
		path, id%64, id, clientTimeout.Milliseconds())
	if id%2 == 0 {
		text = fmt.Sprintf("POST /api/%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %x\r\nRequest-Class: order\r\nRequest-Timeout-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
			id%64, id, clientTimeout.Milliseconds())
	}
	due := time.Now().Add(clientTimeout)
	process := c.agent.process()
	for {
		reused := c.used
		listening := c.agent.ready.Load()
		status, err := c.exchange(text)
		if err == nil {
			c.counts.answered(status, time.Since(due))
			return
		}
		c.closeConn()
		switch {
		case c.agent.process() != process || c.agent.stopped.Load():
			return // lost with a process that was killed
		case errors.Is(err, syscall.ECONNREFUSED) && !listening:
			return // the next process did not listen yet
		case !reused:
			c.counts.unanswered()
			return
		}
	}
}

// exchange sends a request and returns the status of its answer.
func (c *client) exchange(text string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.agent.addr, dialTimeout); err != nil {
			return 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(unansweredAfter))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	c.used = true
	if resp.Close {
		c.closeConn()
	}
	return resp.StatusCode, nil
}
