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

// Source follows an endpoint list by itself: the complete list, then a watch, and the same again after a
// failure, with exponential backoff.
type Source struct {
	Addr string // host:port of discovery
	// MinBackoff and MaxBackoff bound the backoff after a failed call, of which the upper half is drawn.
	// 0: 250 ms and 5 s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// Run follows the list until ctx ends. onUpdate is called from one goroutine at a time: with a list, with the
// error of a call, or with neither where discovery only showed that it is alive.
func (s *Source) Run(ctx context.Context, onUpdate func(l *membership.List, err error)) {
	c := NewClient(ctx, s.Addr)
	defer c.Close()
	c.PollFrequently()
	c.OnUpdate = func(l *membership.List, _ bool, err error) { onUpdate(l, err) }
	c.OnAlive = func() { onUpdate(nil, nil) }
	c.OnSilent = func(err error) { onUpdate(nil, err) }
	c.Follow(cmp.Or(max(s.MinBackoff, 0), defaultMinBackoff), cmp.Or(max(s.MaxBackoff, 0), defaultMaxBackoff))
}
