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

// trio is a few keepers without goroutines, sockets and timers: the test makes their ticks, carries their messages and
// has their disks answer.
type trio struct {
	t       *testing.T
	ks      []*Replica
	stalled map[*Replica]bool // disks that don't answer
	dead    map[*Replica]bool
	version uint64
	// sent are the messages that were carried, for a test to look at before they are.
	sent func(from *Replica, m *pb.Message)
}

func newTrio(t *testing.T, n int) *trio {
	s := &trio{t: t, stalled: map[*Replica]bool{}, dead: map[*Replica]bool{}, sent: func(*Replica, *pb.Message) {}}
	formed, members := map[string]uint64{}, map[string]string{}
	for i := range n {
		name := fmt.Sprintf("k%d", i+1)
		formed[name], members[name] = uint64(i+1), "127.0.0.1:1"
	}
	for i := range n {
		name := fmt.Sprintf("k%d", i+1)
		dir, err := disk.Open(filepath.Join(t.TempDir(), name))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { dir.Close() })
		k := newKeeper(t.Context(), &Config{Name: name, Members: members, LeaseMs: 2000, EndpointsMs: 3000, TickMs: 25}, dir,
			&Identity{Name: name, ID: uint64(i + 1), Cluster: 1, Formed: formed})
		k.carry = func(*peer, context.Context) {}
		if err := k.seen.load(dir); err != nil {
			t.Fatal(err)
		}
		if err := k.begin(); err != nil {
			t.Fatal(err)
		}
		s.ks = append(s.ks, k)
	}
	t.Cleanup(func() {
		for _, k := range s.ks {
			k.on.Wait()
		}
	})
	return s
}

func (s *trio) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// settle has disks that answer do so, and carries messages, until there are none.
func (s *trio) settle() {
	s.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, k := range s.ks {
			if s.dead[k] {
				continue
			}
			s.must(k.step())
			for !s.stalled[k] && len(k.disk.jobs) > 0 {
				busy = true
				k.disk.carryOut(<-k.disk.jobs)
				for len(k.disk.done) > 0 {
					s.must(k.lasts(<-k.disk.done))
				}
				s.must(k.step())
			}
			for _, p := range k.peers {
				for len(p.beats)+len(p.queue) > 0 {
					busy = true
					queue := p.beats
					if len(queue) == 0 {
						queue = p.queue
					}
					m := <-queue
					s.sent(k, m)
					text, err := proto.Marshal(m)
					s.must(err)
					to := s.ks[p.id-1]
					if s.dead[to] {
						continue
					}
					parcel := &parcel{To: p.id, Msgs: [][]byte{text}}
					k.stamp(parcel)
					s.must(to.receive(parcel))
				}
			}
		}
	}
}

// tick is a tick of all; what they send is carried.
func (s *trio) tick() {
	s.t.Helper()
	for _, k := range s.ks {
		if !s.dead[k] {
			s.must(k.ticked())
		}
	}
	s.settle()
}

// leads ticks until one leads, and returns it and after how many ticks.
func (s *trio) leads(most int) (*Replica, int) {
	s.t.Helper()
	for n := range most {
		for _, k := range s.ks {
			if !s.dead[k] && k.soft.RaftState == raft.StateLeader && k.desk != nil {
				return k, n
			}
		}
		s.tick()
	}
	s.t.Fatalf("no keeper leads after %d ticks", most)
	return nil, 0
}

func (s *trio) elections() (n int64) {
	for _, k := range s.ks {
		n += k.holds.loop.Elections + k.holds.loop.SteppedDown
	}
	return n
}

// publish proposes a version at a keeper; its answer comes once it is applied there.
func (s *trio) publish(k *Replica) chan result {
	s.version++
	answer := make(chan result, 1)
	id := fmt.Sprint("p", s.version)
	k.propose(id, &history.Command{Publish: &history.Publish{ID: id, Parent: s.version - 1, Config: &sharedconfig.Config{Cordoned: []string{id}}}}, answer)
	return answer
}

// answered fails unless a publish was taken by now.
func answered(t *testing.T, answer chan result) {
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

// TestSlowDiskBeginsNoElection has disks not answer for longer than any election time, that of the leader, of the
// others or of all, each time with an entry to save: the one that leads goes on and nobody asks for votes.
func TestSlowDiskBeginsNoElection(t *testing.T) {
	for _, whose := range []string{"the leader's", "the others'", "all", "one other's"} {
		t.Run(whose, func(t *testing.T) {
			s := newTrio(t, 5)
			lead, _ := s.leads(10 * electionTicks)
			s.publish(lead)
			for range 3 * electionTicks {
				s.tick()
			}
			term, before := lead.rn.BasicStatus().GetTerm(), s.elections()
			for i, k := range s.ks {
				switch whose {
				case "the leader's":
					s.stalled[k] = k == lead
				case "the others'":
					s.stalled[k] = k != lead
				case "one other's":
					s.stalled[k] = k == s.ks[(slices.Index(s.ks, lead)+1)%len(s.ks)]
				default:
					s.stalled[k] = i >= 0
				}
			}
			answer := s.publish(lead)
			for range stallTicks - 1 { // the last moment before a disk is taken for dead
				s.tick()
			}
			if whose == "one other's" {
				answered(t, answer)
			} else if len(answer) > 0 {
				t.Fatalf("%+v was answered before it lasts", <-answer)
			}
			clear(s.stalled)
			for range 3 * electionTicks {
				s.tick()
			}
			if whose != "one other's" {
				answered(t, answer)
			}
			if now := lead.rn.BasicStatus().GetTerm(); now != term || s.elections() != before || lead.soft.RaftState != raft.StateLeader {
				t.Errorf("term %d, then %d; %d elections; %v", term, now, s.elections()-before, lead.soft)
			}
			for _, k := range s.ks {
				if last := k.state.Book.Last(); last != s.version {
					t.Errorf("%s has version %d of %d", k.cfg.Name, last, s.version)
				}
			}
		})
	}
}

// TestDeadLeaderIsReplaced: one that ended is replaced within two election times, and one whose disk does not answer any
// more within stallTicks more; a disk that answers at last finds a keeper that follows.
func TestDeadLeaderIsReplaced(t *testing.T) {
	for _, x := range []struct {
		what string
		most int
	}{{"ended", 2*electionTicks + 3}, {"its disk", stallTicks + 2*electionTicks + 3}} {
		t.Run(x.what, func(t *testing.T) {
			for tries := 1; ; tries++ { // two that ask for votes in one tick both lose: raft's draw, not this loop's
				s := newTrio(t, 5)
				lead, _ := s.leads(10 * electionTicks)
				for range electionTicks {
					s.tick()
				}
				s.dead[lead], s.stalled[lead] = x.what == "ended", true
				s.publish(lead)
				took := 0
				var next *Replica
				for ; next == nil && took < 4*x.most; took++ {
					s.tick()
					for _, k := range s.ks {
						if k != lead && k.soft.RaftState == raft.StateLeader {
							next = k
						}
					}
				}
				if next != nil && took <= x.most {
					clear(s.stalled)
					for range 3 * electionTicks {
						s.tick()
					}
					if !s.dead[lead] && lead.soft.RaftState != raft.StateFollower {
						t.Errorf("its disk answers again and it is %v", lead.soft)
					}
					return
				}
				if tries == 5 {
					t.Fatalf("five times not replaced within %d ticks, %d the last time", x.most, took)
				}
			}
		})
	}
}

// TestNothingIsSentBeforeTermAndVoteLast: a keeper that asks for votes, or votes, has nobody know before it would know
// it itself after a crash; else it could do so once more in the same term.
func TestNothingIsSentBeforeTermAndVoteLast(t *testing.T) {
	s := newTrio(t, 3)
	s.sent = func(from *Replica, m *pb.Message) {
		state, _, _ := from.st.InitialState()
		if m.GetType() != pb.MsgPreVote && m.GetType() != pb.MsgPreVoteResp && m.GetTerm() > state.GetTerm() {
			t.Errorf("%s sent %v of term %d and has kept term %d", from.cfg.Name, m.GetType(), m.GetTerm(), state.GetTerm())
		}
	}
	lead, _ := s.leads(10 * electionTicks)
	for i := range 4 * electionTicks { // disks that answer now and then, while leaders come and go
		for j, k := range s.ks {
			s.stalled[k] = (i+j)%3 != 0
		}
		if i%electionTicks == 0 {
			if to := lead.heir(); to != 0 {
				lead.rn.TransferLeader(to)
			}
		}
		for _, k := range s.ks {
			if k.soft.RaftState == raft.StateLeader {
				lead = k
				s.publish(k)
			}
		}
		s.tick()
	}
	if term := lead.rn.BasicStatus().GetTerm(); term < 4 {
		t.Errorf("term %d: too few leaders to tell", term)
	}
}

// TestWhatWasHeardComesBeforeATick: the leader's word that lies there when a tick comes is taken first.
func TestWhatWasHeardComesBeforeATick(t *testing.T) {
	s := newTrio(t, 1)
	k := s.ks[0]
	heard, before := math.Inf(1), k.holds.ticked
	k.inbox <- func() { heard = k.holds.ticked }
	s.tick()
	if heard != before || k.holds.ticked <= before {
		t.Errorf("heard behind the tick at %v ms; the one before was at %v, the next at %v", heard, before, k.holds.ticked)
	}
}
