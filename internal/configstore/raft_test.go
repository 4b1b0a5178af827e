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

// testCluster is a cluster of replicas without goroutines, sockets and timers: the test triggers their ticks,
// delivers their messages and runs the jobs of their writers.
type testCluster struct {
	t        *testing.T
	replicas []*Replica
	stalled  map[*Replica]bool // replicas whose disk does not answer
	dead     map[*Replica]bool // replicas that have ended
	version  uint64            // number of the last proposed version
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

func (s *testCluster) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// settle runs the jobs of the disks that are not stalled and delivers messages until none are left.
func (s *testCluster) settle() {
	s.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, replica := range s.replicas {
			if s.dead[replica] {
				continue
			}
			s.requireNoError(replica.processReady())
			for !s.stalled[replica] && len(replica.writer.jobs) > 0 {
				busy = true
				replica.writer.runBatch(<-replica.writer.jobs)
				for len(replica.writer.done) > 0 {
					s.requireNoError(replica.jobFinished(<-replica.writer.done))
				}
				s.requireNoError(replica.processReady())
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

// deliverNext delivers the next queued message of a peer, heartbeats first.
func (s *testCluster) deliverNext(from *Replica, p *peer) {
	s.t.Helper()
	queue := p.heartbeats
	if len(queue) == 0 {
		queue = p.queue
	}
	m := <-queue
	s.onMessage(from, m)
	if to := s.replicas[p.id-1]; !s.dead[to] {
		s.requireNoError(s.receiveFrom(from, to, m))
	}
}

// receiveFrom passes one message of a replica to another one. An error says why it was rejected.
func (s *testCluster) receiveFrom(from, to *Replica, m *pb.Message) error {
	s.t.Helper()
	text, err := proto.Marshal(m)
	s.requireNoError(err)
	messages := &raftMessages{To: to.identity.ID, Msgs: [][]byte{text}}
	from.setSender(messages)
	return to.receive(messages)
}

// tick runs a tick of all replicas that have not ended, and delivers the messages that they send.
func (s *testCluster) tick() {
	s.t.Helper()
	for _, replica := range s.replicas {
		if !s.dead[replica] {
			s.requireNoError(replica.handleTick())
		}
	}
	s.settle()
}

// waitForLeader ticks until a replica leads. It returns this replica and the number of ticks.
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

// publish proposes a version at a replica. The result is sent to the channel once it is applied there.
func (s *testCluster) publish(replica *Replica) chan proposalResult {
	s.version++
	answer := make(chan proposalResult, 1)
	id := fmt.Sprint("p", s.version)
	config := &sharedconfig.Config{Cordoned: []string{id}}
	command := &history.Command{Publish: &history.Publish{ID: id, Parent: s.version - 1, Config: config}}
	replica.propose(id, command, answer)
	return answer
}

// requirePublished fails the test unless the proposed version has been applied.
func requirePublished(t *testing.T, answer chan proposalResult) {
	t.Helper()
	select {
	case r := <-answer:
		if r.err != nil {
			t.Error(r.err)
		}
	default:
		t.Error("the proposal has no result")
	}
}

// Disks that stall for longer than any election timeout, while there is an entry to save, cause no election:
// the leader keeps leading and no replica requests votes.
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
			for range diskStallTicks - 1 { // the last tick before the disk counts as stalled
				s.tick()
			}
			if whose == "one other's" {
				requirePublished(t, answer)
			} else if len(answer) > 0 {
				t.Fatalf("result %+v before the entry is durable", <-answer)
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
				t.Errorf("the term was %d and is %d after %d elections; state of the leader: %v", term, now, s.elections()-before, lead.softState)
			}
			for _, replica := range s.replicas {
				if last := replica.state.History.Last(); last != s.version {
					t.Errorf("%s has version %d, want %d", replica.cfg.Name, last, s.version)
				}
			}
		})
	}
}

// A leader that has ended is replaced within two election timeouts, and one whose disk stalls permanently
// within another diskStallTicks. When the disk answers again, the former leader becomes a follower.
func TestDeadLeaderIsReplaced(t *testing.T) {
	for _, x := range []struct {
		failure  string
		maxTicks int
	}{{"ended", 2*electionTicks + 3}, {"stalled disk", diskStallTicks + 2*electionTicks + 3}} {
		t.Run(x.failure, func(t *testing.T) {
			for attempts := 1; ; attempts++ { // repeated: with equal random timeouts no candidate wins
				s := newTestCluster(t, 5)
				lead, _ := s.waitForLeader(10 * electionTicks)
				for range electionTicks {
					s.tick()
				}
				s.dead[lead], s.stalled[lead] = x.failure == "ended", true
				s.publish(lead)
				ticks := 0
				var next *Replica
				for ; next == nil && ticks < 4*x.maxTicks; ticks++ {
					s.tick()
					for _, replica := range s.replicas {
						if replica != lead && replica.softState.RaftState == raft.StateLeader {
							next = replica
						}
					}
				}
				if next != nil && ticks <= x.maxTicks {
					clear(s.stalled)
					for range 3 * electionTicks {
						s.tick()
					}
					if !s.dead[lead] && lead.softState.RaftState != raft.StateFollower {
						t.Errorf("state %v after the disk has answered again, want a follower", lead.softState)
					}
					return
				}
				if attempts == 5 {
					t.Fatalf("not replaced within %d ticks in five attempts; %d ticks in the last one", x.maxTicks, ticks)
				}
			}
		})
	}
}

// No message reveals a term or vote that its sender could lose in a crash. Otherwise the sender could vote
// twice in one term.
func TestNothingIsSentBeforeTermAndVoteAreDurable(t *testing.T) {
	s := newTestCluster(t, 3)
	s.onMessage = func(from *Replica, m *pb.Message) {
		state, _, _ := from.storage.InitialState()
		if m.GetType() != pb.MsgPreVote && m.GetType() != pb.MsgPreVoteResp && m.GetTerm() > state.GetTerm() {
			t.Errorf("%s sent %v of term %d, its durable term is %d", from.cfg.Name, m.GetType(), m.GetTerm(), state.GetTerm())
		}
	}
	lead, _ := s.waitForLeader(10 * electionTicks)
	for i := range 4 * electionTicks { // disks answer intermittently while the leader changes
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
		t.Errorf("term %d: too few changes of the leader for this test", term)
	}
}

// Functions that are in the inbox at a tick, such as the receipt of a heartbeat, run before it.
func TestInboxIsHandledBeforeATick(t *testing.T) {
	s := newTestCluster(t, 1)
	replica := s.replicas[0]
	handledAt, before := math.Inf(1), replica.delays.lastTick
	replica.inbox <- func() { handledAt = replica.delays.lastTick }
	s.tick()
	if handledAt != before || replica.delays.lastTick <= before {
		t.Errorf("handled after the tick at %v ms; the previous tick was at %v ms, this one at %v ms", handledAt, before, replica.delays.lastTick)
	}
}
