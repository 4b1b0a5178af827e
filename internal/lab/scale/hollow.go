package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/wire"
)

// hollowEnv names the specification file of a process of hollow agents; a process that has it set runs as
// one.
const hollowEnv = "RINGTRACK_LAB_HOLLOW"

// hollowSpec specifies a process of hollow agents. POST /start starts agents added to the file since.
type hollowSpec struct {
	Listen          string            `json:"listen"`
	Discovery       string            `json:"discovery"`
	Replicas        []string          `json:"keepers"`
	CachedEndpoints membership.List   `json:"known"`
	Agents          []hollowAgentSpec `json:"agents"`
	Defect          string            `json:"defect,omitempty"`

	PollIntervalMs float64 `json:"ask_within_ms"`
}

type hollowAgentSpec struct {
	Name      string `json:"name"`
	PollSlot  int    `json:"index"` // its discovery poll slot, of PollSlots
	PollSlots int    `json:"of"`
}

// hollowState summarizes what the hollow agents of a process received.
type hollowState struct {
	Configs        map[uint64]map[string]int `json:"books"`       // number of agents that received a configuration, by epoch and digest
	Expiries       int                       `json:"lapses"`      // leases that were renewed after they had expired
	ServerRulesEnd time.Time                 `json:"lists_end"`   // latest end of the agents' server rules
	Rejecting      int                       `json:"refusing"`    // agents whose server rules have expired
	MinListed      int                       `json:"known_least"` // smallest number of backends that an agent has listed
}

// runHollowChild runs the process as hollow agents and does not return, if the environment says so.
func runHollowChild() {
	path := os.Getenv(hollowEnv)
	if path == "" {
		return
	}
	if err := runHollow(path); err != nil {
		fmt.Fprintln(os.Stderr, "hollow agents:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// hollowAgents are the hollow agents of one process. Each agent has its own instance of these parts of the
// product, connected as agent.Run connects them: the discovery client (membership/discovery), the client of
// the configuration store with its lease (configstore/client, sharedconfig), the event loop with the endpoint
// table, counters and shared configuration (core), and the decision module (policy).
//
// Hollow agents lack the downstream and upstream sides, hence requests with their timeouts, retries and
// memory, health checks, and the connection pool of backends with its sweep; what requests make the decision
// module do, such as fetching the complete endpoint list after failures (at most once per PollIntervalMs x
// agents/8); the admin endpoint; the directory shared with another process; the relay of peers' renewals; the
// configuration file and its reload; and a Go runtime per agent, as a process has just one.
type hollowAgents struct {
	ctx    context.Context
	mu     sync.Mutex
	byName map[string]*hollowAgent
	state  hollowState
}

// hollowAgent is one hollow agent. In place of a data path it records which configurations it receives and
// until when they are valid.
type hollowAgent struct {
	process                  *hollowAgents
	loop                     *core.EventLoop
	leaseEnd, serverRulesEnd time.Time // guarded by process.mu
}

// Adopt implements client.Applier as the agent does, and records the digest of the configuration.
func (a *hollowAgent) Adopt(ctx context.Context, epoch uint64, config *sharedconfig.Config, leaseEnd, serverRulesEnd time.Time) error {
	if err := a.runInLoop(ctx, func() { a.loop.AdoptConfig(epoch, config, leaseEnd, serverRulesEnd) }); err != nil {
		return err
	}
	digest := ""
	if config != nil {
		digest = config.Digest()
	}
	a.recordLease(leaseEnd, serverRulesEnd)
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	if a.process.state.Configs[epoch] == nil {
		a.process.state.Configs[epoch] = map[string]int{}
	}
	a.process.state.Configs[epoch][digest]++
	return nil
}

// Renew implements client.Applier.
func (a *hollowAgent) Renew(ctx context.Context, leaseEnd, serverRulesEnd time.Time) {
	a.runInLoop(ctx, func() { a.loop.RenewLease(leaseEnd, serverRulesEnd) })
	a.recordLease(leaseEnd, serverRulesEnd)
}

func (a *hollowAgent) recordLease(leaseEnd, serverRulesEnd time.Time) {
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	if !a.leaseEnd.IsZero() && time.Now().After(a.leaseEnd) {
		a.process.state.Expiries++
	}
	a.leaseEnd, a.serverRulesEnd = leaseEnd, serverRulesEnd
}

func (a *hollowAgent) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	a.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func runHollow(path string) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	debug.SetGCPercent(100) // as in agent.Main
	h := &hollowAgents{ctx: context.Background(), byName: map[string]*hollowAgent{}, state: hollowState{Configs: map[uint64]map[string]int{}}}
	spec, err := h.start(path)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", spec.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /start", func(w http.ResponseWriter, _ *http.Request) {
		if _, err := h.start(path); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("POST /collect", func(http.ResponseWriter, *http.Request) { debug.FreeOSMemory() })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(h.snapshot()) })
	return http.Serve(ln, mux)
}

// start starts all agents of the file that are not running yet, without pauses.
func (h *hollowAgents) start(path string) (*hollowSpec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	spec := &hollowSpec{}
	if err := json.Unmarshal(text, spec); err != nil {
		return nil, err
	}
	for i := range spec.Agents {
		if err := h.startAgent(spec, &spec.Agents[i]); err != nil {
			return nil, err
		}
	}
	return spec, nil
}

func (h *hollowAgents) startAgent(spec *hollowSpec, agent *hollowAgentSpec) error {
	h.mu.Lock()
	exists := h.byName[agent.Name] != nil
	h.mu.Unlock()
	if exists {
		return nil
	}
	settings, err := wire.ParseSettings(agentSettings(agent.PollSlot, agent.PollSlots, spec.PollIntervalMs))
	if err != nil {
		return err
	}
	cfg := core.Config{Discovery: spec.Discovery, CachedEndpoints: spec.CachedEndpoints, Settings: settings, Seed: uint64(agent.PollSlot), Zones: zoneNames, MachineTypes: kindNames,
		SharedConfig: &core.SharedConfig{RejectOnExpiry: true}}
	a := &hollowAgent{process: h}
	if a.loop, err = core.New(h.ctx, cfg, semaphore.NewWeighted(1<<20), nil, func() {}); err != nil {
		return err
	}
	h.mu.Lock()
	h.byName[agent.Name] = a
	h.mu.Unlock()
	clientConfig := &client.Config{Replicas: spec.Replicas, CallMs: 400, WaitMs: 500, OnExpiry: client.OnExpiryReject} // as in deploy/agreed.toml
	if spec.Defect == defectNoWait {
		clientConfig.WaitMs = 0
	}
	storeClient := client.New(clientConfig, agent.Name, a)
	go a.loop.Run()
	go storeClient.Run(h.ctx)
	return nil
}

func (h *hollowAgents) snapshot() *hollowState {
	minListed := -1
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.state
	out.Configs = map[uint64]map[string]int{}
	for epoch, digests := range h.state.Configs {
		out.Configs[epoch] = map[string]int{}
		for d, n := range digests {
			out.Configs[epoch][d] = n
		}
	}
	now := time.Now()
	for _, a := range h.byName {
		if n := a.loop.Rotation().Listed; minListed < 0 || n < minListed {
			minListed = n
		}
		if a.serverRulesEnd.After(out.ServerRulesEnd) {
			out.ServerRulesEnd = a.serverRulesEnd
		}
		if !now.Before(a.serverRulesEnd) {
			out.Rejecting++
		}
	}
	out.MinListed = minListed
	return &out
}
