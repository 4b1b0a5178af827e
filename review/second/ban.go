//go:build review

package main

import (
	"context"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

func init() { cases["ban"] = ban }

// graceAfterYes is how long after the yes to a ban a server may still get new requests: drainGraceMs, and 50 ms.
const graceAfterYes = 300 * time.Millisecond

// ban kills the keeper that leads, waits until another one leads, and bans a server at the agent's door.
func ban(r *rig) int {
	keepers := r.startKeepers()
	backends := []*backend{r.newBackend("s-1", 5*time.Millisecond, true), r.newBackend("s-2", 5*time.Millisecond, true), r.newBackend("s-3", 5*time.Millisecond, true)}
	discovery, err := lab.NewDiscoveryService(entry("s-1", backends[0].addr), entry("s-2", backends[1].addr), entry("s-3", backends[2].addr))
	r.must(err)
	defer discovery.Close()
	a := r.newAgent("n1", discovery.Addr, "PROXY_AGREED="+r.agreed(keepers, "refuse"))
	r.startAgentReady(a)
	out, err := r.operator(20*time.Second, keepers, "publish", r.write("book.toml", "max_attempts = 2\n"), "--parent", "0", "--author", "operator", "--reason", "less repeats")
	r.log("publish: %s", strings.ReplaceAll(out, "\n", "; "))
	r.must(err)
	ctx, stop := context.WithCancel(context.Background())
	answers := r.sendOrders(ctx, a.listen, "order", 100)
	defer stop()
	time.Sleep(2 * time.Second)
	if len(backends[0].since(r.start)) == 0 {
		r.fail("s-1 got nothing before the ban")
	}
	if r.trouble {
		leader := r.leader(keepers)
		if leader == nil {
			r.fail("no keeper leads")
		}
		leader.proc.signal(syscall.SIGKILL)
		leader.proc.waitEnd(5 * time.Second)
		r.log("killed %s, which led", leader.name)
		if !await(5*time.Second, func() bool { return r.leader(keepers) != nil }) {
			r.fail("no other keeper leads")
		}
		r.log("%s leads", r.leader(keepers).name)
	}
	var yes time.Time
	for attempt := 0; ; attempt++ {
		status, err := a.door("cordon", "s-1")
		r.log("cordon s-1: %d, %v", status, err)
		if status == 200 {
			yes = time.Now()
			break
		}
		if attempt == 20 {
			r.fail("the ban was never acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	stop()
	counts := answers()
	late := backends[0].since(yes.Add(graceAfterYes))
	for _, run := range late {
		r.note("s-1 began %s %.3f s after the yes", run.id, run.at.Sub(yes).Seconds())
	}
	r.log("answers by status (0: none): %v; s-1 got %d in all, s-2 %d, s-3 %d", counts, len(backends[0].since(r.start)), len(backends[1].since(r.start)), len(backends[2].since(r.start)))
	if len(late) > 0 {
		r.log("s-1 got %d new requests later than %v after the yes, the last %.3f s after it", len(late), graceAfterYes, late[len(late)-1].at.Sub(yes).Seconds())
		return broken
	}
	return held
}
