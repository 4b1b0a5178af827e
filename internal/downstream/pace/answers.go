package pace

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// freeAnswersPerSecond and freeAnswerBurst are the answers of the agent's own that each connection may have without
	// a pause: more than a health check or a client that honors Retry-After needs.
	freeAnswersPerSecond = 20
	freeAnswerBurst      = 64
	// pausedAnswersPerSecond bounds the further ones of all connections together.
	pausedAnswersPerSecond = 2000
	// minAnswerPause and maxAnswerPause bound the pause before a request that follows a further one.
	minAnswerPause = 5 * time.Millisecond
	maxAnswerPause = 100 * time.Millisecond
)

// Answers bounds the answers that need no server: to readiness checks, to requests that are rejected, and to those that
// can't be used. A client could ask for them as fast as the processor permits, ahead of all limits for admitted ones.
type Answers struct{ paused *rate.Limiter }

// NewAnswers returns the bound for all connections of a listener.
func NewAnswers() *Answers { return &Answers{paused: rate.NewLimiter(pausedAnswersPerSecond, 1)} }

// Conn is the part of one connection. It is used by one goroutine at a time.
type Conn struct {
	answers   *Answers
	free      *rate.Limiter
	notBefore time.Time // of the next request
}

// NewConn returns the part of a new connection.
func (a *Answers) NewConn() *Conn {
	return &Conn{answers: a, free: rate.NewLimiter(freeAnswersPerSecond, freeAnswerBurst)}
}

// Charge records an answer that needed no server.
func (c *Conn) Charge() {
	now := time.Now()
	if c.free.AllowN(now, 1) {
		return
	}
	pause := c.answers.paused.ReserveN(now, 1).DelayFrom(now)
	c.notBefore = now.Add(min(max(pause, minAnswerPause), maxAnswerPause))
}

// Wait waits until the next request of the connection may be handled.
func (c *Conn) Wait() {
	if !c.notBefore.IsZero() {
		time.Sleep(time.Until(c.notBefore))
		c.notBefore = time.Time{}
	}
}
