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

// hold brings a request with far more time than an end leaves, to a server that says nothing, and returns once it
// is there. Its answer has to come before the process ends.
func (f *fleet) hold(ctx context.Context, a *fleetAgent) {
	c := fleetClient{f: f, a: a, name: lab.UnansweredPrefix + filepath.Base(a.dir), rng: f.o.rng()}
	sent := make(chan struct{})
	f.held.Go(func() {
		c.ask(ctx, c.name, "order", lab.NonIdempotent, fmt.Sprintf("%s-%d", c.name, time.Now().UnixNano()), heldFor, sent)
		c.drop()
	})
	<-sent
}

// fleetClient is the application beside an agent: one request at a time, on a kept connection.
type fleetClient struct {
	f    *fleet
	a    *fleetAgent
	name string
	rng  *rand.Rand
	cn   net.Conn
	br   *bufio.Reader
	used bool // the connection has carried a request
	anew bool // each request is to have a connection of its own
}

func (c *fleetClient) run(ctx context.Context) {
	classes := []struct {
		name   string
		effect lab.Effect
	}{{"read", lab.Idempotent}, {"send", lab.IdempotentByKey}, {"order", lab.NonIdempotent}}
	defer c.drop()
	for n := 0; ctx.Err() == nil; n++ {
		class := classes[n%3]
		op := fmt.Sprintf("%s-%d", c.name, n)
		var id string
		v := lab.Rejected
		for try := 0; try < 3 && v == lab.Rejected; try++ { // refused, it comes back at once, under a new id
			id = fmt.Sprintf("%s-%d", op, try)
			v = c.ask(ctx, op, class.name, class.effect, id, c.f.deadline, nil)
		}
		if v != lab.Rejected && class.effect == lab.NonIdempotent && c.rng.IntN(4) == 0 {
			c.again(op, class.name, id)
		}
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
	}
}

func (c *fleetClient) drop() {
	if c.cn != nil {
		c.cn.Close()
	}
	c.cn, c.used = nil, false
}

// send writes a request, on a new connection where there is none.
func (c *fleetClient) send(op, class, id string, within time.Duration) error {
	if c.cn == nil {
		cn, err := net.DialTimeout("tcp", c.a.addr, time.Second)
		if err != nil {
			c.f.mu.Lock()
			c.f.turned++
			c.f.mu.Unlock()
			return err
		}
		c.cn, c.br, c.used = cn, bufio.NewReader(cn), false
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
	_, err := io.WriteString(c.cn, text)
	return err
}

// read reads an answer; begun tells whether a byte of one came.
func (c *fleetClient) read(until time.Time) (v lab.Outcome, begun bool, err error) {
	c.cn.SetReadDeadline(until.Add(2 * time.Second))
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
	if c.used = true; resp.Close || c.anew {
		c.drop()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return lab.Served, true, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return lab.Rejected, true, nil
	}
	return lab.Failed, true, nil
}

// ask brings one request and tells the ledger how it ended. sent, where it is set, is closed once it is written.
func (c *fleetClient) ask(ctx context.Context, op, class string, effect lab.Effect, id string, within time.Duration, sent chan struct{}) lab.Outcome {
	from := time.Now()
	until := from.Add(within)
	c.f.ledger.AttemptStarted(op, effect, op, until)
	for again := false; ; again = true {
		reused := c.used
		err := c.send(op, class, id, within)
		written := err == nil
		if sent != nil {
			time.Sleep(20 * time.Millisecond) // on its way through the agent
			close(sent)
			sent = nil
		}
		if err == nil && within < heldFor && c.rng.IntN(20) == 0 { // it gives up early
			time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Microsecond)
			c.drop()
			break
		}
		begun := false
		if err == nil {
			var v lab.Outcome
			if v, begun, err = c.read(until); err == nil {
				c.f.ledger.Answered(op, v, time.Now())
				return v
			}
		}
		c.drop()
		switch {
		case !written && !reused: // nobody is there, or its connection was reset before its last byte: not taken
			time.Sleep(20 * time.Millisecond)
			c.f.ledger.Answered(op, lab.Failed, earlier(time.Now(), until))
			return lab.Failed
		case reused && !begun && !again && !isTimeout(err):
			continue // its connection was closed between requests: the same once more on a new one
		case c.a.lastKill.Load() > from.UnixNano(): // it died with its process
		case !reused && !begun && errors.Is(err, syscall.ECONNRESET) && time.Since(time.Unix(0, c.a.signaled.Load())) < c.f.endWithin:
			c.f.mu.Lock() // it came between the last look at the accept queue and the listener's end
			c.f.resets++
			c.f.mu.Unlock()
		default:
			c.f.ledger.Unanswered(op)
			c.f.o.logf("%s %s: no answer: %v; on a kept connection %v, second time %v, a byte came %v, %v after it was sent, %v after SIGTERM",
				op, class, err, reused, again, begun, time.Since(from), time.Since(time.Unix(0, c.a.signaled.Load())))
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

// again brings an id a second time whose request has ended: whatever it is told, the work is not to run again.
func (c *fleetClient) again(op, class, id string) {
	if c.send(op, class, id, 200*time.Millisecond) != nil {
		c.drop()
		return
	}
	if _, _, err := c.read(time.Now().Add(200 * time.Millisecond)); err != nil {
		c.drop()
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.repeats++
}
