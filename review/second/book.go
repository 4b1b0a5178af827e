//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

func init() { cases["book"] = book }

const (
	bookServers  = 3200
	bookMaintain = 240 // servers of which each is banned, and used again
)

func bookServer(i int) string {
	return fmt.Sprintf("orders-server-kagoshima-dc%d-rack%02d-unit%02d-%08x", i%3+1, i%40, i%27, uint32(i*2654435761))
}

// book publishes a book that names the servers of a fleet, bans servers one after the other and ends each ban, and
// then restarts the keepers one after the other.
func book(r *rig) int {
	keepers := r.startKeepers()
	var text strings.Builder
	text.WriteString("listed = true\n[servers]\n")
	var entries []membership.Entry
	nobody := r.freeAddr()
	for i := range bookServers {
		fmt.Fprintf(&text, "%s = { weight = %d.25 }\n", bookServer(i), 1+i%3)
		entries = append(entries, entry(bookServer(i), nobody))
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	r.must(err)
	defer discovery.Close()
	out, err := r.operator(20*time.Second, keepers, "publish", r.write("book.toml", text.String()), "--parent", "0", "--author", "operator", "--reason", "the fleet")
	r.log("publish: %s", strings.ReplaceAll(out, "\n", "; "))
	r.must(err)
	a := r.newAgent("n1", discovery.Addr, "PROXY_AGREED="+r.agreed(keepers, "refuse"))
	r.startAgentReady(a)
	acknowledged := 1
	for i := range bookMaintain {
		for _, call := range []string{"cordon", "uncordon"} {
			sent := time.Now()
			for attempt := 0; ; attempt++ {
				status, err := a.door(call, bookServer(i))
				if status == 200 {
					acknowledged++
					r.note("%s %s: 200 after %v", call, bookServer(i), time.Since(sent).Round(time.Millisecond))
					break
				}
				if attempt == 60 {
					r.fail("%s %s: %d, %v", call, bookServer(i), status, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		if i%40 == 39 {
			r.log("%d servers maintained", i+1)
		}
	}
	out, err = r.operator(10*time.Second, keepers, "history")
	lines := strings.Split(out, "\n")
	r.log("history before (%v): %d lines, the last: %s", err, len(lines), lines[len(lines)-1])
	for _, k := range keepers {
		r.logFolder(k)
	}
	if r.trouble {
		for _, k := range keepers {
			k.proc.signal(syscall.SIGKILL)
			k.proc.waitEnd(5 * time.Second)
			r.log("killed %s", k.name)
			time.Sleep(200 * time.Millisecond)
			r.startKeeper(k)
			back := await(6*time.Second, func() bool { _, err := k.status(); return err == nil || k.proc.hasEnded() }) && !k.proc.hasEnded()
			r.log("%s is back: %v; its log: %s", k.name, back, k.proc.lastLog(2))
		}
	}
	got := ""
	ok := await(10*time.Second, func() bool {
		out, err := r.operator(8*time.Second, keepers, "history")
		got = out
		return err == nil && len(strings.Split(out, "\n")) >= len(lines)
	})
	got = strings.Split(got, "\n")[0]
	r.log("history after: all versions there: %v (%.200s)", ok, got)
	running := 0
	for _, k := range keepers {
		if !k.proc.hasEnded() {
			running++
		}
	}
	r.log("%d acknowledged, %d of 3 keepers run", acknowledged, running)
	if !ok || running < 3 {
		return broken
	}
	return held
}

func (r *rig) logFolder(k *keeper) {
	var sizes []string
	for _, name := range []string{"log", "snapshot"} {
		if info, err := os.Stat(filepath.Join(r.tmp, "data-"+k.name, name)); err == nil {
			sizes = append(sizes, fmt.Sprintf("%s %d bytes", name, info.Size()))
		}
	}
	r.log("folder of %s: %s", k.name, strings.Join(sizes, ", "))
}
