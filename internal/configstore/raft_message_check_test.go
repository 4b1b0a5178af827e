package configstore

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// newClusterWithLeader returns a cluster of three replicas whose leader has published a version, the leader
// and a follower.
func newClusterWithLeader(t *testing.T) (s *testCluster, leader, follower *Replica) {
	t.Helper()
	s = newTestCluster(t, 3)
	leader, _ = s.waitForLeader(10 * electionTicks)
	answer := s.publish(leader)
	s.tick()
	s.tick()
	requirePublished(t, answer)
	for _, replica := range s.replicas {
		if replica != leader {
			follower = replica
		}
	}
	return s, leader, follower
}

// receiveForged passes a message to a replica with another one as its sender. An error says why it was
// rejected.
func (s *testCluster) receiveForged(from, to *Replica, m *pb.Message) error {
	s.t.Helper()
	m.From = proto.Uint64(from.identity.ID)
	m.To = proto.Uint64(to.identity.ID)
	return s.receiveFrom(from, to, m)
}

// entriesAt returns entries of one term with the given indexes.
func entriesAt(term uint64, indexes ...uint64) []*pb.Entry {
	var entries []*pb.Entry
	for _, index := range indexes {
		entries = append(entries, &pb.Entry{Term: &term, Index: &index})
	}
	return entries
}

// Messages that no correct replica sends are rejected: raft would panic on them and end the process.
func TestImpossibleRaftMessagesAreRejected(t *testing.T) {
	snapshot := func(index uint64, data string, members *pb.ConfState) *pb.Snapshot {
		metadata := &pb.SnapshotMetadata{Index: &index, Term: proto.Uint64(1), ConfState: members}
		return &pb.Snapshot{Data: []byte(data), Metadata: metadata}
	}
	for name, c := range map[string]struct {
		toLeader bool
		message  func(term, last uint64) *pb.Message
	}{
		"an unknown type":      {true, func(term, _ uint64) *pb.Message { return &pb.Message{Type: pb.MessageType(99).Enum(), Term: &term} }},
		"a negative type":      {true, func(term, _ uint64) *pb.Message { return &pb.Message{Type: pb.MessageType(-1).Enum(), Term: &term} }},
		"a proposal":           {true, func(uint64, uint64) *pb.Message { return &pb.Message{Type: pb.MsgProp.Enum()} }},
		"a read without entry": {true, func(uint64, uint64) *pb.Message { return &pb.Message{Type: pb.MsgReadIndex.Enum()} }},
		"no term": {false, func(_, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgHeartbeat.Enum(), Commit: &last}
		}},
		"a heartbeat with a commit beyond the log": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgHeartbeat.Enum(), Term: &term, Commit: proto.Uint64(last + 1)}
		}},
		"an acknowledgement beyond the log": {true, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgAppResp.Enum(), Term: &term, Index: proto.Uint64(last + 5)}
		}},
		"entries with a gap": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &last, Entries: entriesAt(term, last+1, last+3)}
		}},
		"entries that go back": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &last, Entries: entriesAt(term+1, 1)}
		}},
		"an entry index that overflows": {false, func(term, _ uint64) *pb.Message {
			index := uint64(math.MaxUint64)
			return &pb.Message{Type: pb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &index, Entries: entriesAt(term, index+1)}
		}},
		"an entry of a later term": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgApp.Enum(), Term: &term, LogTerm: &term, Index: &last, Entries: entriesAt(term+1, last+1)}
		}},
		"no snapshot": {false, func(term, _ uint64) *pb.Message { return &pb.Message{Type: pb.MsgSnap.Enum(), Term: &term} }},
		"a snapshot without voters": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgSnap.Enum(), Term: &term, Snapshot: snapshot(last+5, "{}", &pb.ConfState{Learners: []uint64{1, 2, 3}})}
		}},
		"a snapshot with a member twice": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgSnap.Enum(), Term: &term,
				Snapshot: snapshot(last+5, "{}", &pb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{3}})}
		}},
		"a snapshot with joint members": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgSnap.Enum(), Term: &term,
				Snapshot: snapshot(last+5, "{}", &pb.ConfState{Voters: []uint64{1, 2, 3}, LearnersNext: []uint64{4}})}
		}},
		"a snapshot without a state": {false, func(term, last uint64) *pb.Message {
			return &pb.Message{Type: pb.MsgSnap.Enum(), Term: &term, Snapshot: snapshot(last+5, "", &pb.ConfState{Voters: []uint64{1, 2, 3}})}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s, leader, follower := newClusterWithLeader(t)
			from, to := leader, follower
			if c.toLeader {
				from, to = follower, leader
			}
			last, _ := to.storage.LastIndex()
			if err := s.receiveForged(from, to, c.message(leader.node.BasicStatus().GetTerm(), last)); err == nil {
				t.Error("the message was accepted")
			}
			answer := s.publish(leader)
			s.tick()
			s.tick()
			requirePublished(t, answer)
		})
	}
}

// A message whose sender is the receiving replica itself is rejected.
func TestOwnMessagesFromOutsideAreRejected(t *testing.T) {
	s, leader, _ := newClusterWithLeader(t)
	term := leader.node.BasicStatus().GetTerm()
	if err := s.receiveForged(leader, leader, &pb.Message{Type: pb.MsgAppResp.Enum(), Term: &term}); err == nil {
		t.Error("the message was accepted")
	}
}

// A replica that restarts with an older copy of its data directory rejects the leader's heartbeats with a
// reason. It used to panic on the first heartbeat after each start.
func TestReplicaWithOlderDiskDoesNotPanic(t *testing.T) {
	s := newTestCluster(t, 3)
	leader, _ := s.waitForLeader(10 * electionTicks)
	i := 0
	for s.replicas[i] == leader {
		i++
	}
	old := s.replicas[i]
	older := filepath.Join(t.TempDir(), "older")
	if err := os.CopyFS(older, os.DirFS(old.cfg.Data)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		answer := s.publish(leader)
		s.tick()
		s.tick()
		requirePublished(t, answer)
	}
	dir, err := disk.Open(older)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	restarted := newReplica(t.Context(), old.cfg, dir, old.identity)
	restarted.runPeer = old.runPeer
	s.requireNoError(restarted.watermarks.load(dir))
	s.requireNoError(restarted.openStorage())
	last, _ := restarted.storage.LastIndex()
	status := leader.node.BasicStatus()
	if status.GetCommit() <= last {
		t.Fatalf("the older data directory already has entry %d, the commit index is %d", last, status.GetCommit())
	}
	heartbeat := &pb.Message{Type: pb.MsgHeartbeat.Enum(), Term: proto.Uint64(status.GetTerm()), Commit: proto.Uint64(status.GetCommit())}
	if err := s.receiveForged(leader, restarted, heartbeat); err == nil {
		t.Error("the heartbeat was accepted")
	}
	s.requireNoError(restarted.processReady())
}

// No single message of another replica makes a replica panic, whatever its fields contain. Each replica
// receives one random message only: the effect of several forged messages on the consensus is not tested.
func TestRandomRaftMessagesDoNotPanic(t *testing.T) {
	const clusters, seed = 60, 59
	rng := rand.New(rand.NewPCG(seed, 0))
	for range clusters {
		s, leader, _ := newClusterWithLeader(t)
		last, _ := leader.storage.LastIndex()
		for _, to := range s.replicas {
			from := s.replicas[rng.IntN(len(s.replicas))]
			m := randomMessage(rng, leader.node.BasicStatus().GetTerm(), last)
			if err := s.receiveForged(from, to, m); err == nil && from == to {
				t.Errorf("%v of the replica itself was accepted", m)
			}
			s.requireNoError(to.processReady())
			for len(to.writer.jobs) > 0 {
				to.writer.runBatch(<-to.writer.jobs)
				for len(to.writer.done) > 0 {
					s.requireNoError(to.jobFinished(<-to.writer.done))
				}
				s.requireNoError(to.processReady())
			}
			to.tick()
			s.requireNoError(to.processReady())
		}
	}
}

// randomMessage returns a random message whose fields are mostly close to the given term and last index.
func randomMessage(rng *rand.Rand, term, last uint64) *pb.Message {
	near := func(value uint64) *uint64 {
		drawn := value + rng.Uint64N(5) - min(2, value)
		if rng.IntN(20) == 0 {
			drawn = rng.Uint64()
		}
		return &drawn
	}
	m := &pb.Message{
		Type:       pb.MessageType(rng.IntN(30) - 1).Enum(),
		Term:       near(term),
		LogTerm:    near(term),
		Index:      near(last),
		Commit:     near(last),
		Reject:     proto.Bool(rng.IntN(2) == 0),
		RejectHint: near(last),
		Context:    []byte{byte(rng.IntN(4))},
	}
	for range rng.IntN(4) {
		kind := pb.EntryType(rng.IntN(3)).Enum()
		m.Entries = append(m.Entries, &pb.Entry{Type: kind, Term: near(term), Index: near(last + 1)})
	}
	if rng.IntN(2) == 0 {
		members := &pb.ConfState{Voters: []uint64{1, 2, 3}}
		if rng.IntN(3) == 0 {
			members.Learners = []uint64{rng.Uint64N(5)}
		}
		m.Snapshot = &pb.Snapshot{Data: []byte("{}"), Metadata: &pb.SnapshotMetadata{Index: near(last), Term: near(term), ConfState: members}}
	}
	if rng.IntN(10) == 0 {
		m.Term = nil // like a message of the replica's own process
	}
	return m
}
