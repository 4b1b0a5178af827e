package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/admin"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// publishTimeout limits how long a cordon waits for the configuration store. Together with loopTimeout it is
// below the second within which the admin endpoint has to answer.
const publishTimeout = 350 * time.Millisecond

// holdLease holds a lease on the shared configuration, if one is configured, until stop is called.
func (s *sharedState) holdLease(ctx context.Context, cfg *Config) (stop func(), err error) {
	if cfg.SharedConfig == nil {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	s.renewer = client.New(cfg.SharedConfig, cfg.Name, loopApplier{s.loop})
	var ended sync.WaitGroup
	if cfg.SharedConfig.Listen != "" {
		ln, err := net.Listen("tcp", cfg.SharedConfig.Listen)
		if err != nil {
			// Another process of this agent may still be listening, and then relays the calls of peers.
			slog.Warn("cannot listen for peers; their calls to the configuration store are not relayed", "err", err)
		} else {
			ended.Go(func() {
				if err := s.renewer.Serve(ctx, ln); err != nil {
					slog.Error("relaying the calls of peers failed", "err", err)
				}
			})
		}
	}
	ended.Go(func() { s.renewer.Run(ctx) })
	return func() { cancel(); ended.Wait() }, nil
}

// loopApplier applies the lease and the shared configuration to the event loop. It implements client.Applier.
type loopApplier struct{ loop *core.EventLoop }

// call runs a function in the loop and waits until it has returned or ctx ends.
func (t loopApplier) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	t.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Adopt implements client.Applier.
func (t loopApplier) Adopt(ctx context.Context, epoch uint64, config *sharedconfig.Config, leaseExpiry, endpointsExpiry time.Time) error {
	return t.call(ctx, func() { t.loop.AdoptConfig(epoch, config, leaseExpiry, endpointsExpiry) })
}

// Renew implements client.Applier.
func (t loopApplier) Renew(ctx context.Context, leaseExpiry, endpointsExpiry time.Time) {
	_ = t.call(ctx, func() { t.loop.RenewLease(leaseExpiry, endpointsExpiry) }) // fails only with ctx
}

// publishCordon publishes a cordon or its removal. A cordon takes effect at this agent at once, whether or
// not the configuration store answers. Once the published configuration is in force, it replaces this agent's
// own cordon.
func (s *sharedState) publishCordon(id string, cordoned bool) error {
	if cordoned {
		if err := s.cordonLocally(id, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	version, err := s.renewer.Cordon(ctx, id, cordoned)
	switch {
	case err != nil && cordoned:
		return fmt.Errorf("the ban holds at this agent; whether the keepers have it is not known, say it again: %w", err)
	case err != nil:
		return fmt.Errorf("whether the keepers have ended the ban is not known, say it again: %w", err)
	case s.dir != nil:
		if err := s.dir.Cordon(id, false); err != nil {
			return err
		}
	}
	epoch := sharedconfig.EpochOf(version)
	if cordoned {
		epoch-- // the transition to the version already includes its cordons
	}
	s.loop.Post(func() { s.loop.ReleaseCordon(id, epoch) })
	return nil
}

// sharedConfigStats returns the metrics of the shared configuration; nil if there is none.
func (s *sharedState) sharedConfigStats() *admin.SharedConfig {
	if s.renewer == nil {
		return nil
	}
	var loopStats core.SharedConfigStats
	got := make(chan core.SharedConfigStats, 1)
	read := func() {
		stats, _ := s.loop.SharedConfigStats()
		got <- stats
	}
	if s.loop.Do(loopTimeout/2, read) {
		loopStats = <-got
	}
	calls := s.renewer.Stats()
	return &admin.SharedConfig{
		Epoch:       loopStats.Epoch,
		LeaseMs:     s.renewer.Remaining().Milliseconds(),
		Strict:      loopStats.Strict,
		Rejecting:   loopStats.Rejecting,
		Expirations: int64(loopStats.Expirations),
		Renewals:    calls.Renewals.Load(),
		Failed:      calls.Failed.Load(),
		Relayed:     calls.Relayed.Load(),
		NotAdopted:  calls.NotAdopted.Load(),
		Adopted:     calls.Adopted.Load(),
	}
}
