package cluster

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A replica whose data directory was wiped or is stale, or whose disk lost synced writes, must not vote as
// the member that it was: it could elect a leader that lacks acknowledged versions. It takes part again after
// it is replaced.
func TestReplicaWithLostDataIsReplaced(t *testing.T) {
	for _, kind := range []FaultKind{FaultWipe, FaultStaleData, FaultLyingDisk} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			testLostData(t, kind)
		})
	}
}

func testLostData(t *testing.T, kind FaultKind) {
	c, ctx := startReplicas(t, 3)
	leader := c.awaitLeader(t, ctx)
	c.awaitAllStarted(t, ctx)
	victim, other := c.followers(leader)
	backup := filepath.Join(c.Dir, "backup")
	if err := victim.Backup(backup); err != nil {
		t.Fatal(err)
	}
	// From here on only the leader and the victim have the acknowledged versions.
	c.SetLinks(other.Name, c.Replicas, Stall, Stall)
	if kind == FaultLyingDisk {
		victim.SetDiskFault(diskLies)
	}
	for n := range 3 {
		c.publish(t, ctx, uint64(n), cordon("s-1"))
	}
	c.SetLinks(other.Name, c.Replicas, Pass, Stall) // it can send requests and receives none
	loseData(t, kind, victim, backup)
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	c.SetLinks(other.Name, c.Replicas, Pass, Pass)
	if kind == FaultWipe {
		c.requireNoLeaderWithout(t, ctx, leader)
	}
	if n := c.publish(t, ctx, 3, cordon("s-2")); n != 4 {
		t.Fatalf("the next version has number %d, want 4", n)
	}
	if err := c.Replace(ctx, victim); err != nil {
		t.Fatal(err)
	}
	// The new member has all versions and counts for the majority, which it forms with the leader.
	other.Kill()
	if n := c.publish(t, ctx, 4, cordon("s-3")); n != 5 {
		t.Fatalf("with the new member the version has number %d, want 5", n)
	}
}

// awaitAllStarted waits until every replica has logged that it takes part in the Raft group.
func (c *Cluster) awaitAllStarted(t *testing.T, ctx context.Context) {
	t.Helper()
	if err := Until(ctx, "all replicas have started", 10*time.Second, func() bool {
		for _, replica := range c.Replicas {
			if !strings.Contains(replica.Log(), "msg=raft") {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// followers returns the two of three replicas that are not the leader.
func (c *Cluster) followers(leader *Process) (first, second *Process) {
	for _, replica := range c.Replicas {
		if replica != leader && first == nil {
			first = replica
		} else if replica != leader {
			second = replica
		}
	}
	return first, second
}

// loseData stops a replica and removes acknowledged versions from its disk.
func loseData(t *testing.T, kind FaultKind, victim *Process, backup string) {
	t.Helper()
	switch kind {
	case FaultWipe:
		victim.Kill()
		if err := victim.Wipe(); err != nil {
			t.Fatal(err)
		}
	case FaultStaleData:
		victim.Kill()
		if err := victim.Restore(backup); err != nil {
			t.Fatal(err)
		}
	case FaultLyingDisk:
		if err := victim.PowerCut(nil); err != nil {
			t.Fatal(err)
		}
		victim.SetDiskFault("")
	}
}

// requireNoLeaderWithout stops the only replica that has all acknowledged versions, checks that the others
// elect no leader without it, and restarts it.
func (c *Cluster) requireNoLeaderWithout(t *testing.T, ctx context.Context, leader *Process) {
	t.Helper()
	// The running replicas lack acknowledged versions, so none may lead until the old leader is back.
	leader.Kill()
	if Until(ctx, "a replica leads", 1500*time.Millisecond, func() bool { p, _ := c.Leader(ctx); return p != nil }) == nil {
		t.Error("a replica without the acknowledged versions became the leader")
	}
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
}
