package configstore

import (
	"testing"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// newSingleLeader returns a cluster of one replica that has led for so long that leases of previous leaders
// have expired.
func newSingleLeader(t *testing.T) (*testCluster, *Replica) {
	t.Helper()
	s := newTestCluster(t, 1)
	r, _ := s.waitForLeader(10 * electionTicks)
	const longAgoMs = 20_000
	r.lessor = lease.NewLessor(r.now()-longAgoMs, r.cfg.LeaseMs, r.cfg.ServerRulesMs)
	return s, r
}

// publishConfig publishes a configuration and waits until it is applied.
func (s *testCluster) publishConfig(r *Replica, config *sharedconfig.Config) {
	s.t.Helper()
	last := r.state.History.Last()
	answer := make(chan proposalResult, 1)
	id := string(rune('a' + last))
	r.propose(id, &history.Command{Publish: &history.Publish{ID: id, Parent: last, Config: config}}, answer)
	for range 5 {
		s.tick()
	}
	requirePublished(s.t, answer)
}

// While server rules that outlast an expired lease block the next epoch, the status names their holder. It
// used to name nobody because it reported only the holders that had not adopted the epoch in force.
func TestStatusNamesWhoseServerRulesBlockTheNextEpoch(t *testing.T) {
	s, r := newSingleLeader(t)
	s.publishConfig(r, &sharedconfig.Config{})
	s.publishConfig(r, &sharedconfig.Config{MaxAttempts: 2})
	if epoch := r.state.History.Epoch; epoch != 4 {
		t.Fatalf("epoch %d, want 4", epoch)
	}
	grantedAt := r.now() - r.cfg.LeaseMs - r.cfg.ServerRulesMs/2
	if _, ok := r.lessor.Grant(grantedAt, lease.Request{Holder: lease.Holder{Name: "agent", Incarnation: "1"}, Epoch: 3}, 3); !ok {
		t.Fatal("no lease")
	}
	s.publishConfig(r, &sharedconfig.Config{MaxAttempts: 2, Cordoned: []string{"s-1"}})
	if epoch := r.state.History.Epoch; epoch != 4 {
		t.Fatalf("epoch %d, want 4: the next one has to wait", epoch)
	}
	if blockers := r.blockers(r.now()); len(blockers.Holders) != 1 {
		t.Errorf("blocked by %q, want the agent", blockers.Holders)
	}
}
