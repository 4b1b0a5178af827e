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
	pathRaft = "/v1/raft"
	// peerQueue bounds messages on their way to one keeper, peerTime a call with them. What is dropped raft sends again.
	peerQueue, peerTime = 256, time.Second
	// beatQueue bounds heartbeats and their answers on their way, which wait for none of the others.
	beatQueue = 64
	// mostParcel bounds what one call brings, in bytes: a snapshot and a little.
	mostParcel = mostSnap * 3 / 2
)

// parcel is what one keeper sends another.
type parcel struct {
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
	k       *Replica
	id      uint64
	addr    string
	beats   chan *pb.Message
	queue   chan *pb.Message
	refused string // the loop's: why that keeper does not hear this one
	cancel  context.CancelFunc
}

// connect makes the ways those to the members as they are now.
func (k *Replica) connect() {
	for id := range k.state.Members {
		if p := k.peers[id]; id == k.id.ID || p != nil && p.addr == k.addr(id) {
			continue
		} else if p != nil {
			p.cancel()
		}
		ctx, cancel := context.WithCancel(k.ctx)
		p := &peer{k: k, id: id, addr: k.addr(id), beats: make(chan *pb.Message, beatQueue), queue: make(chan *pb.Message, peerQueue), cancel: cancel}
		k.peers[id] = p
		k.on.Go(func() { k.carry(p, ctx) })
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
		queue = p.beats
	}
	select {
	case queue <- m:
	default:
		if m.GetType() == pb.MsgSnap {
			k.rn.ReportSnapshot(p.id, raft.SnapshotFailure)
		}
	}
}

func (p *peer) run(ctx context.Context) {
	var beats sync.WaitGroup
	beats.Go(func() { p.carry(ctx, p.beats) })
	p.carry(ctx, p.queue)
	beats.Wait()
}

// carry makes the calls of one queue.
func (p *peer) carry(ctx context.Context, queue chan *pb.Message) {
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
		text := parcel{To: p.id}
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
		if !p.k.do(ctx, func() { p.k.stamp(&text); close(stamped) }) {
			return
		}
		select {
		case <-stamped:
		case <-ctx.Done():
			return
		}
		try, cancel := context.WithTimeout(ctx, peerTime)
		err := p.k.ask.Call(try, p.addr, pathRaft, http.Header{}, &text, nil)
		cancel()
		p.k.do(ctx, func() { p.k.sent(p, err, snaps) })
	}
}

// do has the loop do something; it tells whether it will.
func (k *Replica) do(ctx context.Context, f func()) bool {
	select {
	case k.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	case <-k.ctx.Done():
		return false
	}
}

// stamp fills in who sends.
func (k *Replica) stamp(t *parcel) {
	t.Cluster, t.From, t.Name, t.Nonce = k.id.Cluster, k.id.ID, k.id.Name, k.nonce
	t.Last, _ = k.st.LastIndex()
	if k.soft.RaftState == raft.StateLeader {
		t.Acked = maps.Clone(k.seen.Acked)
	}
}

// sent takes how a call ended.
func (k *Replica) sent(p *peer, err error, snap bool) {
	why := ""
	if f := (*client.StatusError)(nil); errors.As(err, &f) && f.Status == http.StatusForbidden {
		why = f.Text
	}
	if why != p.refused {
		if p.refused = why; why != "" {
			slog.Error("a keeper does not hear this one", "keeper", k.state.Members[p.id].Name, "why", why)
		}
	}
	if err != nil {
		k.rn.ReportUnreachable(p.id)
	}
	if snap {
		status := raft.SnapshotFinish
		if err != nil {
			status = raft.SnapshotFailure
		}
		k.rn.ReportSnapshot(p.id, status)
	}
}

// receive takes a parcel; an error is why it is refused.
func (k *Replica) receive(t *parcel) error {
	if t.To != k.id.ID {
		return fmt.Errorf("this is keeper %d, another folder than %d; it was wiped or replaced", k.id.ID, t.To)
	}
	if k.id.Cluster == 0 && k.cfg.Join {
		mine := *k.id
		mine.Cluster = t.Cluster
		var err error
		if failed := k.await(&job{do: func() error { err = write(k.dir, identityFile, &mine); return nil }}); failed != nil || err != nil {
			return errors.Join(failed, err)
		}
		*k.id = mine
	}
	if t.Cluster != k.id.Cluster {
		return errors.New("another cluster")
	}
	if _, in := k.state.Members[t.From]; !in && k.applied == 0 {
		// It joins and has nothing yet: it answers who sends, where its own file says that he is.
		k.state.Members[t.From] = member{Name: t.Name}
		k.connect()
	} else if !in {
		return errors.New("no member has this id: it was removed, or its folder is not the one that was added")
	}
	if why := k.seen.hear(t.From, t.Nonce, t.Last); why != "" {
		return errors.New(why)
	}
	k.seen.told(t.Acked)
	for _, b := range t.Msgs {
		m := &pb.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return err
		}
		if m.GetFrom() != t.From {
			return errors.New("a message of another keeper")
		}
		if m.GetFrom() == k.soft.Lead && (m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgApp) {
			k.holds.lead(k.now())
		}
		k.rn.Step(m) // what does not fit raft drops
	}
	return nil
}

// changed follows a change of members.
func (k *Replica) changed(cc *pb.ConfChangeV2) {
	k.changing = long
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
	k.connect()
}

// promote makes a learner that has come up a voter.
func (k *Replica) promote(now float64) {
	if now < k.changing {
		return
	}
	s := k.rn.Status()
	for id, p := range s.Progress {
		if p.IsLearner && p.RecentActive && p.State == tracker.StateReplicate && p.Match+keepEntries/4 >= s.GetCommit() {
			k.change(pb.ConfChangeAddNode, id, nil)
		}
	}
}

// change proposes a change of one member.
func (k *Replica) change(kind pb.ConfChangeType, id uint64, m *member) error {
	var context []byte
	if m != nil {
		var err error
		if context, err = json.Marshal(m); err != nil {
			return err
		}
	}
	k.changing = k.now() + k.cfg.TickMs*electionTicks*4
	return k.rn.ProposeConfChange(&pb.ConfChangeV2{Context: context, Changes: []*pb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(id)}}})
}

// readParcel reads a parcel of a bounded size.
func readParcel(body io.Reader) (*parcel, error) {
	t := &parcel{}
	if err := json.NewDecoder(io.LimitReader(body, mostParcel)).Decode(t); err != nil {
		return nil, err
	}
	return t, nil
}
