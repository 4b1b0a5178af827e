package cluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

const (
	// largeVersions versions of largeServers servers with ids of largeIDBytes have more than 64 MiB.
	largeVersions = 18
	largeServers  = 20_000
	largeIDBytes  = 160
)

// largeConfig returns a configuration of many servers, of which one is cordoned.
func largeConfig(cordoned int) *sharedconfig.Config {
	config := &sharedconfig.Config{Listed: true, Servers: map[string]sharedconfig.Server{}}
	for i := range largeServers {
		config.Servers[largeServer(i)] = sharedconfig.Server{Weight: 1.25}
	}
	config.Cordoned = []string{largeServer(cordoned)}
	return config
}

func largeServer(i int) string { return fmt.Sprintf("%06d-%s", i, strings.Repeat("s", largeIDBytes)) }

// Guards against replicas that refuse at their start, or from one another, a snapshot that they have written themselves.
func TestReplicasReadSnapshotsOfLargeConfigurations(t *testing.T) {
	t.Parallel()
	c, ctx := startReplicas(t, 3)
	leader := c.awaitLeader(t, ctx)
	c.awaitAllStarted(t, ctx)
	away, other := c.followers(leader)
	away.Kill()
	for n := range largeVersions {
		c.publish(t, ctx, uint64(n), largeConfig(n))
	}
	// The replica that was away gets a snapshot, and a majority needs it.
	if err := away.Start(); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, "the replica has all versions", 20*time.Second, func() bool {
		var status client.Status
		err := c.Call(ctx, away, client.PathStatus, nil, &status)
		return err == nil && status.Last == largeVersions
	}); err != nil {
		t.Fatal(err)
	}
	for _, replica := range []*Process{other, away, leader} {
		replica.Kill()
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitLeader(t, ctx)
	if n := c.publish(t, ctx, largeVersions, largeConfig(largeVersions)); n != largeVersions+1 {
		t.Errorf("the next version has number %d, want %d", n, largeVersions+1)
	}
	for _, replica := range c.Replicas {
		if !replica.Runs() {
			t.Errorf("%s does not run: %v", replica.Name, replica.Err())
		}
	}
}
