package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

const (
	// minBackoff and pauseMost bound the pause behind a failed call, drawn, doubled with each that fails in a row: so
	// that the holders of a keeper that died do not come to the others in step.
	minBackoff, maxBackoff = 20 * time.Millisecond, 640 * time.Millisecond
	// maxRelayedRequests bounds the asks of peers that are carried at once.
	maxRelayedRequests = 16
	// maxRelayedRequestBytes bounds an ask that a peer brings, in bytes.
	maxRelayedRequestBytes = 4 << 10
)

// Applier is who acts under the lease. Both methods return once what they say is so.
type Applier interface {
	// Adopt has it act on terms; book nil: on its own file's. An error says why it can't, and that it goes on as before.
	Adopt(ctx context.Context, stage uint64, book *sharedconfig.Config, until, lists time.Time) error
	// Renew has it go on as it does.
	Renew(ctx context.Context, until, lists time.Time)
}

// Renewer keeps one holder's lease. Run's goroutine owns lease; the rest may be used from any.
type Renewer struct {
	cfg     *Config
	holder  lease.Holder
	applier Applier
	caller  *Caller
	lease   lease.Lease
	target  int // the keeper, or behind them the peer, that answered last

	leaseUntilMicros atomic.Int64 // of the lease, us of the steady clock
	stats            Stats
	relaySlots       chan struct{}
}

// Stats are counts for operators.
type Stats struct{ Renewals, Failed, Relayed, Adopted, Rejected atomic.Int64 }

// NewIncarnation draws what tells one start of a name from another.
func NewIncarnation() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// New returns a link for an agent of this name.
func New(cfg *Config, name string, target Applier) *Renewer {
	l := &Renewer{cfg: cfg, holder: lease.Holder{Name: name, Incarnation: NewIncarnation()}, applier: target, caller: NewCaller(),
		target: mrand.IntN(len(cfg.Replicas)), relaySlots: make(chan struct{}, maxRelayedRequests)}
	l.leaseUntilMicros.Store(math.MinInt64 / 2)
	return l
}

// Stats are the link's counts.
func (l *Renewer) Stats() *Stats { return &l.stats }

// Remaining is for how long the lease holds, 0 where it does not.
func (l *Renewer) Remaining() time.Duration {
	return max(time.Duration(l.leaseUntilMicros.Load()-int64(clock.Steady()*1000))*time.Microsecond, 0)
}

// address is the i-th of keepers and peers, and whether it is a peer.
func (l *Renewer) address(i int) (string, bool) {
	k := len(l.cfg.Replicas)
	if i < k {
		return l.cfg.Replicas[i], false
	}
	return l.cfg.Peers[i-k], true
}

// nextTarget is whom to ask behind a number of calls in a row that failed: each keeper once, then the peers, and so on.
func (l *Renewer) nextTarget(failed int) int {
	k, all := len(l.cfg.Replicas), len(l.cfg.Replicas)+len(l.cfg.Peers)
	switch turn := failed % all; {
	case turn == 0:
		return 0
	case turn < k:
		return (l.target + 1) % k
	case turn == k:
		return k
	default:
		return l.target + 1
	}
}

// Run keeps the lease until ctx ends.
func (l *Renewer) Run(ctx context.Context) {
	pause, unable, failed := minBackoff, "", 0
	onStart(ctx, l)
	for ctx.Err() == nil {
		addr, peer := l.address(l.target)
		call := &RenewRequest{Name: l.holder.Name, Incarnation: l.holder.Incarnation, Epoch: l.lease.Epoch, Problem: unable, WaitMs: l.cfg.WaitMs}
		if failed > 0 || unable != "" {
			call.WaitMs = 0
		}
		asked := clock.Steady()
		var answer RenewResponse
		header := http.Header{}
		if peer {
			header.Set(RelayedHeader, "1")
		}
		within := time.Duration((call.WaitMs + l.cfg.CallMs) * float64(time.Millisecond))
		try, cancel := context.WithTimeout(ctx, within)
		err := l.caller.Call(try, addr, PathRenew, header, call, &answer)
		cancel()
		l.stats.Renewals.Add(1)
		if err == nil {
			var was string
			was, unable = unable, ""
			err = l.accept(ctx, asked, &answer)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				if unable = err.Error(); unable != was {
					slog.Error("agreed: the rules can't be taken up", "stage", answer.Epoch, "err", err)
				}
				l.stats.Rejected.Add(1)
			}
		} else {
			l.stats.Failed.Add(1)
			if failed++; failed == 1 {
				slog.Warn("agreed: no answer", "addr", addr, "err", err)
			}
			l.target = l.nextTarget(failed)
		}
		if err == nil {
			if failed > 0 {
				slog.Info("agreed: answered again", "addr", addr, "failed", failed)
			}
			if failed, pause = 0, minBackoff; peer {
				l.target = mrand.IntN(len(l.cfg.Replicas)) // a keeper's own word is wanted next time
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + mrand.N(pause)):
		}
		pause = min(2*pause, maxBackoff)
	}
}

// leaseStart is the moment from which a lease is counted: a moment before it was asked for.
var leaseStart = func(asked float64) float64 { return asked }

// onStart is called as a holder starts. A lab build may have it act before it has asked.
var onStart = func(context.Context, *Renewer) {}

// onAdopted is called with each book that was taken up.
var onAdopted = func(l *Renewer, a *RenewResponse) {}

// accept takes up what was granted.
func (l *Renewer) accept(ctx context.Context, asked float64, a *RenewResponse) error {
	next := l.lease
	if !next.Accept(leaseStart(asked), clock.Steady(), lease.Grant{Epoch: a.Epoch, LeaseMs: a.LeaseMs, EndpointsMs: a.EndpointsMs}) {
		return fmt.Errorf("a grant of stage %d, %.0f ms after it was asked for, with stage %d in hand", a.Epoch, clock.Steady()-asked, l.lease.Epoch)
	}
	until, lists := clock.At(next.Until), clock.At(next.EndpointsUntil)
	if a.Epoch == l.lease.Epoch && l.stats.Adopted.Load() > 0 {
		l.applier.Renew(ctx, until, lists)
	} else {
		var book *sharedconfig.Config
		if a.Epoch > 0 {
			var err error
			if book, err = sharedconfig.Decode(a.Config); err != nil {
				return err
			}
		}
		if err := l.applier.Adopt(ctx, a.Epoch, book, until, lists); err != nil {
			return err
		}
		l.stats.Adopted.Add(1)
		onAdopted(l, a)
		slog.Info("agreed: rules taken up", "stage", a.Epoch, "left_ms", int(next.Until-clock.Steady()))
	}
	l.lease = next
	l.leaseUntilMicros.Store(int64(next.Until * 1000))
	return nil
}

// Cordon has an operator's word on a server published. It returns once a majority of the keepers has it, so that it comes
// into force everywhere, and the number of the version that has it; an error that is no Failure leaves that open.
func (l *Renewer) Cordon(ctx context.Context, server string, on bool) (number uint64, err error) {
	call := &CordonRequest{ID: NewIncarnation(), Server: server, On: on, Author: l.holder.Name}
	var first error
	for i := range l.cfg.Replicas {
		// The same id each time: a second try is not a second version.
		addr := l.cfg.Replicas[i]
		try, cancel := context.WithTimeout(ctx, time.Duration(l.cfg.CallMs*float64(time.Millisecond)))
		var answer PublishResponse
		err := l.caller.Call(try, addr, PathCordon, nil, call, &answer)
		cancel()
		if f := (*StatusError)(nil); err == nil || errors.As(err, &f) && f.Status < 500 {
			return answer.Number, err
		}
		if first = err; ctx.Err() != nil {
			break
		}
	}
	return 0, first
}

// Serve carries asks of peers to the keepers, until ctx ends: one hop, a bounded number at once, and only while this
// agent's own lease holds.
func (l *Renewer) Serve(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathRenew, l.relay)
	s := &http.Server{Handler: mux, ReadTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	var ended sync.WaitGroup
	ended.Go(func() { <-ctx.Done(); s.Close() })
	defer ended.Wait()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (l *Renewer) relay(w http.ResponseWriter, req *http.Request) {
	select {
	case l.relaySlots <- struct{}{}:
		defer func() { <-l.relaySlots }()
	default:
		http.Error(w, "too many asks are carried", http.StatusServiceUnavailable)
		return
	}
	var call RenewRequest
	if err := json.NewDecoder(io.LimitReader(req.Body, maxRelayedRequestBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.Remaining() == 0 {
		http.Error(w, "this agent holds no lease itself", http.StatusServiceUnavailable)
		return
	}
	call.WaitMs = 0
	// One keeper after the other, as long as the peer waits.
	from := mrand.IntN(len(l.cfg.Replicas))
	for i := range l.cfg.Replicas {
		var answer RenewResponse
		try, cancel := context.WithTimeout(req.Context(), time.Duration(l.cfg.CallMs/2*float64(time.Millisecond)))
		err := l.caller.Call(try, l.cfg.Replicas[(from+i)%len(l.cfg.Replicas)], PathRenew, nil, &call, &answer)
		cancel()
		if err == nil {
			l.stats.Relayed.Add(1)
			json.NewEncoder(w).Encode(&answer)
			return
		}
	}
	http.Error(w, "no keeper answers", http.StatusBadGateway)
}
