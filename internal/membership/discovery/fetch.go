package discovery

import (
	"errors"
	"math/rand/v2"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// MaxInitialFetches is how often the complete list of a new discovery is requested before the failure is
	// reported.
	MaxInitialFetches = 3
	// initialFetchBackoff is the unit of the backoff between them, whose spread doubles each time: all
	// processes may have been configured with the new discovery at once.
	initialFetchBackoff = 200 * time.Millisecond

	// fetchTimeout bounds a call for the complete list. A discovery with many clients queues them and drops
	// those that waited too long; a client that gives up earlier costs it the same work for nothing.
	fetchTimeout = 3 * time.Second
	// initialFetchTimeout is the same for a process that knows no server yet and can serve nobody until then.
	initialFetchTimeout = 9500 * time.Millisecond
)

// errIncompleteList is returned where discovery answers with changes instead of the complete list.
var errIncompleteList = errors.New("discovery: the endpoint list is not complete")

// Fetch requests the complete list once and reports the list or the failure to OnUpdate.
func (c *Client) Fetch() {
	l, err := c.get("", fetchTimeout)
	if c.ctx.Err() == nil {
		c.OnUpdate(l, false, err)
	}
}

// FetchInitial is Fetch with a longer timeout, for a process that knows no server yet. It runs beside a watch,
// whose calls end earlier and report failures: this one reports a list only.
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
