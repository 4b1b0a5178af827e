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

// hollowEnv makes a process of the lab one that holds hollow agents: the name of the file that says which.
const hollowEnv = "RINGTRACK_LAB_HOLLOW"

// hollowSpec says what a process of hollow agents is. It starts those that it has not started yet.
type hollowSpec struct {
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Keepers   []string        `json:"keepers"`
	Known     membership.List `json:"known"`
	Agents    []hollowAgent   `json:"agents"`
	Defect    string          `json:"defect,omitempty"`

	AskWithinMs float64 `json:"ask_within_ms"`
}

type hollowAgent struct {
	Name  string `json:"name"`
	Index int    `json:"index"` // its turn among of
	Of    int    `json:"of"`
}

// hollowState is what the stand-ins of data paths in a process were told.
type hollowState struct {
	Books    map[uint64]map[string]int `json:"books"`       // how many were given a book of this content, by stage
	Lapses   int                       `json:"lapses"`      // leases that were renewed after their end
	ListsEnd time.Time                 `json:"lists_end"`   // when the last word on servers of any of them ends
	Refusing int                       `json:"refusing"`    // those whose word on servers is over now
	Known    int                       `json:"known_least"` // the fewest backends that one of them counts
}

// hollowChild runs the process as hollow agents, if its environment says so, and does not return then.
func hollowChild() {
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

// hollows are the hollow agents of a process: of the product's own parts the client of discovery (membership/roster),
// the link to the keepers with its lease (agree/link, rulebook), the loop with table, counters and what is agreed on
// (core) and the decision module (policy), each agent with all of these for itself, as agent.Run wires them.
//
// Left out: fronts and upstreams, so requests, their time-outs, retries and memory, probes, the pool of connections to
// backends and its sweep; what requests make the module do, among it the whole list that it asks for again after
// failures, at the most once in AskWithinMs x agents/8; the admin endpoint; the folder shared with another process;
// the relay of peers' asks; the file and its reload; and each agent's own Go runtime, of which a process has one.
type hollows struct {
	ctx  context.Context
	mu   sync.Mutex
	all  map[string]*hollow
	told hollowState
}

// hollow is one of them: the stand-in for its data path, which notes what rules it is given and until when.
type hollow struct {
	h            *hollows
	loop         *core.EventLoop
	until, lists time.Time // under h.mu
}

// Adopt implements link.Target as the agent does, and notes the book's content.
func (a *hollow) Adopt(ctx context.Context, stage uint64, book *sharedconfig.Config, until, lists time.Time) error {
	if err := a.do(ctx, func() { a.loop.AdoptConfig(stage, book, until, lists) }); err != nil {
		return err
	}
	digest := ""
	if book != nil {
		digest = book.Digest()
	}
	a.note(until, lists)
	a.h.mu.Lock()
	defer a.h.mu.Unlock()
	if a.h.told.Books[stage] == nil {
		a.h.told.Books[stage] = map[string]int{}
	}
	a.h.told.Books[stage][digest]++
	return nil
}

// Renew implements link.Target.
func (a *hollow) Renew(ctx context.Context, until, lists time.Time) {
	a.do(ctx, func() { a.loop.RenewLease(until, lists) })
	a.note(until, lists)
}

func (a *hollow) note(until, lists time.Time) {
	a.h.mu.Lock()
	defer a.h.mu.Unlock()
	if !a.until.IsZero() && time.Now().After(a.until) {
		a.h.told.Lapses++
	}
	a.until, a.lists = until, lists
}

func (a *hollow) do(ctx context.Context, f func()) error {
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
	debug.SetGCPercent(100) // as agent.Main
	h := &hollows{ctx: context.Background(), all: map[string]*hollow{}, told: hollowState{Books: map[uint64]map[string]int{}}}
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
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(h.state()) })
	return http.Serve(ln, mux)
}

// start starts all agents of the file that do not run yet, at once.
func (h *hollows) start(path string) (*hollowSpec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	spec := &hollowSpec{}
	if err := json.Unmarshal(text, spec); err != nil {
		return nil, err
	}
	for i := range spec.Agents {
		if err := h.one(spec, &spec.Agents[i]); err != nil {
			return nil, err
		}
	}
	return spec, nil
}

func (h *hollows) one(spec *hollowSpec, of *hollowAgent) error {
	h.mu.Lock()
	there := h.all[of.Name] != nil
	h.mu.Unlock()
	if there {
		return nil
	}
	settings, err := wire.ParseSettings(agentSettings(of.Index, of.Of, spec.AskWithinMs))
	if err != nil {
		return err
	}
	cfg := core.Config{Discovery: spec.Discovery, CachedEndpoints: spec.Known, Settings: settings, Seed: uint64(of.Index), Zones: zoneNames, MachineTypes: kindNames,
		SharedConfig: &core.SharedConfig{RejectOnExpiry: true}}
	a := &hollow{h: h}
	if a.loop, err = core.New(h.ctx, cfg, semaphore.NewWeighted(1<<20), nil, func() {}); err != nil {
		return err
	}
	h.mu.Lock()
	h.all[of.Name] = a
	h.mu.Unlock()
	keepers := &client.Config{Replicas: spec.Keepers, CallMs: 400, WaitMs: 500, OnExpiry: client.OnExpiryReject} // as deploy/agreed.toml
	if spec.Defect == noWait {
		keepers.WaitMs = 0
	}
	l := client.New(keepers, of.Name, a)
	go a.loop.Run()
	go l.Run(h.ctx)
	return nil
}

func (h *hollows) state() *hollowState {
	least := -1
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.told
	out.Books = map[uint64]map[string]int{}
	for stage, digests := range h.told.Books {
		out.Books[stage] = map[string]int{}
		for d, n := range digests {
			out.Books[stage][d] = n
		}
	}
	now := time.Now()
	for _, a := range h.all {
		if n := a.loop.Rotation().Listed; least < 0 || n < least {
			least = n
		}
		if a.lists.After(out.ListsEnd) {
			out.ListsEnd = a.lists
		}
		if !now.Before(a.lists) {
			out.Refusing++
		}
	}
	out.Known = least
	return &out
}
