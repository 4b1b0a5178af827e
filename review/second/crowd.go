//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

func init() { cases["crowd"] = crowd }

// refusedCalls is how many calls in a row of the agent that was started again discovery refuses: it has too many callers.
const refusedCalls = 2

// crowd kills an agent, has a server drain, and starts the agent again while discovery, which is up, refuses its first
// calls. A change counts as told 6 s after discovery had it at the latest. Not handed in as a case.
func crowd(r *rig) int {
	backends := []*backend{r.newBackend("s-1", 5*time.Millisecond, true), r.newBackend("s-2", 5*time.Millisecond, true), r.newBackend("s-3", 5*time.Millisecond, true)}
	discovery, err := lab.NewDiscoveryService(entry("s-1", backends[0].addr), entry("s-2", backends[1].addr), entry("s-3", backends[2].addr))
	r.must(err)
	defer discovery.Close()
	target, _ := url.Parse("http://" + discovery.Addr)
	proxy := httputil.NewSingleHostReverseProxy(target)
	var refuse atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if refuse.Add(-1) >= 0 {
			r.log("discovery refuses %s", req.URL)
			w.WriteHeader(503)
			return
		}
		r.log("discovery takes %s", req.URL)
		proxy.ServeHTTP(w, req)
	}))
	a := r.newAgent("n1", ln.Addr().String())
	text, _ := os.ReadFile(a.config)
	s := strings.Replace(string(text), `"replicasOfMe":1`, `"replicasOfMe":300,"index":299`, 1)
	list := ""
	for i, b := range backends {
		if i > 0 {
			list += ","
		}
		list += `{"id":"` + b.id + `","addr":"` + b.addr + `","zone":"east","kind":"fast","cell":0,"state":"up","weight":1,"started_ms":0}`
	}
	s = strings.Replace(s, `"servers":[]`, `"servers":[`+list+`]`, 1)
	s = strings.Replace(s, `"version":0`, `"version":1`, 1)
	r.must(os.WriteFile(a.config, []byte(s), 0o600))
	r.startAgentReady(a)
	time.Sleep(6 * time.Second)
	a.proc.signal(syscall.SIGKILL)
	a.proc.waitEnd(time.Second)
	r.log("killed the agent")
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		refuse.Store(refusedCalls)
	}
	e := entry("s-1", backends[0].addr)
	e.State = membership.Draining
	discovery.Set(e)
	drained := time.Now()
	r.log("s-1 drains")
	time.Sleep(800 * time.Millisecond)
	r.startAgentReady(a)
	ctx, stop := context.WithCancel(context.Background())
	answers := r.sendOrders(ctx, a.listen, "order", 50)
	time.Sleep(14 * time.Second)
	stop()
	counts := answers()
	toldBy := drained.Add(6 * time.Second)
	late := backends[0].since(toldBy.Add(graceAfterYes))
	for _, run := range late {
		r.note("s-1 began %s %.3f s after its drain", run.id, run.at.Sub(drained).Seconds())
	}
	r.log("answers by status: %v; s-1 got %d requests later than 6.3 s after its drain", counts, len(late))
	if len(late) > 0 {
		r.log("the last %.3f s after it", late[len(late)-1].at.Sub(drained).Seconds())
		return broken
	}
	return held
}
