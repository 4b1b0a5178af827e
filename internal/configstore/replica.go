// Package configstore is a replica of the configuration store: one process of 1, 3, 5 or 7 that replicate the versions of
// the shared configuration and grant leases on them. It is a thin shell round a consensus library (go.etcd.io/raft) and
// the pure packages lease and history, which decide. It owns its data directory, the connections to the other replicas
// and the calls of agents and operators. Every goroutine has ended when Run returns.
package configstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/disk"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// transferTimeout bounds how long a graceful shutdown waits for another leader.
	transferTimeout = time.Second
	// inboxLength bounds the functions that wait for the loop.
	inboxLength = 1024
	// serverTimeout bounds reading a call and writing its answer, serverIdleTimeout an idle connection.
	serverTimeout     = 20 * time.Second
	serverIdleTimeout = time.Minute
	maxHeaderBytes    = 16 << 10
)

// longAgo is before any time of the monotonic clock, which may begin anywhere.
var longAgo = math.Inf(-1)

var (
	errNotLeading      = errors.New("this replica does not lead")
	errShutDown        = errors.New("this replica shuts down")
	errNoLeader        = errors.New("no replica leads")
	errNoQuorum        = errors.New("no majority of the replicas answers")
	errNotReady        = errors.New("this replica has not formed a cluster yet, or its disk does not answer")
	errTooManyRequests = errors.New("too many requests wait")
)

// state is what the entries of the log change, and a snapshot holds.
type state struct {
	History history.History   `json:"book"`
	Members map[uint64]member `json:"members"` // by replica id
}

// Replica is one process. Its fields belong to the loop, which is Run's goroutine, unless said otherwise.
type Replica struct {
	cfg      *Config // read only
	dir      *disk.Dir
	identity *Identity
	nonce    uint64          // drawn by each start
	caller   *client.Caller  // for any goroutine
	ctx      context.Context // ends with the replica
	inbox    chan func()     // functions that the loop is to run

	node        *raft.RawNode
	softState   raft.SoftState
	storage     *storage
	writer      *writer
	disk        diskProgress
	state       state
	confState   *pb.ConfState
	applied     uint64 // index of the last applied entry
	transitions transitionCache

	lessor     *lease.Lessor // nil unless this replica leads and has applied an entry of its own term
	lessorTerm uint64
	advancing  epochProposal
	requests   requestQueues
	proposals  map[string][]chan proposalResult // by the publisher's id

	membersChanged    bool    // since the last snapshot: a replica that joins needs a snapshot that has it
	memberChangeUntil float64 // until when a proposed change of members is waited for, ms

	peers      map[uint64]*peer
	runPeer    func(*peer, context.Context) // the goroutine of a peer
	watermarks watermarks
	delays     delays
	goroutines sync.WaitGroup
}

// Run runs a replica until stop is done; then it transfers its leadership and returns. ready is called with the address
// once calls are answered.
func Run(stop context.Context, cfg *Config, ready func(net.Addr)) error {
	dir, err := disk.Open(cfg.Data)
	if err != nil {
		return fmt.Errorf("configstore: data: %w", err)
	}
	defer dir.Close()
	id, err := loadIdentity(dir, cfg.Name)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("configstore: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := newReplica(ctx, cfg, dir, id)
	r.runPeer = (*peer).run
	defer r.goroutines.Wait()
	defer cancel()
	if err := r.watermarks.load(dir); err != nil {
		ln.Close()
		return err
	}
	// Other members need the identity to form the cluster, so calls are answered from now on.
	var shared sharedIdentity
	shared.set(id)
	server := r.newServer(&shared)
	r.goroutines.Go(func() { server.Serve(ln) })
	defer server.Close()
	if ready != nil {
		ready(ln.Addr())
	}
	if id.InitialMembers == nil && !cfg.Join {
		formed := *id
		if err := formed.form(stop, cfg.Members, r.caller); err != nil {
			if stop.Err() != nil {
				return nil
			}
			return err
		}
		if err := r.saveFormed(&formed); err != nil {
			return err
		}
		shared.set(id)
	}
	if err := r.openStorage(); err != nil {
		return err
	}
	return r.loop(stop)
}

func (r *Replica) newServer(id *sharedIdentity) *http.Server {
	return &http.Server{
		Handler:        panics.Handler("configuration store", r.handler(id)),
		ReadTimeout:    serverTimeout,
		WriteTimeout:   serverTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// newReplica returns a replica whose storage is not open yet.
func newReplica(ctx context.Context, cfg *Config, dir *disk.Dir, id *Identity) *Replica {
	r := &Replica{
		cfg:               cfg,
		dir:               dir,
		identity:          id,
		ctx:               ctx,
		caller:            client.NewCallerWithConns(maxCalls),
		inbox:             make(chan func(), inboxLength),
		state:             state{Members: map[uint64]member{}},
		proposals:         map[string][]chan proposalResult{},
		peers:             map[uint64]*peer{},
		advancing:         epochProposal{at: longAgo},
		memberChangeUntil: longAgo,
		delays:            newDelays(),
	}
	r.watermarks.savedAt = longAgo
	var nonce [8]byte
	rand.Read(nonce[:])
	r.nonce = binary.BigEndian.Uint64(nonce[:])
	return r
}

// loop owns the replica's state until stop is done or the disk fails.
func (r *Replica) loop(stop context.Context) error {
	ticker := time.NewTicker(time.Duration(r.cfg.TickMs * float64(time.Millisecond)))
	defer ticker.Stop()
	defer r.failAll(errShutDown)
	r.goroutines.Go(r.writer.run)
	defer close(r.writer.jobs)
	var transferOver <-chan time.Time
	stopping := stop.Done()
	for {
		start := r.now()
		select {
		case <-ticker.C:
			start = r.now()
			if err := r.handleTick(); err != nil {
				return err
			}
		case f := <-r.inbox:
			start = r.now()
			r.runPosted(f)
		case j := <-r.writer.done:
			start = r.now()
			if err := r.jobFinished(j); err != nil {
				return err
			}
		case <-stopping:
			stopping = nil
			r.transferLeadership()
			transferOver = time.After(transferTimeout)
		case <-transferOver:
			return nil
		}
		if err := r.processReady(); err != nil {
			return err
		}
		r.delays.record(delayIteration, start, r.now())
		if stopping == nil && transferOver != nil && r.softState.RaftState != raft.StateLeader {
			return nil
		}
	}
}

// now is the monotonic clock, ms.
func (r *Replica) now() float64 { return clock.Steady() }

// post has the loop run a function. It returns false if it won't.
func (r *Replica) post(ctx context.Context, f func()) bool {
	select {
	case r.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	case <-r.ctx.Done():
		return false
	}
}

// runAgain has the loop run once more; a full inbox does so anyway.
func (r *Replica) runAgain() {
	select {
	case r.inbox <- func() {}:
	default:
	}
}

// runPosted runs f, if any, and the functions that are in the inbox now. Those that come meanwhile are left to the next
// iteration.
func (r *Replica) runPosted(f func()) {
	start := r.now()
	n := len(r.inbox)
	if f != nil {
		f()
		r.delays.queued(n + 1)
	}
	for range n {
		(<-r.inbox)()
	}
	r.delays.record(delayInbox, start, r.now())
}

// failAll ends all calls that wait.
func (r *Replica) failAll(err error) {
	r.failRequests(err)
	r.failProposals(err)
}
