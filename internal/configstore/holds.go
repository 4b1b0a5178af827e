package configstore

import (
	"log/slog"
	"maps"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

// The kinds of what takes a keeper's time, as operators see them in status and behind an election.
const (
	holdTurn  = "turn"      // one turn of the loop, all in all
	holdInbox = "inbox"     // the calls of others that came together
	holdSave  = "save"      // entries, term and vote made to last
	holdKept  = "kept"      // how far the others had come, and snapshots, made to last
	holdTicks = "ticks"     // between two ticks
	holdLead  = "heartbeat" // between two words of the leader, as the loop took them
)

// holds is what held a keeper up: for how long at the most by kind, since its start and in the time before an election.
// It decides nothing.
type holds struct {
	most, recent, before map[string]float64 // ms
	turned               float64            // when recent began
	ticked, heard        float64            // the last tick, the last word of the leader
	loop                 client.EventLoopStatus
}

func newHolds() holds {
	return holds{most: map[string]float64{}, recent: map[string]float64{}, before: map[string]float64{}, turned: long, ticked: long, heard: long}
}

// took notes that something of a kind took from then until now.
func (h *holds) took(kind string, from, now float64) {
	if from == long {
		return
	}
	h.most[kind] = max(h.most[kind], now-from)
	h.recent[kind] = max(h.recent[kind], now-from)
}

// tick notes a tick; window is for how long what held the loop counts as recent.
func (h *holds) tick(now, tickMs, window float64) {
	h.took(holdTicks, h.ticked, now)
	if h.ticked != long {
		h.loop.LostTicks += int64(max((now-h.ticked)/tickMs-0.5, 0))
	}
	h.ticked = now
	if now-h.turned > window {
		h.before, h.recent, h.turned = h.recent, map[string]float64{}, now
	}
}

// lead notes a word of the leader.
func (h *holds) lead(now float64) { h.took(holdLead, h.heard, now); h.heard = now }

// queued notes how many calls waited for the loop.
func (h *holds) queued(n int) { h.loop.Queue = max(h.loop.Queue, n) }

// last is the longest of each kind in the last one to two windows, rounded.
func (h *holds) last() map[string]int {
	out := map[string]int{}
	for _, m := range []map[string]float64{h.before, h.recent} {
		for kind, ms := range m {
			out[kind] = max(out[kind], int(ms))
		}
	}
	return out
}

// told tells, where an election begins, what held this keeper up before it.
func (k *Replica) told(was, now raft.SoftState) {
	if now.RaftState == raft.StateLeader {
		k.holds.heard = long // it hears nobody while it leads
	}
	switch {
	case now.RaftState == raft.StatePreCandidate && was.RaftState != raft.StatePreCandidate:
		k.holds.loop.Elections++
		silent := -1
		if k.holds.heard != long {
			silent = int(k.now() - k.holds.heard)
		}
		slog.Warn("election: no word of the leader", "silent_ms", silent, "longest_ms", k.holds.last(), "queue", len(k.inbox))
	case was.RaftState == raft.StateLeader && now.RaftState != raft.StateLeader:
		k.holds.loop.SteppedDown++
		slog.Warn("election: this keeper leads no more", "longest_ms", k.holds.last(), "queue", len(k.inbox))
	}
}

// status is the count for status.
func (h *holds) status() client.EventLoopStatus {
	out := h.loop
	out.LongestMs = maps.Clone(h.most)
	return out
}
