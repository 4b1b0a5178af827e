package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
)

// Where operators may ask, the rotation is counted anew five times a second; where nobody does, the loop rests: in ten
// seconds without a request or a list it counts once.
func TestRotationIsCountedForWhoMayAsk(t *testing.T) {
	for _, c := range []struct {
		watched     bool
		least, most int
	}{{true, 45, 51}, {false, 1, 1}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cfg := testConfig()
			cfg.PublishRotation = c.watched
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
				counts[l.rotation.Load()] = true // held, so that none has another's address
			}
			if n := len(counts); n < c.least || n > c.most {
				t.Errorf("watched %v: counted %d times in 10 s, want %d to %d", c.watched, n, c.least, c.most)
			}
			if r := l.Rotation(); r.Listed != 1 {
				t.Errorf("watched %v: %+v", c.watched, r)
			}
			cancel()
			<-ended
		})
	}
}
