package discovery

import (
	"errors"
	"math/rand/v2"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// MaxInitialFetches bounds the requests for the complete list at the start of a watch, before the failure
	// is reported.
	MaxInitialFetches = 3
	// initialFetchBackoff is the base of the randomised backoff between them, whose range doubles each time:
	// all processes may have been configured with a new discovery service at the same time.
	initialFetchBackoff = 200 * time.Millisecond

	// fetchTimeout bounds a call for the complete list. Discovery with many clients queues calls and drops
	// those that waited too long; a client that gives up earlier causes the same work there without a result.
	fetchTimeout = 3 * time.Second
	// initialFetchTimeout is the timeout in a process that knows no server yet and can't serve requests.
	initialFetchTimeout = 9500 * time.Millisecond
)

// errIncompleteList is returned if discovery answers with changes instead of the complete list.
var errIncompleteList = errors.New("discovery: response is not the complete endpoint list")

// Fetch requests the complete list once and reports the list or the failure to OnUpdate.
func (c *Client) Fetch() {
	l, err := c.get("", fetchTimeout)
	if c.ctx.Err() == nil {
		c.OnUpdate(l, false, err)
	}
}

// FetchInitial is Fetch with a longer timeout, for a process that knows no server yet. It runs concurrently
// with a watch, which has shorter timeouts and reports failures; FetchInitial reports only a list.
func (c *Client) FetchInitial() {
	if l, err := c.get("", initialFetchTimeout); err == nil && c.ctx.Err() == nil {
		c.OnUpdate(l, false, nil)
	}
}

// fetchComplete requests the complete list, up to MaxInitialFetches times.
func (c *Client) fetchComplete() (l *membership.List, err error) {
	for attempt := range MaxInitialFetches {
		if attempt > 0 {
			c.sleep(initialFetchBackoff/2 + rand.N(initialFetchBackoff<<attempt))
		}
		if l, err = c.get("", fetchTimeout); err == nil && l.Full {
			return l, nil
		}
		if err == nil {
			err = errIncompleteList
		}
	}
	return nil, err
}
