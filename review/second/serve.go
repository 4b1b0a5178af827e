//go:build review

package main

import (
	"context"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

func init() { cases["serve"] = serve }

// graceAfterYes is how long after the yes to a ban, or after a drain was told, a server may still get new requests:
// drainGraceMs, and 50 ms.
const graceAfterYes = 300 * time.Millisecond

// serve bans a server at the door of an agent with on_lapse = "serve", kills two of three keepers once the ban is in
// force, and starts the agent again. Not handed in as a case.
func serve(r *rig) int {
	keepers := r.startKeepers()
	backends := []*backend{r.newBackend("s-1", 5*time.Millisecond, true), r.newBackend("s-2", 5*time.Millisecond, true), r.newBackend("s-3", 5*time.Millisecond, true)}
	discovery, err := lab.NewDiscoveryService(entry("s-1", backends[0].addr), entry("s-2", backends[1].addr), entry("s-3", backends[2].addr))
	r.must(err)
	defer discovery.Close()
	a := r.newAgent("n1", discovery.Addr, "PROXY_AGREED="+r.agreed(keepers, "serve"))
	r.startAgentReady(a)
	out, err := r.operator(20*time.Second, keepers, "publish", r.write("book.toml", "max_attempts = 2\n"), "--parent", "0", "--author", "operator", "--reason", "less repeats")
	r.log("publish: %s", strings.ReplaceAll(out, "\n", "; "))
	r.must(err)
	status, err := a.door("cordon", "s-1")
	if status != 200 {
		r.fail("cordon s-1: %d, %v", status, err)
	}
	yes := time.Now()
	r.log("cordon s-1: 200")
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	answers := r.sendOrders(ctx, a.listen, "order", 50)
	time.Sleep(2 * time.Second)
	if n := len(backends[0].since(yes.Add(graceAfterYes))); n > 0 {
		r.fail("s-1 got %d requests before the restart", n)
	}
	if r.trouble {
		for _, k := range keepers[:2] {
			k.proc.signal(syscall.SIGKILL)
		}
		r.log("killed two keepers")
		time.Sleep(time.Second)
	}
	old := a.proc
	old.signal(syscall.SIGTERM)
	if !old.waitEnd(5 * time.Second) {
		r.fail("the agent did not end")
	}
	r.startAgentReady(a)
	time.Sleep(4 * time.Second)
	stop()
	counts := answers()
	late := len(backends[0].since(yes.Add(graceAfterYes)))
	r.log("answers by status (0: none, as the agent was away): %v; s-1 got %d requests behind the yes", counts, late)
	if late > 0 {
		return broken
	}
	return held
}
