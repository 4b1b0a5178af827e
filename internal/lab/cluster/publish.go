package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

const (
	publishTimeout = 600 * time.Millisecond
	publishBackoff = 20 * time.Millisecond
	settleTimeout  = 10 * time.Second
	historyTimeout = time.Second
)

// publication is a published version and its acknowledgement.
type publication struct {
	id     string
	number uint64 // 0: never acknowledged
	digest string
	config *sharedconfig.Config
	sent   time.Time
}

// acknowledge records the response of a replica.
func (p *publication) acknowledge(response *client.PublishResponse) {
	p.number = response.Number
	p.digest = response.Digest
}

// drawConfig returns a random configuration. Configurations differ in which attempts they permit.
func drawConfig(rng *rand.Rand, servers int) *sharedconfig.Config {
	config := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{}}
	switch rng.IntN(4) {
	case 0:
		config.Classes[classSend] = sharedconfig.Class{Effect: policy.NonIdempotent}
	case 1:
		config.Classes[classSend] = sharedconfig.Class{
			Effect:              policy.IdempotentByKey,
			DedupScope:          policy.ScopeZone,
			IdempotencyWindowMs: 200 + float64(rng.IntN(3))*300,
		}
	case 2:
		config.Classes[classSend] = sharedconfig.Class{
			Effect:              policy.IdempotentByKey,
			DedupScope:          policy.ScopeAll,
			IdempotencyWindowMs: 300,
		}
	}
	if rng.IntN(3) == 0 {
		config.MaxAttempts = 1 + rng.IntN(2)
	}
	for i := range servers {
		if rng.IntN(3) == 0 && len(config.Cordoned) < servers/3 {
			config.Cordoned = append(config.Cordoned, serverName(i))
		}
	}
	return config
}

// publish publishes versions one after another until the run ends or a replica rejects one.
func (r *runner) publish(run context.Context) (all []publication) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, publishSeedStream))
	for n := 0; n < r.plan.Versions && run.Err() == nil; n++ {
		p := publication{
			id:     fmt.Sprintf("v%d-%d", r.plan.Seed, n),
			config: drawConfig(rng, r.plan.Servers),
			sent:   time.Now(),
		}
		p.config.Check()
		parent := uint64(n)
		r.traffic.Attempts.Published(parent+1, p.config, p.sent)
		if err := r.publishUntilAnswered(run, rng, &p, parent); err != nil {
			r.lost("publish %s with parent %d was rejected: %v", p.id, parent, err)
			return all
		}
		all = append(all, p)
		r.pauseAfterPublish(run, rng, p.number)
	}
	return all
}

// publishUntilAnswered publishes a version under one id at random replicas until one acknowledges it or the
// run ends. It returns an error if a replica rejects the version permanently.
func (r *runner) publishUntilAnswered(run context.Context, rng *rand.Rand, p *publication, parent uint64) error {
	for retries := 0; run.Err() == nil; retries++ {
		replica := pick(rng, r.cluster.Replicas)
		call, cancel := context.WithTimeout(run, publishTimeout)
		response, err := r.cluster.Publish(call, replica, p.id, parent, p.config)
		cancel()
		if err == nil {
			p.acknowledge(response)
			return nil
		}
		if rejected(err) {
			return err
		}
		if retries == 0 {
			r.outcome.RetriedPublishes++
		}
		time.Sleep(publishBackoff)
	}
	return nil
}

// rejected reports whether a replica rejected a call permanently: with a status below 500 other than 429.
func rejected(err error) bool {
	var status *client.StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError &&
		status.Status != http.StatusTooManyRequests
}

// pauseAfterPublish waits before the next publish, until this one is in force or a random time has passed,
// and then for another short random time.
func (r *runner) pauseAfterPublish(run context.Context, rng *rand.Rand, number uint64) {
	deadline := time.Now().Add(time.Duration(rng.IntN(3)) * 150 * time.Millisecond)
	epoch := sharedconfig.EpochOf(number)
	for time.Now().Before(deadline) && run.Err() == nil && !r.traffic.Attempts.reached(epoch) {
		time.Sleep(untilInterval)
	}
	time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
}

// lost records that an acknowledged version is missing or changed, or that a publish was rejected.
func (r *runner) lost(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome.Lost = append(r.outcome.Lost, fmt.Sprintf(format, args...))
}

// settle waits until the last version is in force and checks the history against the acknowledged publishes.
func (r *runner) settle(ctx context.Context, all []publication) {
	var history client.HistoryResponse
	var lastStatus *client.Status
	var lastErr error
	err := Until(ctx, "a replica leads, and the last version is in force", settleTimeout, func() bool {
		at := time.Now()
		leader, status := r.cluster.Leader(ctx)
		lastStatus = status
		if leader == nil || status.Epoch < sharedconfig.EpochOf(status.Last) || len(status.BlockedBy) > 0 {
			return false
		}
		r.traffic.Attempts.InForce(status.Epoch, at)
		call, cancel := context.WithTimeout(ctx, historyTimeout)
		defer cancel()
		history = client.HistoryResponse{}
		lastErr = r.cluster.Call(call, leader, client.PathHistory, nil, &history)
		return lastErr == nil
	})
	if err != nil {
		r.fail("%v: %v, %+v", err, lastErr, lastStatus)
		return
	}
	r.traffic.Attempts.SetHistory(history.Versions)
	r.outcome.Versions = int(history.Dropped) + len(history.Versions)
	r.checkHistory(&history, all)
}

// checkHistory checks that the history contains every acknowledged version unchanged, and no publish twice.
func (r *runner) checkHistory(history *client.HistoryResponse, all []publication) {
	seen := map[string]bool{}
	for _, v := range history.Versions {
		if seen[v.ID] {
			r.lost("publish %s has two version numbers, one of them %d", v.ID, v.Number)
		}
		seen[v.ID] = true
	}
	for _, p := range all {
		if p.number == 0 || p.number <= history.Dropped {
			continue
		}
		i := int(p.number - history.Dropped - 1)
		if i >= len(history.Versions) {
			r.lost("version %d was acknowledged and is missing from the history", p.number)
			continue
		}
		if v := history.Versions[i]; v.ID != p.id || v.Digest != p.digest {
			r.lost("version %d was acknowledged as %s with digest %s and is %s with digest %s in the history",
				p.number, p.id, p.digest, v.ID, v.Digest)
		}
	}
}
