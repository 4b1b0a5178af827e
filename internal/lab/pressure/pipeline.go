package pressure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// pipelineInterval is how often a pipelining client sends a request.
	pipelineInterval = 20 * time.Millisecond
	// pipelineHangEvery is which of its requests get no answer from their backend.
	pipelineHangEvery = 10
)

// pipeliner is a client that sends requests on one connection whether or not earlier ones are answered, and goes on until
// the connection ends.
type pipeliner struct {
	loader *loader

	mu       sync.Mutex
	sent     []time.Time // of the requests that were written
	answered int
	ended    time.Time // when the connection ended
	err      error     // how it ended
	last     answerStatus
	lastEnds bool // the last answer says that the connection ends behind it
}

// startPipeliners starts a pipelining client for each load. They stop as ctx ends.
func (w *world) startPipeliners(ctx context.Context, running *sync.WaitGroup, loaders []*loader) (clients []*pipeliner) {
	for _, l := range loaders {
		p := &pipeliner{loader: l}
		clients = append(clients, p)
		running.Go(func() { p.run(ctx) })
	}
	return clients
}

func (p *pipeliner) run(ctx context.Context) {
	c, err := p.loader.connect(true)
	if err != nil {
		return
	}
	defer c.Close()
	var reading sync.WaitGroup
	defer reading.Wait()
	ended := make(chan struct{})
	reading.Go(func() {
		defer close(ended)
		p.read(c)
	})
	for n := 1; ; n++ {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			_ = c.SetReadDeadline(time.Now().Add(lateSlack))
			return
		case <-time.After(pipelineInterval):
		}
		path := "/api/1"
		if n%pipelineHangEvery == 0 {
			path = hangPath
		}
		if p.loader.send(c, path) == nil {
			p.mu.Lock()
			p.sent = append(p.sent, c.sent)
			p.mu.Unlock()
		}
	}
}

// read reads answers until the connection ends.
func (p *pipeliner) read(c *loadConn) {
	for {
		status, end, err := p.loader.receive(c)
		p.mu.Lock()
		if err != nil {
			p.ended = time.Now()
			p.err = err
			p.mu.Unlock()
			return
		}
		p.answered++
		p.last = status
		p.lastEnds = end
		p.mu.Unlock()
	}
}

// lost returns the requests that had no answer though they were sent before the end of the connection could cross them.
func (p *pipeliner) lost() (lost []LostRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sent := range p.sent[min(p.answered, len(p.sent)):] {
		if age := p.ended.Sub(sent); age >= crossingTime {
			lost = append(lost, LostRequest{
				Path: fmt.Sprintf("pipelined, Thrift %v", p.loader.load.Thrift), Sent: sent, SinceTermination: p.loader.agent.sinceTermination(sent), Ended: age, Kept: true,
				Err: fmt.Errorf("behind answer %d, status %d, which ends the connection %v: %w", p.answered, p.last, p.lastEnds, p.err),
			})
		}
	}
	return lost
}
