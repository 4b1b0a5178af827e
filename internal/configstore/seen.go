package configstore

import (
	"encoding/json"
	"log/slog"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/disk"
)

// watermarkIntervalMs is how often what is known of the others is written down, ms.
const watermarkIntervalMs = 1000

// watermarks is what a keeper knows of how far the others had come: an entry that a keeper acknowledged and that is committed
// is one it must still have. One that starts with less had its folder taken back, or its disk lied: it would vote for
// who lacks what was acknowledged, so it is not heard any more, for good, and is to be replaced.
//
// A leader knows it by its followers' acknowledgements and tells all; so that also those hear of it who have to decide
// after the leader's end. What was acknowledged in the last moment before it they may not know: see the design note.
type watermarks struct {
	Acked    map[uint64]uint64 `json:"acked"`   // last committed entry that it has, by id
	Rejected map[uint64]string `json:"refused"` // ids that are not heard, and why
	dirty    bool
	savedAt  float64
	nonces   map[uint64][]uint64 // starts of each id that were heard since this start, the newest last
}

// detectRollback: keepers that went back are not heard. A lab build may leave it out.
var detectRollback = true

// maxNonces bounds the starts of a keeper that are told apart.
const maxNonces = 64

func (s *watermarks) load(d *disk.Dir) error {
	if _, err := readJSON(d, watermarksFile, s); err != nil {
		return err
	}
	if s.Acked == nil {
		s.Acked = map[uint64]uint64{}
	}
	if s.Rejected == nil {
		s.Rejected = map[uint64]string{}
	}
	s.nonces = map[uint64][]uint64{}
	return nil
}

// accept judges a message of a keeper: which start of it sent it, and how far its folder had come by then. why says that
// it is not to be heard; "": it is.
func (s *watermarks) accept(id, nonce, last uint64) (why string) {
	if why := s.Rejected[id]; why != "" {
		return why
	}
	starts := s.nonces[id]
	if n := len(starts); n > 0 && starts[n-1] == nonce {
		return ""
	}
	for _, old := range starts {
		if old == nonce {
			return "a later start of this keeper was heard: two processes have one identity, or this is late"
		}
	}
	if detectRollback && last < s.Acked[id] {
		s.Rejected[id] = "its folder went back: it has less than it had acknowledged; replace this keeper"
		s.dirty = true
		return s.Rejected[id]
	}
	if starts = append(starts, nonce); len(starts) > maxNonces {
		starts = starts[1:]
	}
	s.nonces[id] = starts
	return ""
}

// merge takes what a leader says of how far others had come.
func (s *watermarks) merge(acked map[uint64]uint64) {
	for id, index := range acked {
		if index > s.Acked[id] {
			s.Acked[id], s.dirty = index, true
		}
	}
}

// recordWatermarks notes, in the leader, how far each follower has come, and keeps what is known, now and then.
func (k *Replica) recordWatermarks() {
	if k.softState.RaftState == raft.StateLeader {
		commit := k.node.BasicStatus().GetCommit()
		now := map[uint64]uint64{}
		for id, p := range k.node.Status().Progress {
			now[id] = min(p.Match, commit)
		}
		k.watermarks.merge(now)
	}
	if now := clock.Steady(); k.watermarks.dirty && now-k.watermarks.savedAt > watermarkIntervalMs && k.jobsSubmitted-k.jobsDone < maxPendingJobs {
		k.watermarks.dirty, k.watermarks.savedAt = false, now
		text, err := json.Marshal(&k.watermarks)
		if err != nil {
			slog.Warn("how far the others had come is not kept", "err", err)
			return
		}
		submitJob(k, &job{replace: func() error {
			if err := k.dir.Replace(watermarksFile, seal(text)); err != nil {
				slog.Warn("how far the others had come is not kept", "err", err)
			}
			return nil
		}})
	}
}
