//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

func init() { cases["repeat"] = repeat }

const (
	repeatRate    = 1280 // requests a second
	repeatSeconds = 51
	repeatCount   = 600 // the first orders, whose ids are sent again
)

// repeat sends orders at the rate of the busiest day, replaces the agent's process by a second one as a new version
// is, and sends the ids of the first orders again, within a minute.
func repeat(r *rig) int {
	var backends []*backend
	discovery, err := lab.NewDiscoveryService()
	r.must(err)
	defer discovery.Close()
	for i := range 6 {
		b := r.newBackend(fmt.Sprintf("s-%d", i+1), time.Millisecond, false)
		backends = append(backends, b)
		discovery.Set(entry(b.id, b.addr))
	}
	a := r.newAgent("n1", discovery.Addr)
	r.startAgentReady(a)
	app := newApplication(a.listen)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	first := map[int]int{}
	var all sync.WaitGroup
	key := func(n int) string { return fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15) }
	orderID := func(n int) string { return fmt.Sprintf("%016x", uint64(n+7)*0xbf58476d1ce4e5b9) }
	begin := time.Now()
	n, noted := 0, 0
	for time.Since(begin) < repeatSeconds*time.Second {
		for due := int(time.Since(begin).Seconds() * repeatRate); n < due; n++ {
			number := n
			if number < 2*repeatCount {
				sent[orderID(number)] = time.Now()
			}
			all.Go(func() {
				status, _, _ := app.order(orderID(number), key(number), 1200*time.Millisecond)
				mu.Lock()
				first[status]++
				mu.Unlock()
			})
		}
		if second := int(time.Since(begin).Seconds()); second > noted {
			noted = second
			mu.Lock()
			r.note("sent %d orders; answers by status so far: %v", n, first)
			mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	r.log("sent %d orders in %.1f s; answers by status: %v", n, time.Since(begin).Seconds(), first)
	old := a.proc
	next := *a
	next.admin = r.freeAddr()
	r.startAgent(&next)
	if !await(6*time.Second, next.healthy) {
		r.fail("the new process did not say yes")
	}
	old.signal(syscall.SIGTERM)
	app.client.CloseIdleConnections()
	if !old.waitEnd(4 * time.Second) {
		r.fail("the old process did not end")
	}
	r.log("the new process serves, the old one has ended")
	runs := func() map[string]int {
		counts := map[string]int{}
		for _, b := range backends {
			for _, run := range b.since(r.start) {
				counts[run.id]++
			}
		}
		return counts
	}
	again := map[int]int{}
	oldest := time.Duration(0)
	if r.trouble {
		ranFirst := runs()
		repeated := 0
		for n := 0; repeated < repeatCount && n < 2*repeatCount; n++ {
			id := orderID(n)
			if ranFirst[id] != 1 {
				continue
			}
			repeated++
			age := time.Since(sent[id])
			oldest = max(oldest, age)
			status, body, err := app.order(id, key(n), 1200*time.Millisecond)
			again[status]++
			r.note("%s, which had run, is sent again %.3f s after the first time; answer %d %q %v", id, age.Seconds(), status, body, err)
		}
		r.log("%d ids were sent again, %.1f s after the first time at the most; answers by status: %v", repeated, oldest.Seconds(), again)
	}
	twice := 0
	for id, n := range runs() {
		if n > 1 {
			twice++
			r.note("%s ran %d times", id, n)
		}
	}
	r.log("%d orders ran more than once", twice)
	switch {
	case oldest >= time.Minute:
		r.fail("an id was sent again later than within a minute")
	case twice > 0:
		return broken
	}
	return held
}
