package configstore

import (
	"log/slog"
	"maps"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

// Kinds of delays of the event loop. Operators see these names in the status and in the log entry of an
// election.
const (
	delayIteration = "turn"      // duration of one iteration of the loop
	delayInbox     = "inbox"     // duration of the posted functions that one iteration ran
	delaySave      = "save"      // time to make entries, term and vote durable
	delayReplace   = "kept"      // time to make snapshots and watermarks durable
	delayTicks     = "ticks"     // time between two ticks
	delayHeartbeat = "heartbeat" // time between handling two messages of the leader
)

// delays records the longest delays by kind, in ms, since the start and in the time before an election. It is
// for diagnosis only: no decision depends on it. Only the event loop uses it.
type delays struct {
	longest       map[string]float64
	recent        map[string]float64 // in the current window
	previous      map[string]float64 // in the previous window
	windowStart   float64            // ms of the monotonic clock, like the two fields below
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

// record records a delay of the given kind that lasted from start to now.
func (d *delays) record(kind string, start, now float64) {
	if start == longAgo {
		return
	}
	d.longest[kind] = max(d.longest[kind], now-start)
	d.recent[kind] = max(d.recent[kind], now-start)
}

// tick records a tick, which is due every tickMs, and begins a new window when the current one is over.
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

// heartbeat records a message of the leader.
func (d *delays) heartbeat(now float64) {
	d.record(delayHeartbeat, d.lastHeartbeat, now)
	d.lastHeartbeat = now
}

// queued records how many functions were waiting for the loop.
func (d *delays) queued(n int) { d.loop.Queue = max(d.loop.Queue, n) }

// recentLongest returns the longest delay of each kind in the current and the previous window, in whole ms.
func (d *delays) recentLongest() map[string]int {
	out := map[string]int{}
	for _, window := range []map[string]float64{d.previous, d.recent} {
		for kind, ms := range window {
			out[kind] = max(out[kind], int(ms))
		}
	}
	return out
}

// status returns the part of the replica's status about its event loop.
func (d *delays) status() client.EventLoopStatus {
	out := d.loop
	out.LongestMs = maps.Clone(d.longest)
	return out
}

// countElection counts and logs the start of an election by this replica, or that it stopped leading,
// together with its recent delays.
func (r *Replica) countElection(previous, next raft.SoftState) {
	if next.RaftState == raft.StateLeader {
		r.delays.lastHeartbeat = longAgo // a leader receives no heartbeats
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
