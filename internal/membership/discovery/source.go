package discovery

import (
	"cmp"
	"context"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// Defaults of Source.
const (
	defaultMinBackoff = 250 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
)

// Source follows an endpoint list: it fetches the complete list, then watches it, and starts over after a
// failure, with exponential backoff.
type Source struct {
	Addr string // host:port of discovery
	// MinBackoff and MaxBackoff bound the backoff after a failed call; see Follow. 0: 250 ms and 5 s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// Run follows the list until ctx ends. onUpdate is called from one goroutine at a time: with a list, with the
// error of a call, or with neither after a response without changes.
func (s *Source) Run(ctx context.Context, onUpdate func(l *membership.List, err error)) {
	c := NewClient(ctx, s.Addr)
	defer c.Close()
	c.PollFrequently()
	c.OnUpdate = func(l *membership.List, _ bool, err error) { onUpdate(l, err) }
	c.OnAlive = func() { onUpdate(nil, nil) }
	c.OnSilent = func(err error) { onUpdate(nil, err) }
	c.Follow(cmp.Or(max(s.MinBackoff, 0), defaultMinBackoff), cmp.Or(max(s.MaxBackoff, 0), defaultMaxBackoff))
}
