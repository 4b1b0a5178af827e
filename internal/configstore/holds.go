package configstore

import (
	"log/slog"
	"maps"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

// The kinds of what takes a keeper's time, as operators see them in status and behind an election.
const (
	delayIteration = "turn"      // one turn of the loop, all in all
	delayInbox     = "inbox"     // the calls of others that came together
	delaySave      = "save"      // entries, term and vote made to last
	delayReplace   = "kept"      // how far the others had come, and snapshots, made to last
	delayTicks     = "ticks"     // between two ticks
	delayHeartbeat = "heartbeat" // between two words of the leader, as the loop took them
)

// delays is what held a keeper up: for how long at the most by kind, since its start and in the time before an election.
// It decides nothing.
type delays struct {
	longest, recent, previous map[string]float64 // ms
	windowStart               float64            // when recent began
	lastTick, lastHeartbeat   float64            // the last tick, the last word of the leader
	loop                      client.EventLoopStatus
}

func newDelays() delays {
	return delays{longest: map[string]float64{}, recent: map[string]float64{}, previous: map[string]float64{}, windowStart: longAgo, lastTick: longAgo, lastHeartbeat: longAgo}
}

// record notes that something of a kind took from then until now.
func (h *delays) record(kind string, from, now float64) {
	if from == longAgo {
		return
	}
	h.longest[kind] = max(h.longest[kind], now-from)
	h.recent[kind] = max(h.recent[kind], now-from)
}

// tick notes a tick; window is for how long what held the loop counts as recent.
func (h *delays) tick(now, tickMs, window float64) {
	h.record(delayTicks, h.lastTick, now)
	if h.lastTick != longAgo {
		h.loop.LostTicks += int64(max((now-h.lastTick)/tickMs-0.5, 0))
	}
	h.lastTick = now
	if now-h.windowStart > window {
		h.previous, h.recent, h.windowStart = h.recent, map[string]float64{}, now
	}
}

// heartbeat notes a word of the leader.
func (h *delays) heartbeat(now float64) {
	h.record(delayHeartbeat, h.lastHeartbeat, now)
	h.lastHeartbeat = now
}

// queued notes how many calls waited for the loop.
func (h *delays) queued(n int) { h.loop.Queue = max(h.loop.Queue, n) }

// recentLongest is the longest of each kind in the last one to two windows, rounded.
func (h *delays) recentLongest() map[string]int {
	out := map[string]int{}
	for _, m := range []map[string]float64{h.previous, h.recent} {
		for kind, ms := range m {
			out[kind] = max(out[kind], int(ms))
		}
	}
	return out
}

// countElection tells, where an election begins, what held this keeper up before it.
func (k *Replica) countElection(was, now raft.SoftState) {
	if now.RaftState == raft.StateLeader {
		k.delays.lastHeartbeat = longAgo // it hears nobody while it leads
	}
	switch {
	case now.RaftState == raft.StatePreCandidate && was.RaftState != raft.StatePreCandidate:
		k.delays.loop.Elections++
		silent := -1
		if k.delays.lastHeartbeat != longAgo {
			silent = int(k.now() - k.delays.lastHeartbeat)
		}
		slog.Warn("election: no word of the leader", "silent_ms", silent, "longest_ms", k.delays.recentLongest(), "queue", len(k.inbox))
	case was.RaftState == raft.StateLeader && now.RaftState != raft.StateLeader:
		k.delays.loop.SteppedDown++
		slog.Warn("election: this keeper leads no more", "longest_ms", k.delays.recentLongest(), "queue", len(k.inbox))
	}
}

// status is the count for status.
func (h *delays) status() client.EventLoopStatus {
	out := h.loop
	out.LongestMs = maps.Clone(h.longest)
	return out
}
