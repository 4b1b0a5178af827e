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
	// idleChild is the role of a child that does nothing until its input ends. It has idleThreads threads,
	// about as many as an agent.
	idleChild   = "idle"
	idleThreads = 8
	// idleExitInterval is the pause between the end of one idle process and the start of the next, idleTime
	// the time for which one runs.
	idleExitInterval, idleTime = 100 * time.Millisecond, 50 * time.Millisecond
	// maxIdleExits is how many of the newest exits are kept.
	maxIdleExits = 64
)

// runIdleChild is an idle child: it starts threads that sleep, and returns once its input has ended.
func runIdleChild() error {
	for range idleThreads {
		go func() {
			runtime.LockOSThread()
			select {}
		}()
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// idleExit is the exit of an idle process: when its input ended, and when the process had ended.
type idleExit struct {
	inputEnded, ended time.Time // ended is zero until then
}

// idleExits measures how long processes that do nothing take to exit: the time that the machine needs for any
// exit, apart from what the program under test needs for its own.
type idleExits struct {
	mu      sync.Mutex
	recent  []idleExit
	longest time.Duration
}

// watch starts and ends one idle process after the other until ctx ends.
func (x *idleExits) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := x.endOne(); err != nil {
			return // this binary does not run as a child: nothing is measured
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
	x.recent = append(x.recent, idleExit{inputEnded: time.Now()})
	if len(x.recent) > maxIdleExits {
		x.recent = x.recent[1:]
	}
	x.mu.Unlock()
	input.Close()
	err = idle.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	last := &x.recent[len(x.recent)-1]
	last.ended = time.Now()
	x.longest = max(x.longest, last.ended.Sub(last.inputEnded))
	return err
}

// longestSince returns the longest exit of an idle process that was not over at the given time, 0 if there
// was none. An exit that is still under way counts with the time that it has taken so far.
func (x *idleExits) longestSince(since time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := time.Duration(0)
	for _, e := range x.recent {
		switch {
		case e.ended.IsZero():
			longest = max(longest, time.Since(e.inputEnded))
		case e.ended.After(since):
			longest = max(longest, e.ended.Sub(e.inputEnded))
		}
	}
	return longest
}

// longestEver returns the longest exit of all.
func (x *idleExits) longestEver() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.longest
}
