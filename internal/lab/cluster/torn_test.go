package cluster

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	// tornPublishes is how many versions a replica misses: more entries than the others keep behind a snapshot.
	tornPublishes = 400
	replicaLog    = "log"
	replicaState  = "snapshot"
)

// Guards against a replica that panics at each start behind a kill between the replacement of its snapshot and of its log.
func TestReplicaKilledBetweenSnapshotAndLogComesBack(t *testing.T) {
	t.Parallel()
	c, ctx := startReplicas(t, 3)
	leader := c.awaitLeader(t, ctx)
	c.awaitAllStarted(t, ctx)
	victim, other := c.followers(leader)
	victim.Kill()
	oldLog, oldState := victim.read(t, replicaLog), victim.read(t, replicaState)
	for n := range tornPublishes {
		c.publish(t, ctx, uint64(n), cordon(fmt.Sprint("s-", n)))
	}
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, "the replica has the leader's snapshot", 10*time.Second, func() bool {
		return !bytes.Equal(victim.read(t, replicaState), oldState)
	}); err != nil {
		t.Fatal(err)
	}
	victim.Kill()
	// The state that a kill leaves behind the first of the two replacements.
	if err := os.WriteFile(filepath.Join(victim.Data, replicaLog), oldLog, 0o600); err != nil {
		t.Fatal(err)
	}
	for start := range 2 {
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		other.Kill()
		// The leader needs the replica for a majority.
		if n := c.publish(t, ctx, uint64(tornPublishes+start), cordon(fmt.Sprint("t-", start))); n != uint64(tornPublishes+start+1) {
			t.Fatalf("start %d: the next version has number %d", start, n)
		}
		if err := other.Start(); err != nil {
			t.Fatal(err)
		}
		victim.Kill()
	}
}

// read returns the content of a file of the data directory.
func (p *Process) read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(p.Data, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
