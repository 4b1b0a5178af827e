//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// banGrace is the grace of the rule on drains, 250 ms, and the 50 ms that each limit is longer on sockets.
const banGrace = 300 * time.Millisecond

func init() { cases["ban"] = banCase }

// banCase: two agents hold a lease on the agreed book. One of them is killed. Right after, an operator bans two
// servers at the door of the other one. Each ban holds from its 200 until it is taken back, which nobody does.
func banCase(r *run) (broken bool, err error) {
	var got arrivals
	var entries []membership.Entry
	for i := range 6 {
		s, err := newServer(fmt.Sprintf("s-%d", i+1), []string{"kagoshima", "miyazaki", "nagasaki"}[i%3], 20*time.Millisecond, &got)
		if err != nil {
			return false, err
		}
		defer s.http.Close()
		entries = append(entries, s.Entry)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	keepers, err := startKeepers(r, "k1", "k2", "k3")
	if err != nil {
		return false, err
	}
	agreed := filepath.Join(r.tmp, "agreed.toml")
	text := fmt.Sprintf("keepers = [%q, %q, %q]\ncall_ms = 400\nwait_ms = 500\non_lapse = \"refuse\"\n", keepers[0], keepers[1], keepers[2])
	if err := os.WriteFile(agreed, []byte(text), 0o600); err != nil {
		return false, err
	}
	known := discovery.List()
	var agents []*agent
	for _, name := range []string{"edge-1", "edge-2"} {
		a, err := r.startAgent(name, discovery.Addr, known, "PROXY_AGREED="+agreed)
		if err != nil {
			return false, err
		}
		agents = append(agents, a)
	}
	for _, a := range agents {
		if err := await("http://"+a.listen+"/-/ready", 20*time.Second); err != nil {
			return false, err
		}
		r.logf("%s is ready", a.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	clients := &callers{run: r}
	wait := clients.start(ctx, agents[0].listen, 12, 50*time.Millisecond)
	time.Sleep(8 * time.Second) // the leading keeper waits for leases of previous leaders after its start, 5.1 s
	if r.trouble {
		agents[1].signal(syscall.SIGKILL)
		time.Sleep(100 * time.Millisecond)
	}
	banned := map[string]time.Time{}
	for _, id := range []string{"s-1", "s-2"} {
		if err := ban(r, agents[0], id); err != nil {
			stop()
			wait()
			return false, err
		}
		banned[id] = time.Now()
	}
	time.Sleep(8 * time.Second)
	stop()
	wait()
	if !agents[0].runs() {
		return false, fmt.Errorf("%s has ended", agents[0].name)
	}
	return r.judgeBans(&got, banned, clients), nil
}

// ban bans a server, and says it again until the answer is yes, as the operators' page asks.
func ban(r *run, a *agent, id string) error {
	for range 20 {
		sent := time.Now()
		status, text, err := a.call(http.MethodPut, "/admin/cordon?name="+id)
		r.logAt(sent, "PUT /admin/cordon?name=%s at %s; answered %d %q %v after %.0f ms", id, a.name, status, text, err, r.ms(time.Now())-r.ms(sent))
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the ban of %s was never answered with yes", id)
}

func (r *run) judgeBans(got *arrivals, banned map[string]time.Time, clients *callers) (broken bool) {
	got.mu.Lock()
	defer got.mu.Unlock()
	counts, late, latest := map[string]int{}, map[string]int{}, map[string]time.Duration{}
	for _, x := range got.all {
		counts[x.server]++
		at, ok := banned[x.server]
		if !ok || x.at.Before(at) {
			continue
		}
		after := x.at.Sub(at)
		latest[x.server] = max(latest[x.server], after)
		if after > banGrace {
			late[x.server]++
			r.logAt(x.at, "BROKEN: request %s reached %s %.0f ms after the yes to its ban", x.id, x.server, float64(after.Microseconds())/1000)
		}
	}
	r.logf("requests at the servers: %v; answers at the clients: %v", counts, clients.statuses)
	for id := range banned {
		r.logf("%s: %d requests later than %v after the yes; the last one %.0f ms after it", id, late[id], banGrace, float64(latest[id].Microseconds())/1000)
		r.say("%s: %d requests later than %v after the yes to the ban, the last one after %v", id, late[id], banGrace, latest[id].Round(time.Millisecond))
		broken = broken || late[id] > 0
	}
	return broken
}

// startKeepers starts the replicas of the configuration store and waits until one of them leads.
func startKeepers(r *run, names ...string) (addrs []string, err error) {
	members := "\n[members]\n"
	for _, name := range names {
		addr := freeAddr()
		addrs = append(addrs, addr)
		members += fmt.Sprintf("%s = %q\n", name, addr)
	}
	for i, name := range names {
		file := filepath.Join(r.tmp, name+".toml")
		text := fmt.Sprintf("name = %q\nlisten = %q\ndata = %q\njoin = false\nlease_ms = 2000\nlist_ms = 3000\ntick_ms = 25\n%s",
			name, addrs[i], filepath.Join(r.tmp, "keeper-"+name), members)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if _, err := r.command(name, "exec bin/ringtrack-configstore run --config "+file); err != nil {
			return nil, err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, addr := range addrs {
			if status, text := get("http://" + addr + "/v1/history"); status == http.StatusOK && strings.Contains(text, "stage") {
				r.logf("the keepers are ready")
				return addrs, nil
			}
		}
	}
	return nil, fmt.Errorf("no keeper leads")
}

func get(url string) (int, string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	buf := make([]byte, 4096)
	n, _ := response.Body.Read(buf)
	return response.StatusCode, string(buf[:n])
}
