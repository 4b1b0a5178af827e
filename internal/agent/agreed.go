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

// publishTimeout bounds how long the keepers are waited for with an operator's word: with the loop's it is under the
// second in which he is owed an answer.
const publishTimeout = 350 * time.Millisecond

// holdLease keeps a lease on the book of rules, where there are keepers, until leave is called.
func (p *sharedState) holdLease(ctx context.Context, cfg *Config) (leave func(), err error) {
	if cfg.SharedConfig == nil {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	p.renewer = client.New(cfg.SharedConfig, cfg.Name, leaseTarget{p.loop})
	var ended sync.WaitGroup
	if cfg.SharedConfig.Listen != "" {
		ln, err := net.Listen("tcp", cfg.SharedConfig.Listen)
		if err != nil {
			// Another process of this agent may still listen; it carries the peers' asks as well.
			slog.Warn("agreed: asks of peers are not carried", "err", err)
		} else {
			ended.Go(func() {
				if err := p.renewer.Serve(ctx, ln); err != nil {
					slog.Error("agreed: asks of peers are no longer carried", "err", err)
				}
			})
		}
	}
	ended.Go(func() { p.renewer.Run(ctx) })
	return func() { cancel(); ended.Wait() }, nil
}

// leaseTarget is the loop as its lease has it.
type leaseTarget struct{ loop *core.EventLoop }

// call does something in the loop and waits until it is done.
func (a leaseTarget) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	a.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Adopt implements link.Target.
func (a leaseTarget) Adopt(ctx context.Context, stage uint64, book *sharedconfig.Config, until, lists time.Time) error {
	return a.call(ctx, func() { a.loop.AdoptConfig(stage, book, until, lists) })
}

// Renew implements link.Target.
func (a leaseTarget) Renew(ctx context.Context, until, lists time.Time) {
	a.call(ctx, func() { a.loop.RenewLease(until, lists) })
}

// publishCordon has a ban, or its end, published. A ban holds here at once, whether or not the keepers answer; where they
// do, the book has the word on it as soon as it is in force.
func (p *sharedState) publishCordon(id string, on bool) error {
	if on {
		if err := p.cordonLocally(id, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	number, err := p.renewer.Cordon(ctx, id, on)
	switch {
	case err != nil && on:
		return fmt.Errorf("the ban holds at this agent; whether the keepers have it is not known, say it again: %w", err)
	case err != nil:
		return fmt.Errorf("whether the keepers have ended the ban is not known, say it again: %w", err)
	case p.dir != nil:
		if err := p.dir.Cordon(id, false); err != nil {
			return err
		}
	}
	stage := sharedconfig.EpochOf(number)
	if on {
		stage-- // the step before the version has its bans
	}
	p.loop.Post(func() { p.loop.ReleaseCordon(id, stage) })
	return nil
}

// sharedConfigStats are the door's figures of the book of rules.
func (p *sharedState) sharedConfigStats() *admin.SharedConfig {
	if p.renewer == nil {
		return nil
	}
	var f core.SharedConfigStats
	got := make(chan core.SharedConfigStats, 1)
	if p.loop.Call(loopTimeout/2, func() { now, _ := p.loop.SharedConfigStats(); got <- now }) {
		f = <-got
	}
	c := p.renewer.Stats()
	return &admin.SharedConfig{Epoch: f.Epoch, LeaseMs: p.renewer.Remaining().Milliseconds(), Strict: f.Strict, Rejecting: f.Rejecting, Expirations: int64(f.Expirations),
		Renewals: c.Renewals.Load(), Failed: c.Failed.Load(), Relayed: c.Relayed.Load(), Unapplied: c.Rejected.Load(), Adopted: c.Adopted.Load()}
}
