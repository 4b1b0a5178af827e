// Package configstore implements a replica of the configuration store: 1, 3, 5 or 7 processes that replicate
// the versions of the shared configuration and grant leases on them. It connects a consensus library
// (go.etcd.io/raft) and the packages lease and history, which make the decisions without I/O, with the data
// directory, the other replicas and the calls of agents and operators. All goroutines have ended when Run
// returns.
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
	// transferTimeout bounds how long a graceful shutdown waits for another replica to lead.
	transferTimeout = time.Second
	// inboxLength bounds the queue of functions that wait for the event loop.
	inboxLength = 1024
	// serverTimeout bounds reading a call and writing its answer; serverIdleTimeout bounds the life of an
	// idle connection.
	serverTimeout     = 20 * time.Second
	serverIdleTimeout = time.Minute
	maxHeaderBytes    = 16 << 10
)

// longAgo is earlier than any time of the monotonic clock, whose origin is arbitrary.
var longAgo = math.Inf(-1)

var (
	errNotLeading      = errors.New("this replica does not lead")
	errShutDown        = errors.New("this replica shuts down")
	errNoLeader        = errors.New("no replica leads")
	errNoQuorum        = errors.New("no majority of the replicas answers")
	errNotReady        = errors.New("this replica has not formed a cluster yet, or its disk does not answer")
	errTooManyRequests = errors.New("too many requests wait")
)

// state is the replicated state: log entries change it, and snapshots contain it.
type state struct {
	History history.History   `json:"book"`
	Members map[uint64]member `json:"members"` // by replica id
}

// Replica is a replica of the configuration store. Only the event loop, which is Run's goroutine, uses its
// fields, except for those with another comment.
type Replica struct {
	cfg      *Config // read only
	dir      *disk.Dir
	identity *Identity
	nonce    uint64          // random, differs for each start
	caller   *client.Caller  // for any goroutine
	ctx      context.Context // ends when Run returns
	inbox    chan func()     // functions for the event loop to run

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

	membersChanged    bool // since the last snapshot; a joining replica needs one with itself as a member
	encoding          bool // a goroutine encodes the state for a snapshot
	encoded           chan encodedSnapshot
	memberChangeUntil float64 // when a proposed membership change that was not applied is given up, ms

	peers      map[uint64]*peer
	runPeer    func(*peer, context.Context) // run in a goroutine for each peer; tests replace it
	watermarks watermarks
	delays     delays
	goroutines sync.WaitGroup
}

// Run runs a replica until stop is done; then it transfers its leadership and returns. ready is called with
// the listen address once the replica answers calls.
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
	// Other members need this replica's identity to form the cluster, so it answers calls from now on.
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
		if err := formed.formCluster(stop, cfg.Members, r.caller); err != nil {
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
		Handler:        client.EchoCalls(panics.Handler("configuration store", r.handler(id))),
		ReadTimeout:    serverTimeout,
		WriteTimeout:   serverTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// newReplica returns a replica; openStorage has to be called before it can run.
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
		encoded:           make(chan encodedSnapshot, 1),
		memberChangeUntil: longAgo,
		delays:            newDelays(),
	}
	r.watermarks.savedAt = longAgo
	var nonce [8]byte
	rand.Read(nonce[:])
	r.nonce = binary.BigEndian.Uint64(nonce[:])
	return r
}

// loop is the event loop. It runs until stop is done or the disk fails.
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

// now returns the time of the monotonic clock in ms.
func (r *Replica) now() float64 { return clock.Steady() }

// post queues a function for the event loop. It returns false if ctx or the replica ends first.
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

// runAgain triggers another iteration of the event loop. If the inbox is full there will be one anyway.
func (r *Replica) runAgain() {
	select {
	case r.inbox <- func() {}:
	default:
	}
}

// runPosted runs f, unless it is nil, and the functions that are in the inbox at the start. Functions that
// are posted meanwhile are left to the next iteration.
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

// failAll answers all waiting calls with an error.
func (r *Replica) failAll(err error) {
	r.failRequests(err)
	r.failProposals(err)
}
