package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
)

// With PublishRotation the rotation is computed five times a second. Without it the loop stays idle: in ten
// seconds without a request or an endpoint update it computes the rotation only once, at its start.
func TestRotationIsPublishedOnlyIfConfigured(t *testing.T) {
	for _, c := range []struct {
		publish  bool
		min, max int
	}{{true, 45, 51}, {false, 1, 1}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := testConfig()
			cfg.PublishRotation = c.publish
			l, err := New(ctx, cfg, semaphore.NewWeighted(1<<20), []Upstream{stub{}}, func() {})
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				l.Run()
			}()
			counts := map[*Rotation]bool{}
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				counts[l.rotation.Load()] = true // stays referenced, so that addresses are not reused
			}
			if n := len(counts); n < c.min || n > c.max {
				t.Errorf("publish %v: counted %d times in 10 s, want %d to %d", c.publish, n, c.min, c.max)
			}
			if r := l.Rotation(); r.Listed != 1 {
				t.Errorf("publish %v: rotation %+v, want one listed backend", c.publish, r)
			}
			cancel()
			<-ended
		})
	}
}
