//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
)

// drainGrace is the grace of the rule on drains, 250 ms, and the 50 ms that each limit is longer on sockets.
const drainGrace = 300 * time.Millisecond

func init() { cases["node"] = nodeCase }

// nodeCase: an agent follows the roster and a registry of ephemeral nodes. The roster tells that s-1 drains, then
// sends a whole list without it; the server goes on running and finishes its work. Then its session in the
// registry expires, and the same process makes its node again within a second.
func nodeCase(r *run) (broken bool, err error) {
	var got arrivals
	var entries []membership.Entry
	registry, err := zk.New(zk.Options{Servers: 3, Seed: 1})
	if err != nil {
		return false, err
	}
	defer registry.Close()
	started := float64(time.Now().Add(-time.Hour).UnixMilli())
	session := int64(0x7000)
	node := func(e membership.Entry) {
		session++
		e.StartedMs = started
		data, _ := json.Marshal(e)
		registry.Put("/fleet/orders/"+e.ID, data, session)
		r.logf("registry: node of %s in session %#x: %s", e.ID, session, data)
	}
	for i := range 5 {
		s, err := newServer(fmt.Sprintf("s-%d", i+1), []string{"kagoshima", "miyazaki", "nagasaki"}[i%3], 20*time.Millisecond, &got)
		if err != nil {
			return false, err
		}
		defer s.http.Close()
		entries = append(entries, s.Entry)
		node(s.Entry)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	file := filepath.Join(r.tmp, "ephemeral.toml")
	addrs := registry.Addrs()
	text := fmt.Sprintf("ensemble = [%q, %q, %q]\npath = \"/fleet/orders\"\nsession_ms = 6000\n", addrs[0], addrs[1], addrs[2])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return false, err
	}
	a, err := r.startAgent("edge-1", discovery.Addr, discovery.List(), "PROXY_EPHEMERAL="+file)
	if err != nil {
		return false, err
	}
	if err := await("http://"+a.listen+"/-/ready", 20*time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	clients := &callers{run: r}
	wait := clients.start(ctx, a.listen, 12, 50*time.Millisecond)
	time.Sleep(4 * time.Second)
	leaving := entries[0]
	leaving.State = membership.Draining
	discovery.Set(leaving)
	told := time.Now()
	r.logf("roster: s-1 drains")
	time.Sleep(2 * time.Second)
	discovery.Replace(entries[1:]...)
	r.logf("roster: the whole list, without s-1")
	time.Sleep(2 * time.Second)
	if r.trouble {
		registry.Remove("/fleet/orders/s-1")
		r.logf("registry: the session of s-1 has expired, and its node is gone")
		time.Sleep(400 * time.Millisecond)
		node(entries[0])
	}
	time.Sleep(6 * time.Second)
	stop()
	wait()
	if !a.runs() {
		return false, fmt.Errorf("%s has ended", a.name)
	}
	return r.judgeDrain(&got, "s-1", told, clients), nil
}

func (r *run) judgeDrain(got *arrivals, id string, told time.Time, clients *callers) (broken bool) {
	got.mu.Lock()
	defer got.mu.Unlock()
	counts, late := map[string]int{}, 0
	var latest time.Duration
	for _, x := range got.all {
		counts[x.server]++
		if after := x.at.Sub(told); x.server == id && after > 0 {
			latest = max(latest, after)
			if after > drainGrace {
				late++
				r.logAt(x.at, "BROKEN: request %s reached %s %.0f ms after the roster told that it drains", x.id, id, float64(after.Microseconds())/1000)
			}
		}
	}
	r.logf("requests at the servers: %v; answers at the clients: %v", counts, clients.statuses)
	r.logf("%s: %d requests later than %v after the drain; the last one %.0f ms after it", id, late, drainGrace, float64(latest.Microseconds())/1000)
	r.say("%s: %d requests later than %v after the drain was told, the last one after %v", id, late, drainGrace, latest.Round(time.Millisecond))
	return late > 0
}
