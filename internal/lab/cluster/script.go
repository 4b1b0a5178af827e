package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// The cluster of a script.
const (
	scriptReplicas = 3
	scriptAgents   = 6
	scriptServers  = 6
	scriptLeaseMs  = 600
	scriptPauseMs  = 10
)

const (
	scriptTimeout        = time.Minute
	scriptStepTimeout    = 10 * time.Second
	scriptPublishTimeout = time.Second
	scriptTrafficTime    = 700 * time.Millisecond // of traffic under each version
	scriptLateAnswerTime = 650 * time.Millisecond // longer than a lease
	scriptRestartTime    = 900 * time.Millisecond
)

// errNoLeader is returned by a step that needs a leader if there is none.
var errNoLeader = errors.New("cluster: no replica is the leader")

// script is a run with fixed steps instead of random faults.
type script struct {
	*runner
	published []publication
}

// RunScript runs the smallest cluster that detects a lease that is counted wrongly, a missing transition
// between versions, or an agent that starts with an old configuration. Each step injects the fault that
// reveals one of these defects.
func RunScript(ctx context.Context, dir, defect string, seed uint64) (*Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, scriptTimeout)
	defer cancel()
	p := &Plan{
		Seed:     seed,
		Replicas: scriptReplicas,
		Agents:   scriptAgents,
		Servers:  scriptServers,
		LeaseMs:  scriptLeaseMs,
		PauseMs:  scriptPauseMs,
		Defect:   defect,
	}
	r, end, err := start(ctx, dir, p)
	defer end()
	if err != nil {
		return r.outcome, err
	}
	r.startTraffic(ctx)
	s := &script{runner: r}
	for i, step := range s.steps() {
		if err := step(ctx); err != nil {
			r.fail("step %d: %v", i+1, err)
			break
		}
	}
	r.settle(ctx, s.published)
	r.traffic.Close()
	r.finish()
	return r.outcome, nil
}

func (s *script) steps() []func(context.Context) error {
	return []func(context.Context) error{
		func(ctx context.Context) error { return s.publishCordoning(ctx, serverName(0)) },
		s.publishToPartitionedAgent,
		s.publishAfterLateAnswer,
		func(ctx context.Context) error { return s.publishCordoning(ctx, serverName(3)) },
		s.restartPartitionedAgent,
		s.publishWithFrozenLeader,
		func(ctx context.Context) error { return s.publishCordoning(ctx) },
	}
}

// publishCordoning publishes a version that cordons servers, waits until it is in force, and lets traffic run
// under it.
func (s *script) publishCordoning(ctx context.Context, cordoned ...string) error {
	parent := uint64(len(s.published))
	p := publication{
		id:     fmt.Sprintf("step-%d", parent),
		config: &sharedconfig.Config{Cordoned: cordoned},
		sent:   time.Now(),
	}
	s.traffic.Attempts.Published(parent+1, p.config, p.sent)
	err := Until(ctx, "a publish is acknowledged", scriptStepTimeout, func() bool {
		for _, replica := range s.cluster.Replicas {
			call, cancel := context.WithTimeout(ctx, scriptPublishTimeout)
			response, err := s.cluster.Publish(call, replica, p.id, parent, p.config)
			cancel()
			if err == nil {
				p.acknowledge(response)
				return true
			}
		}
		return false
	})
	if err != nil {
		return err
	}
	s.published = append(s.published, p)
	epoch := sharedconfig.EpochOf(p.number)
	if err := s.cluster.awaitInForce(ctx, s.traffic.Attempts, epoch, scriptStepTimeout); err != nil {
		return err
	}
	time.Sleep(scriptTrafficTime)
	return nil
}

// setReplicaLinks sets the links between an agent and the replicas.
func (s *script) setReplicaLinks(agent *Process, out, in Mode) {
	s.cluster.SetLinks(agent.Name, s.cluster.Replicas, out, in)
}

// publishToPartitionedAgent publishes while one agent is partitioned: until its lease expires, no other agent
// may make attempts that its version forbids.
func (s *script) publishToPartitionedAgent(ctx context.Context) error {
	agent := s.cluster.Agents[0]
	s.setReplicaLinks(agent, Stall, Stall)
	defer s.setReplicaLinks(agent, Pass, Pass)
	return s.publishCordoning(ctx, serverName(1))
}

// publishAfterLateAnswer publishes after an agent received a delayed grant and was then partitioned. The
// agent's lease has to count from its request, not from the answer.
func (s *script) publishAfterLateAnswer(ctx context.Context) error {
	agent := s.cluster.Agents[1]
	s.setReplicaLinks(agent, Pass, Stall)
	time.Sleep(scriptLateAnswerTime)
	s.setReplicaLinks(agent, Pass, Pass)
	time.Sleep(lateAnswerWindow)
	s.setReplicaLinks(agent, Stall, Stall)
	defer s.setReplicaLinks(agent, Pass, Pass)
	return s.publishCordoning(ctx, serverName(2))
}

// restartPartitionedAgent restarts an agent that is partitioned: it must not act on the configuration that it
// had before.
func (s *script) restartPartitionedAgent(context.Context) error {
	agent := s.cluster.Agents[2]
	s.setReplicaLinks(agent, Stall, Stall)
	defer s.setReplicaLinks(agent, Pass, Pass)
	agent.Kill()
	if err := agent.Start(); err != nil {
		return err
	}
	time.Sleep(scriptRestartTime)
	return nil
}

// publishWithFrozenLeader publishes while the leader is stopped by SIGSTOP, and resumes it once the version
// is in force under another leader.
func (s *script) publishWithFrozenLeader(ctx context.Context) error {
	leader, _ := s.cluster.Leader(ctx)
	if leader == nil {
		return errNoLeader
	}
	leader.Freeze()
	defer leader.Thaw()
	return s.publishCordoning(ctx, serverName(4))
}
