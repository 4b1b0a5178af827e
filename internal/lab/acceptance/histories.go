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

// Histories has clients publish and read at all keepers while one of them fails at a time, and has Porcupine judge
// whether the book is one register.
func Histories(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "agreed-histories", Seed: o.Seed, Scale: o.Scale}
	n, ops, unknown := o.scaled(200, 2), 0, 0
	var mu sync.Mutex
	lanes := make(chan struct{}, 4)
	var wg sync.WaitGroup
	for i := range n {
		lanes <- struct{}{}
		wg.Go(func() {
			defer func() { <-lanes }()
			h, err := history(ctx, o, o.Seed*1000+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.short("history %d: %v", i, err)
				return
			}
			if o.Defect { // one who is told a version that was never there
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
				r.short("history %d (seed %d): %s", i, o.Seed*1000+uint64(i), res)
			}
		})
	}
	wg.Wait()
	r.add("histories", float64(n), "")
	r.add("operations", float64(ops), "")
	r.add("without an answer", float64(unknown), "")
	return r, nil
}

// history is one: three keepers, three clients, and one fault after the other, lying disks among them.
func history(ctx context.Context, o *Options, seed uint64) ([]porcupine.Operation, error) {
	c, end, err := keeperRig(ctx, 3, 300, "")
	if err != nil {
		return nil, err
	}
	defer end()
	run, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	begun := time.Now()
	var mu sync.Mutex
	var all []porcupine.Operation
	var wg sync.WaitGroup
	for proposer := range 3 {
		rng := rand.New(rand.NewPCG(seed, uint64(proposer)))
		wg.Go(func() {
			last := uint64(0)
			for n := 0; run.Err() == nil; n++ {
				op := registerOp{read: rng.IntN(2) == 0, id: fmt.Sprintf("c%d-%d", proposer, n), parent: last}
				at := c.Replicas[rng.IntN(3)]
				from := time.Since(begun)
				try, stop := context.WithTimeout(ctx, 250*time.Millisecond)
				var out registerAnswer
				if op.read {
					v := &sharedconfig.Version{}
					err := c.Call(try, at, client.PathVersion+"?n=0", nil, v)
					out = registerAnswer{unknown: err != nil, number: v.Number, id: v.ID}
				} else {
					p, err := c.Publish(try, at, op.id, op.parent, &sharedconfig.Config{MaxAttempts: 1 + rng.IntN(3)})
					var f *client.StatusError
					switch {
					case err == nil:
						out.number = p.Number
					case errors.As(err, &f) && f.Status == http.StatusConflict:
						out.conflict = true
					case errors.As(err, &f) && f.Status < 500: // too many wait: nothing was done
						stop()
						continue
					default:
						out.unknown = true
					}
				}
				stop()
				if !out.unknown && (op.read || !out.conflict) {
					last = out.number
				}
				to := time.Since(begun)
				if out.unknown && op.read {
					continue
				}
				if out.unknown {
					to = time.Duration(neverReturns)
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: proposer, Input: op, Call: int64(from), Output: out, Return: int64(to)})
				mu.Unlock()
				if out.unknown {
					proposer += 3 // a client has one operation open at a time; this one stays so
				}
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	liar := c.Replicas[rng.IntN(3)]
	liar.SetDiskFault("lie")
	for run.Err() == nil {
		time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
		k := c.Replicas[rng.IntN(3)]
		switch rng.IntN(4) {
		case 0:
			k.Freeze()
			time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
			k.Thaw()
		case 1:
			c.SetLinks(k.Name, c.Replicas, cluster.Stall, cluster.Pass)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			c.SetLinks(k.Name, c.Replicas, cluster.Pass, cluster.Pass)
		case 2:
			c.SetLinks(k.Name, c.Replicas, cluster.Pass, cluster.Drop)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			c.SetLinks(k.Name, c.Replicas, cluster.Pass, cluster.Pass)
		case 3:
			if k == liar { // the power goes for the one whose disk lied: it comes back with less
				if err := k.PowerCut(nil); err != nil {
					return nil, err
				}
			} else {
				k.Kill()
			}
			if err := k.Start(); err != nil {
				return nil, err
			}
		}
	}
	wg.Wait()
	return all, nil
}
