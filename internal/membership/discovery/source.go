package discovery

import (
	"context"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// Source follows a roster by itself, for a process that has no decision module to say when to call
// again: the whole list, then a watch; after a failure the same again, later each time.
type Source struct {
	Addr string // host:port of the roster
	// MinBackoff and Most bound the pause after a failed call, doubled each time and drawn evenly from
	// its upper half. 0: 250 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
}

// Run follows until ctx ends. told is called from one goroutine at a time: with a list, with an error
// where a call failed, or with neither where the roster only showed that it lives.
func (s *Source) Run(ctx context.Context, told func(l *membership.List, err error)) {
	least, most := s.MinBackoff, s.MaxBackoff
	if least <= 0 {
		least = 250 * time.Millisecond
	}
	if most <= 0 {
		most = 5 * time.Second
	}
	c := NewClient(ctx, s.Addr)
	defer c.Close()
	c.PollFrequently()
	c.OnUpdate = func(l *membership.List, _ bool, err error) { told(l, err) }
	c.OnAlive = func() { told(nil, nil) }
	c.OnSilent = func(err error) { told(nil, err) }
	c.Follow(least, most)
}
