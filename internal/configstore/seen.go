package configstore

import (
	"encoding/json"
	"log/slog"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/disk"
)

// seenEvery is how often what is known of the others is written down, ms.
const seenEvery = 1000

// seen is what a keeper knows of how far the others had come: an entry that a keeper acknowledged and that is committed
// is one it must still have. One that starts with less had its folder taken back, or its disk lied: it would vote for
// who lacks what was acknowledged, so it is not heard any more, for good, and is to be replaced.
//
// A leader knows it by its followers' acknowledgements and tells all; so that also those hear of it who have to decide
// after the leader's end. What was acknowledged in the last moment before it they may not know: see the design note.
type seen struct {
	Acked   map[uint64]uint64 `json:"acked"`   // last committed entry that it has, by id
	Refused map[uint64]string `json:"refused"` // ids that are not heard, and why
	dirty   bool
	at      float64
	nonces  map[uint64][]uint64 // starts of each id that were heard since this start, the newest last
}

// watched: keepers that went back are not heard. A lab build may leave it out.
var watched = true

// mostNonces bounds the starts of a keeper that are told apart.
const mostNonces = 64

func (s *seen) load(d *disk.Dir) error {
	if _, err := read(d, seenFile, s); err != nil {
		return err
	}
	if s.Acked == nil {
		s.Acked = map[uint64]uint64{}
	}
	if s.Refused == nil {
		s.Refused = map[uint64]string{}
	}
	s.nonces = map[uint64][]uint64{}
	return nil
}

// hear judges a message of a keeper: which start of it sent it, and how far its folder had come by then. why says that
// it is not to be heard; "": it is.
func (s *seen) hear(id, nonce, last uint64) (why string) {
	if why := s.Refused[id]; why != "" {
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
	if watched && last < s.Acked[id] {
		s.Refused[id] = "its folder went back: it has less than it had acknowledged; replace this keeper"
		s.dirty = true
		return s.Refused[id]
	}
	if starts = append(starts, nonce); len(starts) > mostNonces {
		starts = starts[1:]
	}
	s.nonces[id] = starts
	return ""
}

// told takes what a leader says of how far others had come.
func (s *seen) told(acked map[uint64]uint64) {
	for id, index := range acked {
		if index > s.Acked[id] {
			s.Acked[id], s.dirty = index, true
		}
	}
}

// watermarks notes, in the leader, how far each follower has come, and keeps what is known, now and then.
func (k *Replica) watermarks() {
	if k.soft.RaftState == raft.StateLeader {
		commit := k.rn.BasicStatus().GetCommit()
		now := map[uint64]uint64{}
		for id, p := range k.rn.Status().Progress {
			now[id] = min(p.Match, commit)
		}
		k.seen.told(now)
	}
	if now := clock.Steady(); k.seen.dirty && now-k.seen.at > seenEvery && k.begun-k.ended < mostJobs {
		k.seen.dirty, k.seen.at = false, now
		text, err := json.Marshal(&k.seen)
		if err != nil {
			slog.Warn("how far the others had come is not kept", "err", err)
			return
		}
		hand(k, &job{do: func() error {
			if err := k.dir.Replace(seenFile, seal(text)); err != nil {
				slog.Warn("how far the others had come is not kept", "err", err)
			}
			return nil
		}})
	}
}
