package configstore

import (
	"log/slog"
	"maps"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

// The kinds of delays of the loop, as operators see them in status and in the log at an election.
const (
	delayIteration = "turn"      // one iteration of the loop
	delayInbox     = "inbox"     // the posted functions that one iteration ran
	delaySave      = "save"      // making entries, term and vote durable
	delayReplace   = "kept"      // making snapshots and watermarks durable
	delayTicks     = "ticks"     // between two ticks
	delayHeartbeat = "heartbeat" // between two messages of the leader, as the loop handled them
)

// delays records the longest delays by kind, in ms, since the start and in the time before an election. It decides
// nothing and belongs to the loop.
type delays struct {
	longest       map[string]float64
	recent        map[string]float64 // in the current window
	previous      map[string]float64 // in the window before
	windowStart   float64            // ms of the monotonic clock, like the following
	lastTick      float64
	lastHeartbeat float64
	loop          client.EventLoopStatus
}

func newDelays() delays {
	return delays{
		longest:       map[string]float64{},
		recent:        map[string]float64{},
		previous:      map[string]float64{},
		windowStart:   longAgo,
		lastTick:      longAgo,
		lastHeartbeat: longAgo,
	}
}

// record notes that something of a kind lasted from start to now.
func (d *delays) record(kind string, start, now float64) {
	if start == longAgo {
		return
	}
	d.longest[kind] = max(d.longest[kind], now-start)
	d.recent[kind] = max(d.recent[kind], now-start)
}

// tick notes a tick, of which there is one each tickMs, and begins a new window once this one is over.
func (d *delays) tick(now, tickMs, windowMs float64) {
	d.record(delayTicks, d.lastTick, now)
	if d.lastTick != longAgo {
		d.loop.LostTicks += int64(max((now-d.lastTick)/tickMs-0.5, 0))
	}
	d.lastTick = now
	if now-d.windowStart > windowMs {
		d.previous = d.recent
		d.recent = map[string]float64{}
		d.windowStart = now
	}
}

// heartbeat notes a message of the leader.
func (d *delays) heartbeat(now float64) {
	d.record(delayHeartbeat, d.lastHeartbeat, now)
	d.lastHeartbeat = now
}

// queued notes how many functions waited for the loop.
func (d *delays) queued(n int) { d.loop.Queue = max(d.loop.Queue, n) }

// recentLongest is the longest of each kind in the last one to two windows, in whole ms.
func (d *delays) recentLongest() map[string]int {
	out := map[string]int{}
	for _, window := range []map[string]float64{d.previous, d.recent} {
		for kind, ms := range window {
			out[kind] = max(out[kind], int(ms))
		}
	}
	return out
}

// status is what the replica's status says of its loop.
func (d *delays) status() client.EventLoopStatus {
	out := d.loop
	out.LongestMs = maps.Clone(d.longest)
	return out
}

// countElection counts and logs the beginning of an election, with the delays of this replica before it.
func (r *Replica) countElection(previous, next raft.SoftState) {
	if next.RaftState == raft.StateLeader {
		r.delays.lastHeartbeat = longAgo // a leader receives none
	}
	switch {
	case next.RaftState == raft.StatePreCandidate && previous.RaftState != raft.StatePreCandidate:
		r.delays.loop.Elections++
		silentMs := -1
		if r.delays.lastHeartbeat != longAgo {
			silentMs = int(r.now() - r.delays.lastHeartbeat)
		}
		slog.Warn("election: no heartbeat of the leader", "silent_ms", silentMs,
			"longest_ms", r.delays.recentLongest(), "queue", len(r.inbox))
	case previous.RaftState == raft.StateLeader && next.RaftState != raft.StateLeader:
		r.delays.loop.SteppedDown++
		slog.Warn("election: this replica leads no more", "longest_ms", r.delays.recentLongest(), "queue", len(r.inbox))
	}
}
