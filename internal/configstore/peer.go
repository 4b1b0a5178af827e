package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

const (
	pathRaftMessages = "/v1/raft"
	// peerQueueLength bounds messages on their way to one keeper, peerTime a call with them. What is dropped raft sends again.
	peerQueueLength, peerCallTimeout = 256, time.Second
	// heartbeatQueueLength bounds heartbeats and their answers on their way, which wait for none of the others.
	heartbeatQueueLength = 64
	// maxRaftMessagesBytes bounds what one call brings, in bytes: a snapshot and a little.
	maxRaftMessagesBytes = maxSnapshotBytes * 3 / 2
)

// raftMessages is what one keeper sends another.
type raftMessages struct {
	Cluster uint64            `json:"cluster"`
	From    uint64            `json:"from"`
	Name    string            `json:"name"` // of the sender: a keeper that joins knows others by name only
	To      uint64            `json:"to"`
	Nonce   uint64            `json:"nonce"`           // of the sender's start
	Last    uint64            `json:"last"`            // the sender's last entry that lasts
	Acked   map[uint64]uint64 `json:"acked,omitempty"` // a leader's word on all
	Msgs    [][]byte          `json:"msgs"`
}

// peer is the way to one other keeper. run's goroutines make the calls, one at a time of each queue: a heartbeat does not
// wait until the other has taken entries or a snapshot.
type peer struct {
	replica    *Replica
	id         uint64
	addr       string
	heartbeats chan *pb.Message
	queue      chan *pb.Message
	rejection  string // the loop's: why that keeper does not hear this one
	cancel     context.CancelFunc
}

// updatePeers makes the ways those to the members as they are now.
func (k *Replica) updatePeers() {
	for id := range k.state.Members {
		if p := k.peers[id]; id == k.identity.ID || p != nil && p.addr == k.addr(id) {
			continue
		} else if p != nil {
			p.cancel()
		}
		ctx, cancel := context.WithCancel(k.ctx)
		p := &peer{replica: k, id: id, addr: k.addr(id), heartbeats: make(chan *pb.Message, heartbeatQueueLength), queue: make(chan *pb.Message, peerQueueLength), cancel: cancel}
		k.peers[id] = p
		k.goroutines.Go(func() { k.runPeer(p, ctx) })
	}
	maps.DeleteFunc(k.peers, func(id uint64, p *peer) bool {
		if _, in := k.state.Members[id]; in {
			return false
		}
		p.cancel()
		return true
	})
}

// addr is where this keeper reaches another: by its own file, else as it was added; "": there is none.
func (k *Replica) addr(id uint64) string {
	m := k.state.Members[id]
	if own := k.cfg.Members[m.Name]; own != "" {
		return own
	}
	return m.Addr
}

// send hands a message to its way; what finds no room is dropped.
func (k *Replica) send(m *pb.Message) {
	p := k.peers[m.GetTo()]
	if p == nil {
		return
	}
	queue := p.queue
	if m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgHeartbeatResp {
		queue = p.heartbeats
	}
	select {
	case queue <- m:
	default:
		if m.GetType() == pb.MsgSnap {
			k.node.ReportSnapshot(p.id, raft.SnapshotFailure)
		}
	}
}

func (p *peer) run(ctx context.Context) {
	var beats sync.WaitGroup
	beats.Go(func() { p.sendQueue(ctx, p.heartbeats) })
	p.sendQueue(ctx, p.queue)
	beats.Wait()
}

// sendQueue makes the calls of one queue.
func (p *peer) sendQueue(ctx context.Context, queue chan *pb.Message) {
	for {
		var msgs []*pb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			msgs = append(msgs, m)
		}
		for more := true; more && len(msgs) < 64; {
			select {
			case m := <-queue:
				msgs = append(msgs, m)
			default:
				more = false
			}
		}
		text := raftMessages{To: p.id}
		snaps := false
		for _, m := range msgs {
			b, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			snaps = snaps || m.GetType() == pb.MsgSnap
			text.Msgs = append(text.Msgs, b)
		}
		stamped := make(chan struct{})
		if !p.replica.post(ctx, func() { p.replica.setSender(&text); close(stamped) }) {
			return
		}
		select {
		case <-stamped:
		case <-ctx.Done():
			return
		}
		try, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err := p.replica.caller.Call(try, p.addr, pathRaftMessages, http.Header{}, &text, nil)
		cancel()
		p.replica.post(ctx, func() { p.replica.sent(p, err, snaps) })
	}
}

// post has the loop do something; it tells whether it will.
func (k *Replica) post(ctx context.Context, f func()) bool {
	select {
	case k.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	case <-k.ctx.Done():
		return false
	}
}

// setSender fills in who sends.
func (k *Replica) setSender(t *raftMessages) {
	t.Cluster, t.From, t.Name, t.Nonce = k.identity.Cluster, k.identity.ID, k.identity.Name, k.nonce
	t.Last, _ = k.storage.LastIndex()
	if k.softState.RaftState == raft.StateLeader {
		t.Acked = maps.Clone(k.watermarks.Acked)
	}
}

// sent takes how a call ended.
func (k *Replica) sent(p *peer, err error, snap bool) {
	why := ""
	if f := (*client.StatusError)(nil); errors.As(err, &f) && f.Status == http.StatusForbidden {
		why = f.Text
	}
	if why != p.rejection {
		if p.rejection = why; why != "" {
			slog.Error("a keeper does not hear this one", "keeper", k.state.Members[p.id].Name, "why", why)
		}
	}
	if err != nil {
		k.node.ReportUnreachable(p.id)
	}
	if snap {
		status := raft.SnapshotFinish
		if err != nil {
			status = raft.SnapshotFailure
		}
		k.node.ReportSnapshot(p.id, status)
	}
}

// receive takes a parcel; an error is why it is refused.
func (k *Replica) receive(t *raftMessages) error {
	if t.To != k.identity.ID {
		return fmt.Errorf("this is keeper %d, another folder than %d; it was wiped or replaced", k.identity.ID, t.To)
	}
	if k.identity.Cluster == 0 && k.cfg.Join {
		mine := *k.identity
		mine.Cluster = t.Cluster
		var err error
		if failed := k.runJob(&job{replace: func() error { err = writeJSON(k.dir, identityFile, &mine); return nil }}); failed != nil || err != nil {
			return errors.Join(failed, err)
		}
		*k.identity = mine
	}
	if t.Cluster != k.identity.Cluster {
		return errors.New("another cluster")
	}
	if _, in := k.state.Members[t.From]; !in && k.applied == 0 {
		// It joins and has nothing yet: it answers who sends, where its own file says that he is.
		k.state.Members[t.From] = member{Name: t.Name}
		k.updatePeers()
	} else if !in {
		return errors.New("no member has this id: it was removed, or its folder is not the one that was added")
	}
	if why := k.watermarks.accept(t.From, t.Nonce, t.Last); why != "" {
		return errors.New(why)
	}
	k.watermarks.merge(t.Acked)
	for _, b := range t.Msgs {
		m := &pb.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return err
		}
		if m.GetFrom() != t.From {
			return errors.New("a message of another keeper")
		}
		if m.GetFrom() == k.softState.Lead && (m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgApp) {
			k.delays.heartbeat(k.now())
		}
		k.node.Step(m) // what does not fit raft drops
	}
	return nil
}

// applyMemberChange follows a change of members.
func (k *Replica) applyMemberChange(cc *pb.ConfChangeV2) {
	k.memberChangeUntil = longAgo
	for _, c := range cc.GetChanges() {
		switch c.GetType() {
		case pb.ConfChangeRemoveNode:
			slog.Info("member removed", "name", k.state.Members[c.GetNodeId()].Name, "id", c.GetNodeId())
			delete(k.state.Members, c.GetNodeId())
		default:
			var m member
			if json.Unmarshal(cc.GetContext(), &m) == nil && m.Name != "" {
				k.state.Members[c.GetNodeId()] = m
			}
			slog.Info("member", "change", c.GetType().String(), "name", k.state.Members[c.GetNodeId()].Name, "id", c.GetNodeId())
		}
	}
	k.updatePeers()
}

// promote makes a learner that has come up a voter.
func (k *Replica) promote(now float64) {
	if now < k.memberChangeUntil {
		return
	}
	s := k.node.Status()
	for id, p := range s.Progress {
		if p.IsLearner && p.RecentActive && p.State == tracker.StateReplicate && p.Match+retainedEntries/4 >= s.GetCommit() {
			k.proposeMemberChange(pb.ConfChangeAddNode, id, nil)
		}
	}
}

// proposeMemberChange proposes a change of one member.
func (k *Replica) proposeMemberChange(kind pb.ConfChangeType, id uint64, m *member) error {
	var context []byte
	if m != nil {
		var err error
		if context, err = json.Marshal(m); err != nil {
			return err
		}
	}
	k.memberChangeUntil = k.now() + k.cfg.TickMs*electionTicks*4
	return k.node.ProposeConfChange(&pb.ConfChangeV2{Context: context, Changes: []*pb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(id)}}})
}

// readRaftMessages reads a parcel of a bounded size.
func readRaftMessages(body io.Reader) (*raftMessages, error) {
	t := &raftMessages{}
	if err := json.NewDecoder(io.LimitReader(body, maxRaftMessagesBytes)).Decode(t); err != nil {
		return nil, err
	}
	return t, nil
}
