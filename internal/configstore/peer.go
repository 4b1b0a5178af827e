package configstore

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/configstore/client"
)

const (
	// peerQueueLength bounds the queue of messages to one replica. Raft repeats messages that were dropped.
	peerQueueLength = 256
	// heartbeatQueueLength bounds the queue of heartbeats and their responses, which don't wait for other
	// messages.
	heartbeatQueueLength = 64
	// maxMessagesPerCall bounds the messages that are sent in one call.
	maxMessagesPerCall = 64
	// peerCallTimeout bounds a call, snapshotCallTimeout one with a snapshot, which has up to maxSnapshotBytes.
	peerCallTimeout     = time.Second
	snapshotCallTimeout = serverTimeout
)

// peer sends messages to one other replica. Each of its two queues has a goroutine that makes one call at a
// time, so that a heartbeat does not wait until the other replica has received entries or a snapshot.
type peer struct {
	replica    *Replica
	id         uint64
	addr       string
	heartbeats chan *pb.Message
	queue      chan *pb.Message
	rejection  string // why the other replica rejects messages of this one; used by the event loop only
	cancel     context.CancelFunc
}

// updatePeers starts and stops peers so that there is one for each other member.
func (r *Replica) updatePeers() {
	for id := range r.state.Members {
		if id == r.identity.ID {
			continue
		}
		addr := r.addr(id)
		if p := r.peers[id]; p != nil {
			if p.addr == addr {
				continue
			}
			p.cancel()
		}
		r.startPeer(id, addr)
	}
	maps.DeleteFunc(r.peers, func(id uint64, p *peer) bool {
		if _, isMember := r.state.Members[id]; isMember {
			return false
		}
		p.cancel()
		return true
	})
}

func (r *Replica) startPeer(id uint64, addr string) {
	ctx, cancel := context.WithCancel(r.ctx)
	p := &peer{
		replica:    r,
		id:         id,
		addr:       addr,
		heartbeats: make(chan *pb.Message, heartbeatQueueLength),
		queue:      make(chan *pb.Message, peerQueueLength),
		cancel:     cancel,
	}
	r.peers[id] = p
	r.goroutines.Go(func() { r.runPeer(p, ctx) })
}

// addr returns the address of another replica: that in this replica's configuration file, else the one with
// which the member was added, or "" if it is unknown.
func (r *Replica) addr(id uint64) string {
	m := r.state.Members[id]
	if configured := r.cfg.Members[m.Name]; configured != "" {
		return configured
	}
	return m.Addr
}

// send queues a message for its receiver. If the queue is full the message is dropped.
func (r *Replica) send(m *pb.Message) {
	p := r.peers[m.GetTo()]
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
			r.node.ReportSnapshot(p.id, raft.SnapshotFailure)
		}
	}
}

// run sends the messages of both queues until ctx ends.
func (p *peer) run(ctx context.Context) {
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() { p.sendQueue(ctx, p.heartbeats) })
	p.sendQueue(ctx, p.queue)
	heartbeats.Wait()
}

// sendQueue sends the messages of one queue until ctx ends.
func (p *peer) sendQueue(ctx context.Context, queue chan *pb.Message) {
	for {
		batch := nextBatch(ctx, queue)
		if batch == nil {
			return
		}
		messages, hasSnapshot := p.encode(batch)
		if !p.setSender(ctx, messages) {
			return
		}
		timeout := peerCallTimeout
		if hasSnapshot {
			timeout = snapshotCallTimeout
		}
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := p.replica.caller.Call(attempt, p.addr, pathRaftMessages, http.Header{}, messages, nil)
		cancel()
		p.replica.post(ctx, func() { p.replica.sent(p, err, hasSnapshot) })
	}
}

// nextBatch waits for a message and returns it together with those queued after it, or nil once ctx has
// ended.
func nextBatch(ctx context.Context, queue chan *pb.Message) []*pb.Message {
	var batch []*pb.Message
	select {
	case <-ctx.Done():
		return nil
	case m := <-queue:
		batch = append(batch, m)
	}
	for len(batch) < maxMessagesPerCall {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func (p *peer) encode(batch []*pb.Message) (messages *raftMessages, hasSnapshot bool) {
	messages = &raftMessages{To: p.id}
	for _, m := range batch {
		text, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		hasSnapshot = hasSnapshot || m.GetType() == pb.MsgSnap
		messages.Msgs = append(messages.Msgs, text)
	}
	return messages, hasSnapshot
}

// setSender has the event loop fill in the sender. It returns false if the loop has ended.
func (p *peer) setSender(ctx context.Context, messages *raftMessages) bool {
	done := make(chan struct{})
	fillIn := func() {
		p.replica.setSender(messages)
		close(done)
	}
	if !p.replica.post(ctx, fillIn) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// sent handles the outcome of a call and reports it to raft.
func (r *Replica) sent(p *peer, err error, hasSnapshot bool) {
	rejection := ""
	if status := (*client.StatusError)(nil); errors.As(err, &status) && status.Status == http.StatusForbidden {
		rejection = status.Text
	}
	if rejection != p.rejection {
		p.rejection = rejection
		if rejection != "" {
			slog.Error("another replica rejects this one", "replica", r.state.Members[p.id].Name, "why", rejection)
		}
	}
	if err != nil {
		r.node.ReportUnreachable(p.id)
	}
	if !hasSnapshot {
		return
	}
	status := raft.SnapshotFinish
	if err != nil {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(p.id, status)
}
