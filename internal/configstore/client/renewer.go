package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math"
	mrand "math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Bounds of the backoff after a failed call. It doubles with each consecutive failure and has jitter, so that
// the holders of a failed replica do not call the others all at the same time.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// Applier applies the shared configuration under a lease. Both methods return once the change is in effect.
type Applier interface {
	// Adopt applies the configuration of an epoch until the lease expires. A nil config means that there is
	// no shared configuration and the agent uses its local file alone. If Adopt returns an error, which says
	// why the configuration can't be applied, the previous one stays in use.
	Adopt(ctx context.Context, epoch uint64, config *sharedconfig.Config, until, serverRulesUntil time.Time) error
	// Renew extends the lease on the adopted epoch.
	Renew(ctx context.Context, until, serverRulesUntil time.Time)
}

// Stats are counters for operators.
type Stats struct {
	Renewals   atomic.Int64 // renewal calls to replicas and peers
	Failed     atomic.Int64 // renewal calls that failed
	Relayed    atomic.Int64 // renewals of peers that were relayed
	Adopted    atomic.Int64 // epochs that were adopted
	NotAdopted atomic.Int64 // granted leases that could not be used
}

// Renewer renews the lease of one holder. Run may be called once, the other methods from any goroutine.
type Renewer struct {
	cfg     *Config
	holder  lease.Holder
	applier Applier
	caller  *Caller

	// Used by Run's goroutine only.
	lease    lease.Lease
	target   int    // whom to call next: an index into the replicas followed by the peers
	failures int    // consecutive failed calls
	problem  string // why the last granted lease could not be used; "": it is in use

	leaseUntilMicros atomic.Int64 // of the monotonic clock
	stats            Stats
	relaySlots       chan struct{}
}

// NewIncarnation returns a random identifier for one start of a holder.
func NewIncarnation() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// New returns a Renewer for the agent with the given name.
func New(cfg *Config, name string, applier Applier) *Renewer {
	r := &Renewer{
		cfg:        cfg,
		holder:     lease.Holder{Name: name, Incarnation: NewIncarnation()},
		applier:    applier,
		caller:     NewCaller(),
		target:     mrand.IntN(len(cfg.Replicas)),
		relaySlots: make(chan struct{}, maxRelayedRequests),
	}
	r.leaseUntilMicros.Store(math.MinInt64 / 2)
	return r
}

// Stats returns the counters.
func (r *Renewer) Stats() *Stats { return &r.stats }

// Remaining returns how long the lease still lasts, or 0 if it has expired.
func (r *Renewer) Remaining() time.Duration {
	return max(time.Duration(r.leaseUntilMicros.Load()-int64(clock.Steady()*1000))*time.Microsecond, 0)
}

// leaseStart returns the time at which a lease starts: just before it was requested. Lab builds can replace
// it.
var leaseStart = func(requestedAt float64) float64 { return requestedAt }

// onStart is called when Run begins, onAdopted with each response whose epoch was adopted. Lab builds can
// replace them.
var (
	onStart   = func(context.Context, *Renewer) {}
	onAdopted = func(*Renewer, *RenewResponse) {}
)

// Run renews the lease until ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	backoff := minBackoff
	onStart(ctx, r)
	for ctx.Err() == nil {
		addr, isPeer := r.address(r.target)
		requestedAt := clock.Steady()
		response, err := r.request(ctx, addr, isPeer)
		r.stats.Renewals.Add(1)
		if err != nil {
			r.requestFailed(addr, err)
		} else {
			err = r.accept(ctx, requestedAt, response)
			if ctx.Err() != nil {
				return
			}
			r.recordProblem(response.Epoch, err)
		}
		if err == nil {
			r.succeeded(addr, isPeer)
			backoff = minBackoff
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + mrand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// address returns the i-th address of the replicas followed by the peers.
func (r *Renewer) address(i int) (addr string, isPeer bool) {
	n := len(r.cfg.Replicas)
	if i < n {
		return r.cfg.Replicas[i], false
	}
	return r.cfg.Peers[i-n], true
}

// nextTarget returns whom to call after a number of consecutive failures: each replica once, then each peer
// once, then the replicas again. Without peers it cycles through the replicas.
func (r *Renewer) nextTarget(failures int) int {
	replicas := len(r.cfg.Replicas)
	all := replicas + len(r.cfg.Peers)
	switch position := failures % all; {
	case position == 0 && all > replicas:
		return 0
	case position < replicas:
		return (r.target + 1) % replicas
	case position == replicas:
		return replicas
	default:
		return r.target + 1
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// request makes one renewal call. After a failure or a problem the replica is not to wait for a new epoch.
func (r *Renewer) request(ctx context.Context, addr string, isPeer bool) (*RenewResponse, error) {
	call := &RenewRequest{
		Name:        r.holder.Name,
		Incarnation: r.holder.Incarnation,
		Epoch:       r.lease.Epoch,
		Problem:     r.problem,
		WaitMs:      r.cfg.WaitMs,
	}
	if r.failures > 0 || r.problem != "" {
		call.WaitMs = 0
	}
	header := http.Header{}
	if isPeer {
		header.Set(RelayedHeader, "1")
	}
	ctx, cancel := context.WithTimeout(ctx, millis(call.WaitMs+r.cfg.CallMs))
	defer cancel()
	response := &RenewResponse{}
	err := r.caller.Call(ctx, addr, PathRenew, header, call, response)
	return response, err
}

func (r *Renewer) requestFailed(addr string, err error) {
	r.stats.Failed.Add(1)
	r.failures++
	if r.failures == 1 {
		slog.Warn("lease renewal failed", "addr", addr, "err", err)
	}
	r.target = r.nextTarget(r.failures)
}

// recordProblem records why the granted lease could not be used; a nil error clears the problem.
func (r *Renewer) recordProblem(epoch uint64, err error) {
	if err == nil {
		r.problem = ""
		return
	}
	if text := err.Error(); text != r.problem {
		r.problem = text
		slog.Error("epoch not adopted", "epoch", epoch, "err", err)
	}
	r.stats.NotAdopted.Add(1)
}

func (r *Renewer) succeeded(addr string, isPeer bool) {
	if r.failures > 0 {
		slog.Info("lease renewal succeeded again", "addr", addr, "failures", r.failures)
	}
	r.failures = 0
	if isPeer {
		r.target = mrand.IntN(len(r.cfg.Replicas)) // replicas are preferred to peers
	}
}

// accept checks a granted lease and applies it.
func (r *Renewer) accept(ctx context.Context, requestedAt float64, response *RenewResponse) error {
	next := r.lease
	grant := lease.Grant{Epoch: response.Epoch, LeaseMs: response.LeaseMs, ServerRulesMs: response.ServerRulesMs}
	if !next.Accept(leaseStart(requestedAt), clock.Steady(), grant) {
		return fmt.Errorf("the lease on epoch %d, received %.0f ms after the request, is not usable with epoch %d adopted",
			response.Epoch, clock.Steady()-requestedAt, r.lease.Epoch)
	}
	until := clock.At(next.Until)
	serverRulesUntil := clock.At(next.ServerRulesUntil)
	if response.Epoch == r.lease.Epoch && r.stats.Adopted.Load() > 0 {
		r.applier.Renew(ctx, until, serverRulesUntil)
	} else {
		if err := r.adopt(ctx, response, until, serverRulesUntil); err != nil {
			return err
		}
		slog.Info("epoch adopted", "epoch", response.Epoch, "left_ms", int(next.Until-clock.Steady()))
	}
	r.lease = next
	r.leaseUntilMicros.Store(int64(next.Until * 1000))
	return nil
}

func (r *Renewer) adopt(ctx context.Context, response *RenewResponse, until, serverRulesUntil time.Time) error {
	var config *sharedconfig.Config
	if response.Epoch > 0 {
		var err error
		if config, err = sharedconfig.Decode(response.Config); err != nil {
			return err
		}
	}
	if err := r.applier.Adopt(ctx, response.Epoch, config, until, serverRulesUntil); err != nil {
		return err
	}
	r.stats.Adopted.Add(1)
	onAdopted(r, response)
	return nil
}

// Cordon publishes a version in which a server is cordoned, or no longer cordoned. It returns the number of
// the version once a majority of the replicas has stored it; it will then come into force everywhere. After
// an error for which IsDefinite is false it is unknown whether the version was published.
func (r *Renewer) Cordon(ctx context.Context, server string, on bool) (number uint64, err error) {
	// All attempts have the same id, so that a retry does not publish a second version.
	call := &CordonRequest{ID: NewIncarnation(), Server: server, On: on, Author: r.holder.Name}
	for _, addr := range r.cfg.Replicas {
		var response PublishResponse
		err = r.cordonAt(ctx, addr, call, &response)
		if err == nil || IsDefinite(err) {
			return response.Number, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, err
}

func (r *Renewer) cordonAt(ctx context.Context, addr string, call *CordonRequest, response *PublishResponse) error {
	ctx, cancel := context.WithTimeout(ctx, millis(r.cfg.CallMs))
	defer cancel()
	return r.caller.Call(ctx, addr, PathCordon, nil, call, response)
}
