package configstore

import (
	"context"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// testCluster is a few replicas without goroutines, sockets and timers: the test makes their ticks, delivers their
// messages and runs the jobs of their disks.
type testCluster struct {
	t        *testing.T
	replicas []*Replica
	stalled  map[*Replica]bool // disks that don't answer
	dead     map[*Replica]bool
	version  uint64
	// onMessage is called with each message before it is delivered.
	onMessage func(from *Replica, m *pb.Message)
}

func newTestCluster(t *testing.T, n int) *testCluster {
	s := &testCluster{t: t, stalled: map[*Replica]bool{}, dead: map[*Replica]bool{}, onMessage: func(*Replica, *pb.Message) {}}
	formed, members := map[string]uint64{}, map[string]string{}
	for i := range n {
		name := fmt.Sprintf("k%d", i+1)
		formed[name], members[name] = uint64(i+1), "127.0.0.1:1"
	}
	for i := range n {
		name := fmt.Sprintf("k%d", i+1)
		data := filepath.Join(t.TempDir(), name)
		dir, err := disk.Open(data)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { dir.Close() })
		replica := newReplica(t.Context(), &Config{Name: name, Data: data, Members: members, LeaseMs: 2000, ServerRulesMs: 3000, TickMs: 25}, dir,
			&Identity{Name: name, ID: uint64(i + 1), Cluster: 1, InitialMembers: formed})
		replica.runPeer = func(*peer, context.Context) {}
		if err := replica.watermarks.load(dir); err != nil {
			t.Fatal(err)
		}
		if err := replica.openStorage(); err != nil {
			t.Fatal(err)
		}
		s.replicas = append(s.replicas, replica)
	}
	t.Cleanup(func() {
		for _, replica := range s.replicas {
			replica.goroutines.Wait()
		}
	})
	return s
}

func (s *testCluster) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// settle runs the jobs of the disks that are not stalled and delivers messages, until there are none.
func (s *testCluster) settle() {
	s.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, replica := range s.replicas {
			if s.dead[replica] {
				continue
			}
			s.must(replica.processReady())
			for !s.stalled[replica] && len(replica.writer.jobs) > 0 {
				busy = true
				replica.writer.runBatch(<-replica.writer.jobs)
				for len(replica.writer.done) > 0 {
					s.must(replica.jobFinished(<-replica.writer.done))
				}
				s.must(replica.processReady())
			}
			for _, p := range replica.peers {
				for len(p.heartbeats)+len(p.queue) > 0 {
					busy = true
					s.deliverNext(replica, p)
				}
			}
		}
	}
}

// deliverNext delivers the next message of a peer, heartbeats first.
func (s *testCluster) deliverNext(from *Replica, p *peer) {
	s.t.Helper()
	queue := p.heartbeats
	if len(queue) == 0 {
		queue = p.queue
	}
	m := <-queue
	s.onMessage(from, m)
	if to := s.replicas[p.id-1]; !s.dead[to] {
		s.must(s.receiveFrom(from, to, m))
	}
}

// receiveFrom has a replica take one message of another; an error is why it is rejected.
func (s *testCluster) receiveFrom(from, to *Replica, m *pb.Message) error {
	s.t.Helper()
	text, err := proto.Marshal(m)
	s.must(err)
	messages := &raftMessages{To: to.identity.ID, Msgs: [][]byte{text}}
	from.setSender(messages)
	return to.receive(messages)
}

// tick makes a tick of all replicas that live; what they send is delivered.
func (s *testCluster) tick() {
	s.t.Helper()
	for _, replica := range s.replicas {
		if !s.dead[replica] {
			s.must(replica.handleTick())
		}
	}
	s.settle()
}

// waitForLeader ticks until a replica leads; it returns that and the number of ticks.
func (s *testCluster) waitForLeader(maxTicks int) (*Replica, int) {
	s.t.Helper()
	for n := range maxTicks {
		for _, replica := range s.replicas {
			if !s.dead[replica] && replica.softState.RaftState == raft.StateLeader && replica.lessor != nil {
				return replica, n
			}
		}
		s.tick()
	}
	s.t.Fatalf("no replica leads after %d ticks", maxTicks)
	return nil, 0
}

func (s *testCluster) elections() (n int64) {
	for _, replica := range s.replicas {
		n += replica.delays.loop.Elections + replica.delays.loop.SteppedDown
	}
	return n
}

// publish proposes a version at a replica; the answer comes once it is applied there.
func (s *testCluster) publish(replica *Replica) chan proposalResult {
	s.version++
	answer := make(chan proposalResult, 1)
	id := fmt.Sprint("p", s.version)
	config := &sharedconfig.Config{Cordoned: []string{id}}
	command := &history.Command{Publish: &history.Publish{ID: id, Parent: s.version - 1, Config: config}}
	replica.propose(id, command, answer)
	return answer
}

// requirePublished fails unless a publish has been applied by now.
func requirePublished(t *testing.T, answer chan proposalResult) {
	t.Helper()
	select {
	case r := <-answer:
		if r.err != nil {
			t.Error(r.err)
		}
	default:
		t.Error("a publish has no answer")
	}
}

// TestSlowDiskStartsNoElection stalls disks for longer than any election timeout, that of the leader, of the others or of
// all, each time with an entry to save: the leader goes on and nobody requests votes.
func TestSlowDiskStartsNoElection(t *testing.T) {
	for _, whose := range []string{"the leader's", "the others'", "all", "one other's"} {
		t.Run(whose, func(t *testing.T) {
			s := newTestCluster(t, 5)
			lead, _ := s.waitForLeader(10 * electionTicks)
			s.publish(lead)
			for range 3 * electionTicks {
				s.tick()
			}
			term, before := lead.node.BasicStatus().GetTerm(), s.elections()
			for i, replica := range s.replicas {
				switch whose {
				case "the leader's":
					s.stalled[replica] = replica == lead
				case "the others'":
					s.stalled[replica] = replica != lead
				case "one other's":
					s.stalled[replica] = replica == s.replicas[(slices.Index(s.replicas, lead)+1)%len(s.replicas)]
				default:
					s.stalled[replica] = i >= 0
				}
			}
			answer := s.publish(lead)
			for range diskStallTicks - 1 { // the last moment before the disk counts as stalled
				s.tick()
			}
			if whose == "one other's" {
				requirePublished(t, answer)
			} else if len(answer) > 0 {
				t.Fatalf("%+v was answered before it is durable", <-answer)
			}
			clear(s.stalled)
			for range 3 * electionTicks {
				s.tick()
			}
			if whose != "one other's" {
				requirePublished(t, answer)
			}
			now := lead.node.BasicStatus().GetTerm()
			if now != term || s.elections() != before || lead.softState.RaftState != raft.StateLeader {
				t.Errorf("term %d, then %d; %d elections; %v", term, now, s.elections()-before, lead.softState)
			}
			for _, replica := range s.replicas {
				if last := replica.state.History.Last(); last != s.version {
					t.Errorf("%s has version %d of %d", replica.cfg.Name, last, s.version)
				}
			}
		})
	}
}

// TestDeadLeaderIsReplaced has a leader that ended replaced within two election timeouts, and one whose disk stalled for
// good within diskStallTicks more; once the disk answers again that replica is a follower.
func TestDeadLeaderIsReplaced(t *testing.T) {
	for _, x := range []struct {
		failure  string
		maxTicks int
	}{{"ended", 2*electionTicks + 3}, {"its disk", diskStallTicks + 2*electionTicks + 3}} {
		t.Run(x.failure, func(t *testing.T) {
			for attempts := 1; ; attempts++ { // candidates of the same tick both lose: that is raft's random draw
				s := newTestCluster(t, 5)
				lead, _ := s.waitForLeader(10 * electionTicks)
				for range electionTicks {
					s.tick()
				}
				s.dead[lead], s.stalled[lead] = x.failure == "ended", true
				s.publish(lead)
				took := 0
				var next *Replica
				for ; next == nil && took < 4*x.maxTicks; took++ {
					s.tick()
					for _, replica := range s.replicas {
						if replica != lead && replica.softState.RaftState == raft.StateLeader {
							next = replica
						}
					}
				}
				if next != nil && took <= x.maxTicks {
					clear(s.stalled)
					for range 3 * electionTicks {
						s.tick()
					}
					if !s.dead[lead] && lead.softState.RaftState != raft.StateFollower {
						t.Errorf("its disk answers again and its state is %v", lead.softState)
					}
					return
				}
				if attempts == 5 {
					t.Fatalf("five times not replaced within %d ticks, %d the last time", x.maxTicks, took)
				}
			}
		})
	}
}

// TestNothingIsSentBeforeTermAndVoteAreDurable checks that no replica learns of a term or vote that its sender could
// forget in a crash; else the sender could vote twice in one term.
func TestNothingIsSentBeforeTermAndVoteAreDurable(t *testing.T) {
	s := newTestCluster(t, 3)
	s.onMessage = func(from *Replica, m *pb.Message) {
		state, _, _ := from.storage.InitialState()
		if m.GetType() != pb.MsgPreVote && m.GetType() != pb.MsgPreVoteResp && m.GetTerm() > state.GetTerm() {
			t.Errorf("%s sent %v of term %d, durable is term %d", from.cfg.Name, m.GetType(), m.GetTerm(), state.GetTerm())
		}
	}
	lead, _ := s.waitForLeader(10 * electionTicks)
	for i := range 4 * electionTicks { // disks that answer now and then, while the leader changes
		for j, replica := range s.replicas {
			s.stalled[replica] = (i+j)%3 != 0
		}
		if i%electionTicks == 0 {
			if to := lead.transferTarget(); to != 0 {
				lead.node.TransferLeader(to)
			}
		}
		for _, replica := range s.replicas {
			if replica.softState.RaftState == raft.StateLeader {
				lead = replica
				s.publish(replica)
			}
		}
		s.tick()
	}
	if term := lead.node.BasicStatus().GetTerm(); term < 4 {
		t.Errorf("term %d: too few leaders to tell", term)
	}
}

// TestInboxIsHandledBeforeATick checks that a message of the leader that is in the inbox at a tick is handled first.
func TestInboxIsHandledBeforeATick(t *testing.T) {
	s := newTestCluster(t, 1)
	replica := s.replicas[0]
	handledAt, before := math.Inf(1), replica.delays.lastTick
	replica.inbox <- func() { handledAt = replica.delays.lastTick }
	s.tick()
	if handledAt != before || replica.delays.lastTick <= before {
		t.Errorf("handled after the tick at %v ms; the one before was at %v, the next at %v", handledAt, before, replica.delays.lastTick)
	}
}
