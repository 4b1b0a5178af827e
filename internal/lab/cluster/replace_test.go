package cluster

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A replica does not vote under its old name if its data directory was wiped or is stale, or if its disk lied: versions
// that were acknowledged remain when the others are lost as well. Each comes back as a new member.
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
	// Only the leader and the victim have what is acknowledged now.
	c.SetLinks(other.Name, c.Replicas, Stall, Stall)
	if kind == FaultLyingDisk {
		victim.SetDiskFault(diskLies)
	}
	for n := range 3 {
		c.publish(t, ctx, uint64(n), cordon("s-1"))
	}
	c.SetLinks(other.Name, c.Replicas, Pass, Stall) // it receives nothing, and may call others
	loseData(t, kind, victim, backup)
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	c.SetLinks(other.Name, c.Replicas, Pass, Pass)
	if kind == FaultWipe {
		c.requireNoLeaderWithout(t, ctx, leader)
	}
	if n := c.publish(t, ctx, 3, cordon("s-2")); n != 4 {
		t.Fatalf("the next version has number %d", n)
	}
	if err := c.Replace(ctx, victim); err != nil {
		t.Fatal(err)
	}
	// The new member counts: without the other there is still a majority, and it has all versions.
	other.Kill()
	if n := c.publish(t, ctx, 4, cordon("s-3")); n != 5 {
		t.Fatalf("with the new member the version has number %d", n)
	}
}

// awaitAllStarted waits until every replica has logged that it takes part.
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

// followers returns the two replicas of three that do not lead.
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

// loseData stops a replica and has it lose what it acknowledged.
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

// requireNoLeaderWithout restarts the only running replica that has all acknowledged versions. The others must not elect a
// leader meanwhile.
func (c *Cluster) requireNoLeaderWithout(t *testing.T, ctx context.Context, leader *Process) {
	t.Helper()
	// No running replica has what was acknowledged, so none may lead until the old leader is back.
	leader.Kill()
	if Until(ctx, "a replica leads", 1500*time.Millisecond, func() bool { p, _ := c.Leader(ctx); return p != nil }) == nil {
		t.Error("a replica leads that lacks what was acknowledged")
	}
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
}
