package acceptance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Histories has clients publish and read at all replicas while one replica at a time fails, and checks with
// Porcupine whether the configuration store is linearizable as one register.
func Histories(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "agreed-histories", Seed: o.Seed, Scale: o.Scale}
	n, ops, unknown := o.scaled(200, 2), 0, 0
	var mu sync.Mutex
	slots := make(chan struct{}, 4)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			h, err := history(ctx, o, o.Seed*1000+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.fail("history %d: %v", i, err)
				return
			}
			if o.Defect { // a client reads a version that was never published
				first := slices.MinFunc(h, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
				h = append(h, porcupine.Operation{ClientId: 99, Input: registerOp{read: true}, Call: first.Call, Output: registerAnswer{number: 1000, id: "never"}, Return: first.Return})
			}
			ops += len(h)
			for _, op := range h {
				if op.Output.(registerAnswer).unknown {
					unknown++
				}
			}
			if res := checkRegister(h); res != porcupine.Ok {
				r.fail("history %d (seed %d): %s", i, o.Seed*1000+uint64(i), res)
			}
		})
	}
	wg.Wait()
	r.add("histories", float64(n), "")
	r.add("operations", float64(ops), "")
	r.add("without an answer", float64(unknown), "")
	return r, nil
}

// history records one history: three replicas, three clients, and one fault after the other; the disk of one
// replica lies: its syncs do nothing.
func history(ctx context.Context, o *Options, seed uint64) ([]porcupine.Operation, error) {
	c, cleanup, err := startReplicas(ctx, 3, 300, "")
	if err != nil {
		return nil, err
	}
	defer cleanup()
	run, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	start := time.Now()
	var mu sync.Mutex
	var all []porcupine.Operation
	var wg sync.WaitGroup
	for clientID := range 3 {
		rng := rand.New(rand.NewPCG(seed, uint64(clientID)))
		wg.Go(func() {
			lastSeen := uint64(0)
			for n := 0; run.Err() == nil; n++ {
				op := registerOp{read: rng.IntN(2) == 0, id: fmt.Sprintf("c%d-%d", clientID, n), parent: lastSeen}
				at := c.Replicas[rng.IntN(3)]
				called := time.Since(start)
				callCtx, stop := context.WithTimeout(ctx, 250*time.Millisecond)
				var out registerAnswer
				if op.read {
					v := &sharedconfig.Version{}
					err := c.Call(callCtx, at, client.PathVersion+"?n=0", nil, v)
					out = registerAnswer{unknown: err != nil, number: v.Number, id: v.ID}
				} else {
					p, err := c.Publish(callCtx, at, op.id, op.parent, &sharedconfig.Config{MaxAttempts: 1 + rng.IntN(3)})
					var statusErr *client.StatusError
					switch {
					case err == nil:
						out.number = p.Number
					case errors.As(err, &statusErr) && statusErr.Status == http.StatusConflict:
						out.conflict = true
					case errors.As(err, &statusErr) && statusErr.Status < 500: // rejected, as too many versions wait: no effect
						stop()
						continue
					default:
						out.unknown = true
					}
				}
				stop()
				if !out.unknown && (op.read || !out.conflict) {
					lastSeen = out.number
				}
				returned := time.Since(start)
				if out.unknown && op.read {
					continue
				}
				if out.unknown {
					returned = time.Duration(neverReturns)
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: clientID, Input: op, Call: int64(called), Output: out, Return: int64(returned)})
				mu.Unlock()
				if out.unknown {
					clientID += 3 // a client has one operation open at a time, and this one stays open
				}
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	lyingReplica := c.Replicas[rng.IntN(3)]
	lyingReplica.SetDiskFault("lie")
	for run.Err() == nil {
		time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
		replica := c.Replicas[rng.IntN(3)]
		switch rng.IntN(4) {
		case 0:
			replica.Freeze()
			time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
			replica.Thaw()
		case 1:
			c.SetLinks(replica.Name, c.Replicas, cluster.Stall, cluster.Pass)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			c.SetLinks(replica.Name, c.Replicas, cluster.Pass, cluster.Pass)
		case 2:
			c.SetLinks(replica.Name, c.Replicas, cluster.Pass, cluster.Drop)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			c.SetLinks(replica.Name, c.Replicas, cluster.Pass, cluster.Pass)
		case 3:
			if replica == lyingReplica { // a power cut, after which it has lost data that its disk did not sync
				if err := replica.PowerCut(nil); err != nil {
					return nil, err
				}
			} else {
				replica.Kill()
			}
			if err := replica.Start(); err != nil {
				return nil, err
			}
		}
	}
	wg.Wait()
	return all, nil
}
