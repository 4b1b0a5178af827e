package configstore

import (
	"encoding/json"
	"errors"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/disk"
)

const (
	// watermarkIntervalMs is the shortest time between two writes of the watermarks.
	watermarkIntervalMs = 1000
	// maxNonces bounds the number of starts that are remembered for each replica.
	maxNonces = 64
)

var errLateStart = errors.New("a later start of this replica is known: two processes have one identity, or this is late")

const rollbackReason = "its data directory was rolled back: it has less than it had acknowledged; replace this replica"

// rejectedError is the reason for which the messages of a replica are rejected permanently.
type rejectedError string

func (e rejectedError) Error() string { return string(e) }

// detectRollback enables the rejection of replicas whose data directory was rolled back. Lab builds can
// disable it.
var detectRollback = true

// watermarks records up to which entry each replica has acknowledged the log. A replica must still have every
// committed entry that it acknowledged. If it starts with fewer entries, its data directory was rolled back,
// or its disk reported a sync that made nothing durable. Such a replica could vote for a leader that lacks
// acknowledged entries, so it is rejected permanently and has to be replaced.
//
// A leader derives the watermarks from its followers' acknowledgements and sends them to all replicas, so
// that they are known after the leader has failed. Acknowledgements from just before its failure may be
// unknown. Only the event loop uses it.
type watermarks struct {
	Acked    map[uint64]uint64 `json:"acked"`   // last committed entry that a replica acknowledged, by its id
	Rejected map[uint64]string `json:"refused"` // why a replica is rejected, by its id

	dirty   bool                // changed since the last write
	savedAt float64             // time of the last write, ms of the monotonic clock
	nonces  map[uint64][]uint64 // nonces of the known starts of each replica, by its id, the newest last
}

// load reads the watermarks from the data directory.
func (w *watermarks) load(d *disk.Dir) error {
	if _, err := readJSON(d, watermarksFile, w); err != nil {
		return err
	}
	if w.Acked == nil {
		w.Acked = map[uint64]uint64{}
	}
	if w.Rejected == nil {
		w.Rejected = map[uint64]string{}
	}
	w.nonces = map[uint64][]uint64{}
	return nil
}

// accept checks the sender of a message: it must be the latest known start of the replica, and a new start
// must have all entries up to the replica's watermark. last is the sender's last durable entry. An error says
// why the message is rejected.
func (w *watermarks) accept(id, nonce, last uint64) error {
	if reason := w.Rejected[id]; reason != "" {
		return rejectedError(reason)
	}
	starts := w.nonces[id]
	if n := len(starts); n > 0 && starts[n-1] == nonce {
		return nil
	}
	if slices.Contains(starts, nonce) {
		return errLateStart
	}
	if detectRollback && last < w.Acked[id] {
		w.Rejected[id] = rollbackReason
		w.dirty = true
		return rejectedError(rollbackReason)
	}
	starts = append(starts, nonce)
	if len(starts) > maxNonces {
		starts = starts[1:]
	}
	w.nonces[id] = starts
	return nil
}

// merge raises the watermarks to those of a leader.
func (w *watermarks) merge(acked map[uint64]uint64) {
	for id, index := range acked {
		if index > w.Acked[id] {
			w.Acked[id] = index
			w.dirty = true
		}
	}
}

// recordWatermarks updates the watermarks from the followers' progress, if this replica leads, and has the
// writer save them at intervals.
func (r *Replica) recordWatermarks() {
	if r.softState.RaftState == raft.StateLeader {
		commit := r.node.BasicStatus().GetCommit()
		acked := map[uint64]uint64{}
		for id, progress := range r.node.Status().Progress {
			acked[id] = min(progress.Match, commit)
		}
		r.watermarks.merge(acked)
	}
	now := r.now()
	if !r.watermarks.dirty || now-r.watermarks.savedAt <= watermarkIntervalMs || r.disk.full() {
		return
	}
	r.watermarks.dirty = false
	r.watermarks.savedAt = now
	text, err := json.Marshal(&r.watermarks)
	if err != nil {
		slog.Warn("watermarks not written", "err", err)
		return
	}
	submitJob(r, &job{replace: func() error {
		if err := r.dir.Replace(watermarksFile, addChecksum(text)); err != nil {
			slog.Warn("watermarks not written", "err", err)
		}
		return nil
	}})
}
