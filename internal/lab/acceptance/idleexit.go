package acceptance

import (
	"context"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"time"
)

const (
	// idleChild is the child that does nothing until its input ends, idleThreads how many threads it has then: about as
	// many as an agent.
	idleChild   = "idle"
	idleThreads = 8
	// idleExitInterval is how long after the end of one idle process the next one is started, idleTime how long it lives.
	idleExitInterval, idleTime = 100 * time.Millisecond, 50 * time.Millisecond
	// maxIdleExits bounds how many ends are remembered, the newest.
	maxIdleExits = 64
)

// beIdle is the child that does nothing: threads that sleep, and an end once its input has ended.
func beIdle() error {
	for range idleThreads {
		go func() {
			runtime.LockOSThread()
			select {}
		}()
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// idleExit is one end of an idle process: when its input ended, and when it was gone.
type idleExit struct {
	from, gone time.Time // gone is zero until then
}

// idleExits times how long processes that do nothing take to end: what the machine takes for any end, beside what the
// program under test takes for its own.
type idleExits struct {
	mu      sync.Mutex
	recent  []idleExit
	longest time.Duration
}

// watch ends one idle process after the other until ctx ends.
func (x *idleExits) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := x.endOne(); err != nil {
			return // processes of this binary are no children: nothing is timed
		}
		select {
		case <-time.After(idleExitInterval):
		case <-ctx.Done():
		}
	}
}

func (x *idleExits) endOne() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	idle := exec.Command(self)
	idle.Env = append(os.Environ(), childEnv+"="+idleChild, "GOMAXPROCS=1", "GORACE=atexit_sleep_ms=0")
	input, err := idle.StdinPipe()
	if err != nil {
		return err
	}
	if err := idle.Start(); err != nil {
		return err
	}
	time.Sleep(idleTime)
	x.mu.Lock()
	x.recent = append(x.recent, idleExit{from: time.Now()})
	if len(x.recent) > maxIdleExits {
		x.recent = x.recent[1:]
	}
	x.mu.Unlock()
	input.Close()
	err = idle.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	last := &x.recent[len(x.recent)-1]
	last.gone = time.Now()
	x.longest = max(x.longest, last.gone.Sub(last.from))
	return err
}

// longestSince is the longest end of an idle process that was not over at this time, as far as it had come by now; 0:
// there was none.
func (x *idleExits) longestSince(since time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := time.Duration(0)
	for _, e := range x.recent {
		switch {
		case e.gone.IsZero():
			longest = max(longest, time.Since(e.from))
		case e.gone.After(since):
			longest = max(longest, e.gone.Sub(e.from))
		}
	}
	return longest
}

// longestEver is the longest of all.
func (x *idleExits) longestEver() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.longest
}
