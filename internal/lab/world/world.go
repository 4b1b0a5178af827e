// Package world is a whole small world in one process: the product's core with a front and an upstream of
// one protocol, stand-in servers that speak it, a roster, clients and the ledger of the four rules. The
// rule tests and the proofs of the agent's side stand on it, so that each runs in every protocol.
package world

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	httpfront "ringtrack.example/ringtrack/internal/downstream/http"
	thriftfront "ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	httpup "ringtrack.example/ringtrack/internal/upstream/http"
	thriftup "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/policy"
)

const (
	// patience bounds what a client waits for.
	patience = 20 * time.Second
	// memory is that for bodies, room the connections of clients.
	memory, room = 16 << 20, 512
)

// Settings are those of a world that says nothing else: one class of each effect, 2 s to answer.
func Settings() policy.Settings {
	return policy.Settings{Classes: []policy.Class{
		{Name: "read", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.Idempotent, PriorityWeight: 1},
		{Name: "send", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 8000, PriorityWeight: 2},
		{Name: "order", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.NonIdempotent, PriorityWeight: 5}},
		Limits:        policy.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 600, MaxOpenRequests: 1000},
		Contract:      policy.Contract{PollIntervalMs: 800, SlowStartMinCapacity: 0.3, SlowStartMs: 8000, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadWindowMs: 1000},
		DiscoveryMode: "on_request", Replicas: 1, BatchIntervalMs: 5}
}

// effects are what methods do; over HTTP they are classes. "stamp" is an order whose exceptions prove
// nothing, "tell" one that nobody answers, "nobody" is not listed.
var effects = map[string]lab.Effect{"read": lab.Idempotent, "send": lab.IdempotentByKey, "order": lab.NonIdempotent, "stamp": lab.NonIdempotent,
	"tell": lab.NonIdempotent, "nobody": lab.NonIdempotent}

// Server is a stand-in order server of the world's protocol.
type Server struct {
	Standin
	Entry membership.Entry
}

// Standin is what servers of all protocols do.
type Standin interface {
	Set(lab.Mode)
	SetWork(time.Duration)
	SetTail(every int64, more time.Duration)
	RequestCount() int64
	ResetConnections()
	Close()
}

// NewServer starts a stand-in server.
func (p Protocol) NewServer(id string, ledger *lab.Ledger) (*Server, error) {
	if p.Thrift() {
		s, err := thriftlab.NewServer(id, *p.Encoding, ledger)
		if err != nil {
			return nil, err
		}
		return &Server{s, s.Entry}, nil
	}
	s, err := lab.NewBackend(id, "east", 0, ledger)
	if err != nil {
		return nil, err
	}
	return &Server{s, s.Entry}, nil
}

// Options say what is in a world. The zero value has three servers.
type Options struct {
	Servers        int
	Entries        []membership.Entry // in place of servers of the world's own
	Settings       *policy.Settings   // nil: Settings()
	Zones          []string           // nil: "east"
	Seed           uint64
	RejectUnlisted bool // Thrift: methods that are not listed
	// Registry is the file of a registry of what runs, as the agent is given it; "": there is none.
	Registry string
}

// World is one.
type World struct {
	Protocol  Protocol
	Addr      string // of the front
	Loop      *core.EventLoop
	Ledger    *lab.Ledger
	Discovery *lab.DiscoveryService
	Servers   []*Server
	Pool      *conns.Pool

	budget *semaphore.Weighted
	down   func() error
	once   sync.Once
	ended  error
	lastOp atomic.Int64
}

// New starts a world.
func New(p Protocol, o Options) (w *World, err error) {
	w = &World{Protocol: p, Ledger: lab.NewLedger(lab.DefaultRules()), budget: semaphore.NewWeighted(memory), down: func() error { return nil },
		Pool: conns.New(time.Second, time.Minute, 256)}
	defer func() {
		if err != nil {
			w.Close()
		}
	}()
	entries := o.Entries
	if entries == nil {
		for i := range max(o.Servers, 3) {
			s, err := p.NewServer(fmt.Sprint("s-", i), w.Ledger)
			if err != nil {
				return w, err
			}
			w.Servers, entries = append(w.Servers, s), append(entries, s.Entry)
		}
	}
	if w.Discovery, err = lab.NewDiscoveryService(entries...); err != nil {
		return w, err
	}
	settings, zones := Settings(), o.Zones
	if o.Settings != nil {
		settings = *o.Settings
	}
	if zones == nil {
		zones = []string{"east"}
	}
	cfg := core.Config{Discovery: w.Discovery.Addr, CachedEndpoints: w.Discovery.List(), Settings: settings, Seed: o.Seed, Zones: zones}
	if o.Registry != "" {
		c, err := ephemeral.Load(o.Registry)
		if err != nil {
			return w, err
		}
		cfg.Merge, cfg.WatchNodes = c.Merge(), ephemeral.NewSource(c).Feed(nil)
	}
	return w, w.start(cfg, o.RejectUnlisted)
}

// start starts core and front.
func (w *World) start(cfg core.Config, refuse bool) error {
	const linger = 10 * time.Millisecond
	limits := thriftwire.Limits{Size: 1 << 20, Depth: 32}
	var upstream core.Upstream = &httpup.Upstream{Pool: w.Pool, Budget: w.budget}
	if w.Protocol.Thrift() {
		upstream = &thriftup.Upstream{Pool: w.Pool, Budget: w.budget, Limits: limits}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.Addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var serve func() error
	var shutdown func() error
	ready := func() {}
	if w.Protocol.Thrift() {
		table, err := thriftTable(&cfg.Settings, refuse)
		if err != nil {
			cancel()
			ln.Close()
			return err
		}
		f := &thriftfront.Server{Upstream: upstream, Budget: w.budget, Table: table, Limits: limits, MaxConns: room,
			RetryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs, Linger: linger}
		serve = func() error { f.EventLoop = w.Loop; return f.Serve(ln) }
		shutdown = func() error { f.Shutdown(ln, 3*time.Second); return nil }
	} else {
		f := httpfront.New(&cfg.Settings, w.budget, upstream, room, room)
		f.Linger, ready = linger, f.Ready
		serve = func() error { f.EventLoop = w.Loop; return f.Serve(ln) }
		shutdown = func() error { return f.Shutdown(3 * time.Second) }
	}
	if w.Loop, err = core.New(ctx, cfg, w.budget, []core.Upstream{upstream}, ready); err != nil {
		cancel()
		ln.Close()
		return err
	}
	served, ended := make(chan error, 1), make(chan struct{})
	go func() { defer close(ended); w.Loop.Run() }()
	go func() { served <- serve() }()
	w.down = func() error {
		err := errors.Join(shutdown(), <-served)
		cancel()
		<-ended
		return err
	}
	return nil
}

func thriftTable(settings *policy.Settings, refuse bool) (*thriftfront.Table, error) {
	c := &thriftfront.Config{Listen: "127.0.0.1:1", FrameLimit: 1 << 20, DepthLimit: 32, Unlisted: "unsafe", Class: "order"}
	if refuse {
		c.Unlisted = "refuse"
	}
	for _, name := range []string{"read", "send", "order"} {
		m := thriftfront.MethodConfig{Name: name, Class: name, Key: "1.3", Deadline: "1.4"}
		m.NeverRan.Exceptions = []int16{2}
		c.Method = append(c.Method, m)
	}
	c.Method = append(c.Method, thriftfront.MethodConfig{Name: "stamp", Class: "order"}, thriftfront.MethodConfig{Name: "tell", Class: "order", OneWay: true})
	return c.Table(settings.Classes)
}

// Stop ends the front, which lets open calls end, and the core.
func (w *World) Stop() error {
	w.once.Do(func() { w.ended = w.down() })
	return w.ended
}

// Close ends all of it.
func (w *World) Close() error {
	err := w.Stop()
	if w.Discovery != nil {
		w.Discovery.Close()
	}
	for _, s := range w.Servers {
		s.Close()
	}
	return err
}

// Leaked tells whether memory for bodies was not given back. It is for the end.
func (w *World) Leaked() bool { return !w.budget.TryAcquire(memory) }

// Set changes the mode of all servers.
func (w *World) Set(m lab.Mode) {
	for _, s := range w.Servers {
		s.Set(m)
	}
}

// RequestCount is the number of requests that began at any server.
func (w *World) RequestCount() (n int64) {
	for _, s := range w.Servers {
		n += s.RequestCount()
	}
	return n
}

// Stats are the core's.
func (w *World) Stats() core.Stats {
	got := make(chan core.Stats, 1)
	w.Loop.Post(func() { got <- w.Loop.Stats() })
	return <-got
}

// Unserved says which rules have ended how many requests.
func (w *World) Unserved() string {
	var rules []string
	for reason := policy.ReasonNone + 1; reason < policy.NumRejectReasons; reason++ {
		if n := w.Loop.Counters().Unserved[reason].Load(); n > 0 {
			rules = append(rules, fmt.Sprintf("%v %d", reason, n))
		}
	}
	return strings.Join(rules, ", ")
}

// AwaitWatch waits until the roster has been asked for changes.
func (w *World) AwaitWatch(ctx context.Context) error {
	select {
	case <-w.Discovery.WatchIndexes:
		return nil
	case <-time.After(patience):
		return errors.New("world: the roster is not followed")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dial connects a client to the front.
func (w *World) Dial() (*Client, error) { return w.Protocol.Dial(w.Addr, patience) }

// Request is a new operation.
func (w *World) Request(method string, within time.Duration) *Request {
	n := w.lastOp.Add(1)
	return &Request{Op: fmt.Sprint(method, "-", n), Method: method, Effect: effects[method], Key: "key", Timeout: within, Seq: int32(n)}
}

// Send sends a request and notes it in the ledger.
func (w *World) Send(c *Client, r *Request) error {
	w.Ledger.AttemptStarted(r.Op, r.Effect, r.Op, time.Now().Add(r.Timeout))
	_, err := c.Write(w.Protocol.Encode(r))
	return err
}

// Receive reads the answer to a request and notes it in the ledger.
func (w *World) Receive(c *Client, r *Request) (Answer, error) {
	a, err := c.Read()
	switch {
	case err != nil:
		w.Ledger.Unanswered(r.Op)
		return a, fmt.Errorf("%s: no answer: %w", r.Op, err)
	case w.Protocol.Thrift() && a.Seq != r.Seq:
		err = fmt.Errorf("%s: sequence id %d, sent %d", r.Op, a.Seq, r.Seq)
	case a.Outcome == lab.Served && a.ExceptionID == 0 && (len(a.Receipt) <= len(r.Op) || a.Receipt[len(a.Receipt)-len(r.Op)-1:] != " "+r.Op):
		err = fmt.Errorf("%s: answered with %q", r.Op, a.Receipt)
	}
	w.Ledger.Answered(r.Op, a.Outcome, time.Now())
	return a, err
}

// Call makes one call on a connection of its own.
func (w *World) Call(method string, within time.Duration) (Answer, error) {
	c, err := w.Dial()
	if err != nil {
		return Answer{}, err
	}
	defer c.Close()
	return w.CallOn(c, w.Request(method, within))
}

// CallOn makes one call on a connection.
func (w *World) CallOn(c *Client, r *Request) (Answer, error) {
	if err := w.Send(c, r); err != nil {
		w.Ledger.Unanswered(r.Op)
		return Answer{}, err
	}
	return w.Receive(c, r)
}
