package discovery

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// minWatchWait and maxWatchWait bound how long discovery may delay its response to one call of a watch.
	// The watches of all processes may fall silent at the same time; a process notices it when its wait and
	// watchGrace are over. A change counts as notified 6 s after the silence began, or 2 s after the end of
	// the wait if that is later, and discovery may need 8 s to answer one call of each process. So each
	// process draws its waits from its own part of that time (see SetPollSlot).
	minWatchWait = time.Second
	maxWatchWait = 9 * time.Second
	// watchGrace is how long after the wait the response may arrive before the watch counts as silent.
	watchGrace = 500 * time.Millisecond

	// maxReopenFailures is how many calls may fail while a silent watch is reopened before the failure is
	// reported. The backoff between them starts at minReopenBackoff and doubles up to maxReopenBackoff.
	maxReopenFailures = 5
	minReopenBackoff  = 100 * time.Millisecond
	maxReopenBackoff  = 400 * time.Millisecond
)

// watchResponse is the result of one call of a watch.
type watchResponse struct {
	list *membership.List
	err  error
}

// Watch follows the changes after a revision until a call fails or the client is closed. With fetchFirst,
// which is for a process that has no list yet, it fetches the complete list first and ignores revision. It
// reports whether any call was answered.
//
// The next call is sent before the callbacks see the last response: discovery drops a watch that has no call
// pending for 200 ms, and a new watch is expensive. A watch that gets no response is reopened at once and not
// reported as a failure, as it may be only this client that has missed changes.
func (c *Client) Watch(revision uint64, fetchFirst bool) (answered bool) {
	if fetchFirst {
		l, err := c.fetchComplete()
		if c.ctx.Err() != nil {
			return false
		}
		if err != nil {
			c.OnUpdate(nil, true, err)
			return false
		}
		answered = true
		revision = l.Revision
		c.OnUpdate(l, true, nil)
	}
	next := c.startCall(revision)
	first := !fetchFirst
	silent := false
	failures := 0 // since the watch fell silent
	for {
		response := <-next
		switch {
		case c.ctx.Err() != nil:
			return answered
		case errors.Is(response.err, errSilent):
			silent = true
			failures = 0
			if c.OnSilent != nil {
				c.OnSilent(response.err)
			}
			next = c.startCall(revision)
			continue
		case response.err != nil && silent && failures < maxReopenFailures:
			c.backOff(min(minReopenBackoff<<failures, maxReopenBackoff))
			failures++
			next = c.startCall(revision)
			continue
		case response.err != nil:
			c.OnUpdate(nil, true, response.err)
			return answered
		}
		answered = true
		silent = false
		revision = response.list.Revision
		next = c.startCall(revision)
		c.notify(response.list, first)
		first = false
	}
}

// startCall sends one call of a watch in a new goroutine. The query parameter of the revision is index.
func (c *Client) startCall(revision uint64) <-chan watchResponse {
	done := make(chan watchResponse, 1)
	wait := c.drawWait()
	go func() {
		query := fmt.Sprintf("?index=%d&wait=%d", revision, wait.Milliseconds())
		l, err := c.get(query, wait+c.grace)
		done <- watchResponse{l, err}
	}()
	return done
}

// drawWait returns how long discovery may delay its next response: a random time in this process's poll slot.
func (c *Client) drawWait() time.Duration {
	fraction := (float64(c.pollSlot) + rand.Float64()) / float64(c.pollSlots)
	return c.minWait + time.Duration(fraction*float64(c.maxWait-c.minWait))
}

// notify passes a response of a watch to the callbacks. A response without changes is not an update, unless
// it is the first: that one confirms the watch.
func (c *Client) notify(l *membership.List, first bool) {
	if c.OnAlive != nil {
		c.OnAlive()
	}
	if first || l.Full || len(l.Entries) > 0 {
		c.OnUpdate(l, true, nil)
	}
}

// Follow fetches the complete list and watches its changes until the client is closed, and starts over after
// a failure. The backoff starts at minBackoff and doubles with each failure in a row up to maxBackoff; each
// pause is a random time in the upper half of it.
func (c *Client) Follow(minBackoff, maxBackoff time.Duration) {
	for backoff := minBackoff; c.ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		if c.Watch(0, true) {
			backoff = minBackoff
		}
		c.backOff(backoff)
	}
}
