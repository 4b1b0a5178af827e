package acceptance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

// startHeldRequest sends a request that no server answers, with a much longer timeout than a shutdown takes,
// and returns once it is in flight. It has to be answered before the process ends.
func (f *fleet) startHeldRequest(ctx context.Context, a *fleetAgent) {
	c := fleetClient{f: f, a: a, name: lab.UnansweredPrefix + filepath.Base(a.dir), rng: f.o.rng()}
	sent := make(chan struct{})
	f.openAtEnd.Go(func() {
		c.do(ctx, c.name, "order", lab.NonIdempotent, fmt.Sprintf("%s-%d", c.name, time.Now().UnixNano()), heldTimeout, sent)
		c.closeConn()
	})
	<-sent
}

// fleetClient is a client of an agent: one request at a time, on a keep-alive connection.
type fleetClient struct {
	f           *fleet
	a           *fleetAgent
	name        string
	rng         *rand.Rand
	conn        net.Conn
	br          *bufio.Reader
	used        bool // the connection has carried a request
	newConnEach bool // each request gets a connection of its own
}

func (c *fleetClient) run(ctx context.Context) {
	classes := []struct {
		name   string
		effect lab.Effect
	}{{"read", lab.Idempotent}, {"send", lab.IdempotentByKey}, {"order", lab.NonIdempotent}}
	defer c.closeConn()
	for n := 0; ctx.Err() == nil; n++ {
		class := classes[n%3]
		op := fmt.Sprintf("%s-%d", c.name, n)
		var id string
		outcome := lab.Rejected
		for attempt := 0; attempt < 3 && outcome == lab.Rejected; attempt++ { // a rejected request is retried at once under a new id
			id = fmt.Sprintf("%s-%d", op, attempt)
			outcome = c.do(ctx, op, class.name, class.effect, id, c.f.deadline, nil)
		}
		if outcome != lab.Rejected && class.effect == lab.NonIdempotent && c.rng.IntN(4) == 0 {
			c.repeatID(op, class.name, id)
		}
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
	}
}

func (c *fleetClient) closeConn() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// writeRequest writes a request, on a new connection if none is open.
func (c *fleetClient) writeRequest(op, class, id string, within time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.a.addr, time.Second)
		if err != nil {
			c.f.mu.Lock()
			c.f.refusedConns++
			c.f.mu.Unlock()
			return err
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	head := fmt.Sprintf("Host: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n", id, class, within.Milliseconds())
	text := fmt.Sprintf("POST /api/%x HTTP/1.1\r\n%s", len(op)%7, head)
	switch class {
	case "read":
		text = fmt.Sprintf("GET /api/a?op=%s HTTP/1.1\r\n%s\r\n", op, head)
	case "send":
		text += fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s ", op, len(op)+1, op)
	default:
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s ", len(op)+1, op)
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// readAnswer reads an answer; begun reports whether a byte of one came.
func (c *fleetClient) readAnswer(until time.Time) (outcome lab.Outcome, begun bool, err error) {
	c.conn.SetReadDeadline(until.Add(2 * time.Second))
	if _, err := c.br.Peek(1); err != nil {
		return lab.Failed, false, err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return lab.Failed, true, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return lab.Failed, true, err
	}
	if c.used = true; resp.Close || c.newConnEach {
		c.closeConn()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return lab.Served, true, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return lab.Rejected, true, nil
	}
	return lab.Failed, true, nil
}

// do sends one request and records its outcome in the ledger. sent, unless nil, is closed once the request is
// written.
func (c *fleetClient) do(ctx context.Context, op, class string, effect lab.Effect, id string, within time.Duration, sent chan struct{}) lab.Outcome {
	from := time.Now()
	until := from.Add(within)
	c.f.ledger.AttemptStarted(op, effect, op, until)
	for resent := false; ; resent = true {
		reused := c.used
		err := c.writeRequest(op, class, id, within)
		written := err == nil
		if sent != nil {
			time.Sleep(20 * time.Millisecond) // until the request has passed through the agent
			close(sent)
			sent = nil
		}
		if err == nil && within < heldTimeout && c.rng.IntN(20) == 0 { // the client disconnects early
			time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Microsecond)
			c.closeConn()
			break
		}
		begun := false
		if err == nil {
			var outcome lab.Outcome
			if outcome, begun, err = c.readAnswer(until); err == nil {
				c.f.ledger.Answered(op, outcome, time.Now())
				return outcome
			}
		}
		c.closeConn()
		switch {
		case !written && !reused: // nothing listens, or the connection was reset before the last byte: not accepted
			time.Sleep(20 * time.Millisecond)
			c.f.ledger.Answered(op, lab.Failed, earlier(time.Now(), until))
			return lab.Failed
		case reused && !begun && !resent && !isTimeout(err):
			continue // the connection was closed between requests: sends it again on a new one
		case c.a.lastKill.Load() > from.UnixNano(): // the request was lost with the killed process
		case !reused && !begun && errors.Is(err, syscall.ECONNRESET) && time.Since(time.Unix(0, c.a.signaled.Load())) < c.f.endWithin:
			c.f.mu.Lock() // the connection came between the last accept and the close of the listener
			c.f.resets++
			c.f.mu.Unlock()
		default:
			c.f.ledger.Unanswered(op)
			c.f.o.logf("%s %s: no answer: %v; reused connection %v, sent again %v, answer begun %v, %v after the request began, %v after SIGTERM",
				op, class, err, reused, resent, begun, time.Since(from), time.Since(time.Unix(0, c.a.signaled.Load())))
			return lab.Failed
		}
		break
	}
	c.f.ledger.Answered(op, lab.Failed, earlier(time.Now(), until))
	return lab.Failed
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// repeatID sends the id of a finished request a second time: whatever the answer is, the request must not run
// again.
func (c *fleetClient) repeatID(op, class, id string) {
	if c.writeRequest(op, class, id, 200*time.Millisecond) != nil {
		c.closeConn()
		return
	}
	if _, _, err := c.readAnswer(time.Now().Add(200 * time.Millisecond)); err != nil {
		c.closeConn()
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.repeatedIDs++
}
