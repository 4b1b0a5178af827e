package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// inFlightTime is the time within which requests sent before a change reach their server.
const inFlightTime = 250 * time.Millisecond

// startAgents starts three replicas, agents and traffic.
func startAgents(t *testing.T, agents, peers int) (*Cluster, *Traffic, context.Context) {
	t.Helper()
	c, ctx := startReplicas(t, 3)
	tr, err := NewTraffic(6)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	if err := tr.AddAgents(c, agents, peers, client.OnExpiryReject); err != nil {
		t.Fatal(err)
	}
	for _, a := range c.Agents {
		if err := a.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range c.Agents {
		if err := AwaitReady(ctx, a, 15*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	tr.StartClients(ctx, c.Agents, 5*time.Millisecond, 1)
	return c, tr, ctx
}

// requireInForce waits until the leader reports an epoch in force, and records the report.
func (c *Cluster) requireInForce(t *testing.T, ctx context.Context, tr *Traffic, epoch uint64) {
	t.Helper()
	if err := c.awaitInForce(ctx, tr.Attempts, epoch, 20*time.Second); err != nil {
		t.Fatal(err)
	}
}

// No agent may make an attempt that the versions in force forbid. One agent is partitioned during a publish:
// the next epoch has to wait until its lease has expired.
func TestAgentsFollowVersionInForce(t *testing.T) {
	c, tr, ctx := startAgents(t, 4, 0)
	tr.Servers[1].Set(lab.Failing)
	nonIdempotent := &sharedconfig.Config{
		Classes:  map[string]sharedconfig.Class{classSend: {Effect: policy.NonIdempotent}},
		Cordoned: []string{"s-02"},
	}
	dedupInZone := sharedconfig.Class{Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, IdempotencyWindowMs: 500}
	sameZone := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{classSend: dedupInZone}, MaxAttempts: 2}
	configs := []*sharedconfig.Config{{}, nonIdempotent, sameZone, {Cordoned: []string{"s-00"}}, nonIdempotent, {}}
	for i, config := range configs {
		if i == 4 {
			// It receives no update, so its lease has to expire first.
			c.SetLinks("a1", c.Replicas, Stall, Pass)
		}
		sent := time.Now()
		number := c.publish(t, ctx, uint64(i), config)
		tr.Attempts.Published(number, config, sent)
		c.requireInForce(t, ctx, tr, sharedconfig.EpochOf(number))
		time.Sleep(400 * time.Millisecond) // traffic under it
	}
	var history client.HistoryResponse
	if err := c.Call(ctx, c.awaitLeader(t, ctx), client.PathHistory, nil, &history); err != nil {
		t.Fatal(err)
	}
	tr.Attempts.SetHistory(history.Versions)
	verdict := tr.Attempts.Check()
	latencies, notInForce := tr.Attempts.PublishLatencies()
	t.Logf("%d attempts, %d retries, in force after %v, %d never; served %d, rejected %d, failed %d, unanswered %d",
		verdict.Attempts, verdict.Retries, latencies, notInForce,
		tr.Served.Load(), tr.Rejected.Load(), tr.Failed.Load(), tr.Unanswered.Load())
	for _, v := range verdict.Violations {
		t.Error(v.Text, v.Late)
	}
	if verdict.Attempts < 500 || verdict.Retries < 20 || notInForce > 0 || tr.Rejected.Load() == 0 {
		t.Error("too few attempts, retries or rejections to judge, or a version that never came into force")
	}
}

// setCordon cordons or uncordons the server s-02 at an agent's admin endpoint.
func setCordon(t *testing.T, ctx context.Context, agent *Process, action string, wantStatus int) {
	t.Helper()
	url := "http://" + agent.AdminAddr + "/admin/" + action + "?name=s-02"
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, url, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != wantStatus {
		t.Errorf("%s at %s: status %d, want %d", action, agent.Name, resp.StatusCode, wantStatus)
	}
}

// expectTraffic reports an error unless each of the agents sends requests to the server s-02 from now on.
func expectTraffic(t *testing.T, ctx context.Context, tr *Traffic, what string, agents ...*Process) {
	t.Helper()
	time.Sleep(inFlightTime)
	from := tr.Attempts.Len()
	if err := Until(ctx, what, 10*time.Second, func() bool {
		counts := tr.Attempts.CountByAgent("s-02", from)
		for _, agent := range agents {
			if counts[agent.Name] == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Error(err)
	}
}

// expectNoTraffic reports an error if any of the agents sends requests to the server s-02 from now on.
func expectNoTraffic(t *testing.T, tr *Traffic, what string, agents ...*Process) {
	t.Helper()
	time.Sleep(inFlightTime)
	from := tr.Attempts.Len()
	time.Sleep(400 * time.Millisecond)
	counts := tr.Attempts.CountByAgent("s-02", from)
	for _, agent := range agents {
		if counts[agent.Name] > 0 {
			t.Errorf("%s: %v", what, counts)
		}
	}
}

// A cordon that is set at one agent's admin endpoint applies at all agents, and can be removed at another's.
// If no replica can be reached it applies at that agent only, and the response is an error.
func TestCordonHoldsAtAllAgents(t *testing.T) {
	c, tr, ctx := startAgents(t, 3, 0)
	expectTraffic(t, ctx, tr, "before the cordon", c.Agents...)
	setCordon(t, ctx, c.Agents[0], "cordon", http.StatusOK)
	c.requireInForce(t, ctx, tr, sharedconfig.EpochOf(1))
	expectNoTraffic(t, tr, "cordoned at one agent", c.Agents...)
	setCordon(t, ctx, c.Agents[1], "uncordon", http.StatusOK)
	c.requireInForce(t, ctx, tr, sharedconfig.EpochOf(2))
	expectTraffic(t, ctx, tr, "uncordoned at another", c.Agents...)
	for _, replica := range c.Replicas {
		replica.Kill()
	}
	setCordon(t, ctx, c.Agents[0], "cordon", http.StatusInternalServerError)
	expectNoTraffic(t, tr, "cordoned without replicas", c.Agents[0])
	for _, replica := range c.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitLeader(t, ctx)
	setCordon(t, ctx, c.Agents[0], "cordon", http.StatusOK)
	c.requireInForce(t, ctx, tr, sharedconfig.EpochOf(3))
	expectNoTraffic(t, tr, "cordoned after the replicas restarted", c.Agents...)
}

// An agent that reaches no replica renews its lease through a peer. If it reaches no peer either, it applies
// the strictest settings, rejects requests once its server rules have expired, and recovers when it reaches a
// replica.
func TestRenewalIsRelayedByPeer(t *testing.T) {
	c, tr, ctx := startAgents(t, 3, 2)
	metric := func(a *Process, name string) int {
		resp, err := http.Get("http://" + a.AdminAddr + "/admin/stats")
		if err != nil {
			return -1
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		_, rest, _ := strings.Cut(string(text), "app."+name+"=")
		n := -1
		fmt.Sscan(rest, &n)
		return n
	}
	a := c.Agents[0]
	c.SetLinks(a.Name, c.Replicas, Stall, Stall)
	if err := Until(ctx, "the agent holds a lease that a peer relayed", 10*time.Second, func() bool {
		relayed := metric(c.Agents[1], "agreed.asks_relayed") + metric(c.Agents[2], "agreed.asks_relayed")
		return relayed > 2 && metric(a, "agreed.lease_ms") > 0
	}); err != nil {
		t.Fatal(err)
	}
	c.SetLinks(a.Name, c.Agents, Stall, Stall)
	if err := Until(ctx, "the partitioned agent rejects requests", 10*time.Second, func() bool {
		return metric(a, "agreed.strict") == 1 && metric(a, "agreed.shut") == 1
	}); err != nil {
		t.Fatal(err)
	}
	rejected := tr.Rejected.Load()
	if err := Until(ctx, "the agent's clients are rejected", 5*time.Second, func() bool {
		return tr.Rejected.Load() > rejected
	}); err != nil {
		t.Error(err)
	}
	c.SetLinks(a.Name, c.Replicas, Pass, Pass)
	if err := Until(ctx, "the agent has recovered", 10*time.Second, func() bool {
		return metric(a, "agreed.strict") == 0 && metric(a, "agreed.shut") == 0
	}); err != nil {
		t.Error(err)
	}
}
