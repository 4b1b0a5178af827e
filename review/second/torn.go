//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

func init() { cases["torn"] = torn }

const (
	tornTries   = 8
	tornServers = 64
	tornEntries = 1250 // of the log, for which a keeper is away: more than the others keep
)

// torn ends a keeper, has the others take bans meanwhile, starts it, kills it while it writes down the snapshot that
// the leader sends, and starts it again.
func torn(r *rig) int {
	keepers := r.startKeepers()
	var entries []membership.Entry
	nobody := r.freeAddr()
	for i := range tornServers {
		entries = append(entries, entry(fmt.Sprintf("s-%d", i), nobody))
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	r.must(err)
	defer discovery.Close()
	a := r.newAgent("n1", discovery.Addr, "PROXY_AGREED="+r.agreed(keepers, "refuse"))
	r.startAgentReady(a)
	bans := 0
	for try := 0; try < tornTries && time.Since(r.start) < 80*time.Second; try++ {
		if !await(10*time.Second, func() bool { return r.leader(keepers) != nil }) {
			r.fail("no keeper leads")
		}
		leader := r.leader(keepers)
		away := keepers[2]
		if away == leader {
			away = keepers[1]
		}
		away.proc.signal(syscall.SIGKILL)
		away.proc.waitEnd(5 * time.Second)
		r.log("try %d: killed %s", try+1, away.name)
		before, err := leader.status()
		r.must(err)
		after := before
		for after.Applied < before.Applied+tornEntries {
			server := fmt.Sprintf("s-%d", bans%tornServers)
			for _, call := range []string{"cordon", "uncordon"} {
				if !await(10*time.Second, func() bool { status, _ := a.door(call, server); return status == 200 }) {
					r.fail("%s %s was not acknowledged", call, server)
				}
				r.note("%s %s: 200", call, server)
			}
			if bans++; bans%20 == 0 {
				after, err = leader.status()
				r.must(err)
			}
		}
		r.log("%s was away for %d entries of the log, %d versions in all", away.name, after.Applied-before.Applied, after.Last)
		folder := filepath.Join(r.tmp, "data-"+away.name)
		snapshot, log := filepath.Join(folder, "snapshot"), filepath.Join(folder, "log")
		oldSnapshot, oldLog := inode(snapshot), inode(log)
		r.startKeeper(away)
		if r.trouble {
			r.killAtChange(away, snapshot, oldSnapshot)
			r.log("killed %s: snapshot replaced %v, log replaced %v", away.name, inode(snapshot) != oldSnapshot, inode(log) != oldLog)
			r.startKeeper(away)
		}
		back := func() bool { s, err := away.status(); return err == nil && s.Applied >= after.Applied }
		if await(8*time.Second, func() bool { return away.proc.hasEnded() || back() }) && !away.proc.hasEnded() {
			r.log("%s is back", away.name)
			if !r.trouble {
				return held
			}
			continue
		}
		r.log("%s is not back: %s", away.name, whyEnded(away.proc))
		for range 3 {
			r.startKeeper(away)
			if await(5*time.Second, func() bool { return away.proc.hasEnded() || back() }) && !away.proc.hasEnded() {
				r.log("%s is back after another start", away.name)
				return held
			}
			r.log("started again, it ended again: %v", away.proc.hasEnded())
		}
		return broken
	}
	return held
}

// killAtChange kills a keeper as soon as a file of its folder is another one.
func (r *rig) killAtChange(k *keeper, path string, old uint64) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	pid := k.proc.cmd.Process.Pid
	for end := time.Now().Add(8 * time.Second); inode(path) == old; {
		if time.Now().After(end) {
			r.fail("%s got no snapshot", k.name)
		}
	}
	syscall.Kill(pid, syscall.SIGKILL)
	k.proc.waitEnd(5 * time.Second)
}

func inode(path string) uint64 {
	var st syscall.Stat_t
	if syscall.Stat(path, &st) != nil {
		return 0
	}
	return st.Ino
}

// whyEnded returns the line of a process's log that says why it ended.
func whyEnded(p *proc) string {
	text, _ := os.ReadFile(p.logs)
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.Contains(line, "panic") || strings.Contains(line, "error:") {
			return line
		}
	}
	return p.lastLog(3)
}
