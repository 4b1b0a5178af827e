// Package world has a complete small installation in one process: the product's core with the downstream and
// the upstream of one protocol, stand-in servers of this protocol, a discovery service, clients and the
// ledger that checks the four invariants. The rule tests and the acceptance tests of the agent use it, so
// that each can run in every protocol.
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
	downhttp "ringtrack.example/ringtrack/internal/downstream/http"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	downthrift "ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	uphttp "ringtrack.example/ringtrack/internal/upstream/http"
	upthrift "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/policy"
)

const (
	// clientTimeout bounds every wait of a client.
	clientTimeout = 20 * time.Second
	// bodyMemory is the budget for bodies in bytes, maxClients the maximum number of client connections.
	bodyMemory, maxClients = 16 << 20, 512
)

// Settings returns the default settings of a world: one class per effect, with a client timeout of 2 s.
func Settings() policy.Settings {
	return policy.Settings{Classes: []policy.Class{
		{Name: "read", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.Idempotent, PriorityWeight: 1},
		{Name: "send", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 8000, PriorityWeight: 2},
		{Name: "order", LatencyObjectiveMs: 1000, ClientTimeoutMs: 2000, Effect: policy.NonIdempotent, PriorityWeight: 5}},
		Limits:        policy.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 600, MaxOpenRequests: 1000},
		Contract:      policy.Contract{PollIntervalMs: 800, SlowStartMinCapacity: 0.3, SlowStartMs: 8000, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadWindowMs: 1000},
		DiscoveryMode: "on_request", Replicas: 1, BatchIntervalMs: 5}
}

// effects has the effects of the methods, which are classes over HTTP. "stamp" declares no exception that
// shows that a call never ran, "tell" is one-way, "nobody" is not in the method table.
var effects = map[string]lab.Effect{"read": lab.Idempotent, "send": lab.IdempotentByKey, "order": lab.NonIdempotent, "stamp": lab.NonIdempotent,
	"tell": lab.NonIdempotent, "nobody": lab.NonIdempotent}

// Server is a stand-in for a backend that speaks the world's protocol.
type Server struct {
	Standin
	Entry membership.Entry
}

// Standin is the interface of the stand-in servers of all protocols.
type Standin interface {
	Set(lab.Mode)
	SetWork(time.Duration)
	SetTail(every int64, extra time.Duration)
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

// Options configure a world. The zero value has three servers.
type Options struct {
	Servers        int
	Entries        []membership.Entry // listed instead of servers that the world starts
	Settings       *policy.Settings   // nil: Settings()
	Zones          []string           // nil: "east"
	Seed           uint64
	RejectUnlisted bool // Thrift: rejects methods that are not in the table
	// Registry is the file that configures a registry of ephemeral nodes for the agent; "": no registry.
	Registry string
}

// World is a running installation.
type World struct {
	Protocol  Protocol
	Addr      string // of the downstream listener
	Loop      *core.EventLoop
	Ledger    *lab.Ledger
	Discovery *lab.DiscoveryService
	Servers   []*Server
	Pool      *conns.Pool

	budget   *semaphore.Weighted
	shutdown func() error
	once     sync.Once
	stopErr  error
	lastOp   atomic.Int64
}

// New starts a world.
func New(p Protocol, o Options) (w *World, err error) {
	w = &World{Protocol: p, Ledger: lab.NewLedger(lab.DefaultRules()), budget: semaphore.NewWeighted(bodyMemory), shutdown: func() error { return nil },
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

// shutdownPlan is that of the downstream server.
var shutdownPlan = shutdown.Plan{
	Serve:   10 * time.Millisecond,
	Listen:  10 * time.Millisecond,
	Read:    410 * time.Millisecond,
	Partial: 400 * time.Millisecond,
	Answer:  3 * time.Second,
	Abort:   3 * time.Second,
}

// start starts the core and the downstream server.
func (w *World) start(cfg core.Config, rejectUnlisted bool) error {
	limits := thriftwire.Limits{Size: 1 << 20, Depth: 32}
	var upstream core.Upstream = &uphttp.Upstream{Pool: w.Pool, Budget: w.budget}
	if w.Protocol.Thrift() {
		upstream = &upthrift.Upstream{Pool: w.Pool, Budget: w.budget, Limits: limits}
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
		table, err := thriftTable(&cfg.Settings, rejectUnlisted)
		if err != nil {
			cancel()
			ln.Close()
			return err
		}
		f := &downthrift.Server{Upstream: upstream, Budget: w.budget, Table: table, Limits: limits, MaxConns: maxClients,
			RetryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs}
		serve = func() error { f.EventLoop = w.Loop; return f.Serve(ln) }
		shutdown = func() error { f.Shutdown(ln, shutdownPlan.Schedule(time.Now(), time.Now())); return nil }
	} else {
		f := downhttp.New(&cfg.Settings, w.budget, upstream, maxClients, maxClients)
		ready = f.Ready
		serve = func() error { f.EventLoop = w.Loop; return f.Serve(ln) }
		shutdown = func() error { return f.Shutdown(shutdownPlan.Schedule(time.Now(), time.Now())) }
	}
	if w.Loop, err = core.New(ctx, cfg, w.budget, []core.Upstream{upstream}, ready); err != nil {
		cancel()
		ln.Close()
		return err
	}
	serveErr, loopEnded := make(chan error, 1), make(chan struct{})
	go func() { defer close(loopEnded); w.Loop.Run() }()
	go func() { serveErr <- serve() }()
	w.shutdown = func() error {
		err := errors.Join(shutdown(), <-serveErr)
		cancel()
		<-loopEnded
		return err
	}
	return nil
}

// thriftTable returns the method table of the downstream Thrift server.
func thriftTable(settings *policy.Settings, rejectUnlisted bool) (*downthrift.Table, error) {
	c := &downthrift.Config{Listen: "127.0.0.1:1", FrameLimit: 1 << 20, DepthLimit: 32, Unlisted: "unsafe", Class: "order"}
	if rejectUnlisted {
		c.Unlisted = "refuse"
	}
	for _, name := range []string{"read", "send", "order"} {
		m := downthrift.MethodConfig{Name: name, Class: name, Key: "1.3", Deadline: "1.4"}
		m.NeverRan.Exceptions = []int16{2}
		c.Method = append(c.Method, m)
	}
	c.Method = append(c.Method, downthrift.MethodConfig{Name: "stamp", Class: "order"}, downthrift.MethodConfig{Name: "tell", Class: "order", OneWay: true})
	return c.Table(settings.Classes)
}

// Stop shuts down the downstream server, which completes the calls in flight, and the core.
func (w *World) Stop() error {
	w.once.Do(func() { w.stopErr = w.shutdown() })
	return w.stopErr
}

// Close stops the world and its stand-ins.
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

// Leaked reports whether memory of the budget for bodies was not released. It is called at the end of a test,
// as it takes the budget.
func (w *World) Leaked() bool { return !w.budget.TryAcquire(bodyMemory) }

// TakeBodyMemory takes the whole budget for bodies, so that nothing that needs it can be read.
func (w *World) TakeBodyMemory() { w.budget.TryAcquire(bodyMemory) }

// Set changes the mode of all servers.
func (w *World) Set(m lab.Mode) {
	for _, s := range w.Servers {
		s.Set(m)
	}
}

// RequestCount returns the number of requests that all servers received.
func (w *World) RequestCount() (n int64) {
	for _, s := range w.Servers {
		n += s.RequestCount()
	}
	return n
}

// Stats returns the statistics of the core.
func (w *World) Stats() core.Stats {
	got := make(chan core.Stats, 1)
	w.Loop.Post(func() { got <- w.Loop.Stats() })
	return <-got
}

// Unserved returns the number of requests that were not served, by reason.
func (w *World) Unserved() string {
	var counts []string
	for reason := policy.ReasonNone + 1; reason < policy.NumRejectReasons; reason++ {
		if n := w.Loop.Counters().Unserved[reason].Load(); n > 0 {
			counts = append(counts, fmt.Sprintf("%v %d", reason, n))
		}
	}
	return strings.Join(counts, ", ")
}

// AwaitWatch waits until the agent has sent a watch request to the discovery service.
func (w *World) AwaitWatch(ctx context.Context) error {
	select {
	case <-w.Discovery.WatchIndexes:
		return nil
	case <-time.After(clientTimeout):
		return errors.New("world: the agent does not watch the endpoint list")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dial connects a client to the downstream listener.
func (w *World) Dial() (*Client, error) { return w.Protocol.Dial(w.Addr, clientTimeout) }

// Request returns a request of a new operation.
func (w *World) Request(method string, timeout time.Duration) *Request {
	n := w.lastOp.Add(1)
	return &Request{Op: fmt.Sprint(method, "-", n), Method: method, Effect: effects[method], Key: "key", Timeout: timeout, Seq: int32(n)}
}

// Send sends a request and records it in the ledger.
func (w *World) Send(c *Client, r *Request) error {
	w.Ledger.AttemptStarted(r.Op, r.Effect, r.Op, time.Now().Add(r.Timeout))
	_, err := c.Write(w.Protocol.Encode(r))
	return err
}

// Receive reads the answer to a request and records it in the ledger.
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

// Call makes one call on a new connection.
func (w *World) Call(method string, timeout time.Duration) (Answer, error) {
	c, err := w.Dial()
	if err != nil {
		return Answer{}, err
	}
	defer c.Close()
	return w.CallOn(c, w.Request(method, timeout))
}

// CallOn makes one call on a connection.
func (w *World) CallOn(c *Client, r *Request) (Answer, error) {
	if err := w.Send(c, r); err != nil {
		w.Ledger.Unanswered(r.Op)
		return Answer{}, err
	}
	return w.Receive(c, r)
}
