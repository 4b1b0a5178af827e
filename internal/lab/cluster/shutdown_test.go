package cluster

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// A leader that is stopped in its shutdown until it is killed loses no version that it acknowledged, and the other replicas
// go on meanwhile.
func TestStoppedShutdownOfTheLeaderLosesNoVersion(t *testing.T) {
	for _, from := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(from.String(), func(t *testing.T) {
			const stopped = time.Second
			c, ctx := startReplicas(t, 3)
			leader := c.awaitLeader(t, ctx)
			acknowledged := make(chan uint64, 1)
			go func() { acknowledged <- c.publishUntilItFails(ctx, leader) }()
			time.Sleep(100 * time.Millisecond)
			leader.signal(syscall.SIGTERM)
			time.Sleep(from)
			leader.Freeze()
			killed := time.AfterFunc(stopped, leader.Kill)
			defer killed.Stop()
			last := <-acknowledged
			if last == 0 {
				t.Fatal("no version was acknowledged: too few to judge")
			}
			var latest uint64
			if err := Until(ctx, "another replica leads", 20*time.Second, func() bool {
				next, status := c.Leader(ctx)
				if next == nil || next == leader {
					return false
				}
				latest = status.Last
				return true
			}); err != nil {
				t.Fatal(err)
			}
			if latest < last {
				t.Errorf("the latest version is %d, %d was acknowledged", latest, last)
			}
			if n := c.publish(t, ctx, latest, cordon("s-next")); n != latest+1 {
				t.Errorf("the next version has number %d, want %d", n, latest+1)
			}
		})
	}
}

// publishUntilItFails publishes version after version at a replica, and returns the number of the last one that it
// acknowledged.
func (c *Cluster) publishUntilItFails(ctx context.Context, replica *Process) (last uint64) {
	for {
		call, cancel := context.WithTimeout(ctx, time.Second)
		out, err := c.Publish(call, replica, fmt.Sprint("p-", last), last, cordon(fmt.Sprint("s-", last)))
		cancel()
		if err != nil {
			return last
		}
		last = out.Number
	}
}
