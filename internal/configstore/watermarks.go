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
	// maxNonces bounds the starts of a replica that are told apart.
	maxNonces = 64
)

var errLateStart = errors.New("a later start of this replica is known: two processes have one identity, or this is late")

const rollbackReason = "its data directory was rolled back: it has less than it had acknowledged; replace this replica"

// rejectedError is why a replica's messages are rejected for good.
type rejectedError string

func (e rejectedError) Error() string { return string(e) }

// detectRollback has replicas rejected whose data directory went back. Lab builds can disable it.
var detectRollback = true

// watermarks is what a replica knows of how far the others had come. A replica must still have every committed entry that
// it acknowledged. One that starts with less had its data directory rolled back, or its disk lied: it would vote for
// a leader that lacks what was acknowledged, so it is rejected for good and has to be replaced.
//
// A leader knows the watermarks from its followers' acknowledgements and sends them to all, so that those who decide
// after its end know them too. What was acknowledged just before its end they may not know. It belongs to the loop.
type watermarks struct {
	Acked    map[uint64]uint64 `json:"acked"`   // last committed entry that a replica has, by id
	Rejected map[uint64]string `json:"refused"` // why a replica is rejected, by id

	dirty   bool                // changed since they were written
	savedAt float64             // ms of the monotonic clock
	nonces  map[uint64][]uint64 // starts of each replica, by id, the newest last
}

// load reads the file of the data directory.
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

// accept checks a message: which start of a replica sent it, and how far its data directory had come by then. An error
// is why it is rejected.
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

// merge takes a leader's watermarks.
func (w *watermarks) merge(acked map[uint64]uint64) {
	for id, index := range acked {
		if index > w.Acked[id] {
			w.Acked[id] = index
			w.dirty = true
		}
	}
}

// recordWatermarks notes, in the leader, how far each follower has come, and writes the watermarks now and then.
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
		if err := r.dir.Replace(watermarksFile, seal(text)); err != nil {
			slog.Warn("watermarks not written", "err", err)
		}
		return nil
	}})
}
