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

// fleet starts three keepers, agents and traffic.
func fleet(t *testing.T, agents, peers int) (*Cluster, *Traffic, context.Context) {
	t.Helper()
	c, ctx := keepers(t, 3)
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
		if err := Ready(ctx, a, 15*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	tr.StartClients(ctx, c.Agents, 5*time.Millisecond, 1)
	return c, tr, ctx
}

// forced waits until a stage is said to be in force, and notes it.
func (c *Cluster) forced(t *testing.T, ctx context.Context, tr *Traffic, stage uint64) {
	t.Helper()
	if err := Until(ctx, "the stage is in force", 20*time.Second, func() bool {
		at := time.Now()
		_, s := c.Leader(ctx)
		if s == nil || s.Epoch < stage || len(s.BlockedBy) > 0 {
			return false
		}
		tr.Attempts.InForce(s.Epoch, at)
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// What is published holds at all agents from the moment on at which it is said to be in force, whoever holds a lease is
// cut off meanwhile, and not a moment longer at those that are.
func TestAgentsActByWhatIsInForce(t *testing.T) {
	c, tr, ctx := fleet(t, 4, 0)
	tr.Servers[1].Set(lab.Failing)
	single := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{"send": {Effect: policy.NonIdempotent}}, Cordoned: []string{"s-02"}}
	zone := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{"send": {Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, IdempotencyWindowMs: 500}}, MaxAttempts: 2}
	for i, b := range []*sharedconfig.Config{{}, single, zone, {Cordoned: []string{"s-00"}}, single, {}} {
		if i == 4 {
			c.SetLinks("a1", c.Replicas, Stall, Pass) // it does not hear of it, and its lease has to end first
		}
		sent := time.Now()
		n := c.publish(t, ctx, uint64(i), b)
		tr.Attempts.Published(n, b, sent)
		c.forced(t, ctx, tr, sharedconfig.EpochOf(n))
		time.Sleep(400 * time.Millisecond) // traffic under it
	}
	var h client.HistoryResponse
	if err := c.Call(ctx, c.leads(t, ctx), client.PathHistory, nil, &h); err != nil {
		t.Fatal(err)
	}
	tr.Attempts.SetHistory(h.Versions)
	j := tr.Attempts.Check()
	took, not := tr.Attempts.PublishLatencies()
	t.Logf("%d acts, %d repeats, in force after %v, %d not; served %d, refused %d, failed %d, unanswered %d", j.Attempts, j.Retries, took, not,
		tr.Served.Load(), tr.Rejected.Load(), tr.Failed.Load(), tr.Unanswered.Load())
	for _, b := range j.Violations {
		t.Error(b.Text, b.Late)
	}
	if j.Attempts < 500 || j.Retries < 20 || not > 0 || tr.Rejected.Load() == 0 {
		t.Error("too little happened")
	}
}

// A ban at one agent's door is in force at all, also where its end is told at another's; without keepers it holds where it
// was told, and that is said.
func TestOneWordForBans(t *testing.T) {
	c, tr, ctx := fleet(t, 3, 0)
	door := func(a *Process, word string, want int) {
		t.Helper()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a.AdminAddr+"/admin/"+word+"?name=s-02", nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s at %s: %d, not %d", word, a.Name, resp.StatusCode, want)
		}
	}
	// goes tells whether every agent sends to the server now, or none does.
	goes := func(what string, on bool, of ...*Process) {
		t.Helper()
		time.Sleep(250 * time.Millisecond) // what was on its way
		from := tr.Attempts.Len()
		if err := Until(ctx, what, 10*time.Second, func() bool {
			if !on {
				time.Sleep(400 * time.Millisecond)
				return true
			}
			by := tr.Attempts.CountByAgent("s-02", from)
			for _, a := range of {
				if by[a.Name] == 0 {
					return false
				}
			}
			return true
		}); err != nil {
			t.Error(err)
		}
		if by := tr.Attempts.CountByAgent("s-02", from); !on {
			for _, a := range of {
				if by[a.Name] > 0 {
					t.Errorf("%s: %v", what, by)
				}
			}
		}
	}
	goes("at first", true, c.Agents...)
	door(c.Agents[0], "cordon", http.StatusOK)
	c.forced(t, ctx, tr, sharedconfig.EpochOf(1))
	goes("banned at one door", false, c.Agents...)
	door(c.Agents[1], "uncordon", http.StatusOK)
	c.forced(t, ctx, tr, sharedconfig.EpochOf(2))
	goes("the ban ended at another", true, c.Agents...)
	for _, k := range c.Replicas {
		k.Kill()
	}
	door(c.Agents[0], "cordon", http.StatusInternalServerError)
	goes("banned without keepers", false, c.Agents[0])
	for _, k := range c.Replicas {
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.leads(t, ctx)
	door(c.Agents[0], "cordon", http.StatusOK)
	c.forced(t, ctx, tr, sharedconfig.EpochOf(3))
	goes("banned once they are back", false, c.Agents...)
}

// An agent that reaches no keeper keeps its lease through a peer that does; alone it goes by the strictest form, refuses
// once its word on servers is over, and is itself again when it hears.
func TestAnAskGoesThroughAPeer(t *testing.T) {
	c, tr, ctx := fleet(t, 3, 2)
	figure := func(a *Process, name string) int {
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
	if err := Until(ctx, "it holds a lease by a peer", 10*time.Second, func() bool {
		return figure(c.Agents[1], "agreed.asks_relayed")+figure(c.Agents[2], "agreed.asks_relayed") > 2 && figure(a, "agreed.lease_ms") > 0
	}); err != nil {
		t.Fatal(err)
	}
	c.SetLinks(a.Name, c.Agents, Stall, Stall)
	if err := Until(ctx, "it refuses, cut off from all", 10*time.Second, func() bool {
		return figure(a, "agreed.strict") == 1 && figure(a, "agreed.shut") == 1
	}); err != nil {
		t.Fatal(err)
	}
	refused := tr.Rejected.Load()
	if err := Until(ctx, "its clients are told", 5*time.Second, func() bool { return tr.Rejected.Load() > refused }); err != nil {
		t.Error(err)
	}
	c.SetLinks(a.Name, c.Replicas, Pass, Pass)
	if err := Until(ctx, "it is itself again", 10*time.Second, func() bool { return figure(a, "agreed.strict") == 0 && figure(a, "agreed.shut") == 0 }); err != nil {
		t.Error(err)
	}
}
