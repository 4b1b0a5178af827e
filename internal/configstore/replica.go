// Package configstore is the process that holds the agreed versions: one of 3, 5 or 7 that keep a replicated log of the book
// of rules and give leases on it. It is thin round a consensus library (go.etcd.io/raft) and agree, which decides. It
// owns its folder, the links to the other keepers and the calls of agents and operators; every goroutine ends with Run.
package configstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/disk"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// heartbeatTicks and electionTicks are raft's, in ticks of tick_ms: a leader that is not heard for 0.4 to 0.8 s is
	// replaced.
	heartbeatTicks, electionTicks = 2, 16
	// diskStallTicks is for how long a keeper whose disk does not answer is like any other; from then on it is silent, so that
	// a leader is replaced. With the election and the wait for leases that a new leader does not know, as deployed
	// (1.5 + 0.8 + 5.1 s), a change is then still in force within 8 s; a shorter disk's pause costs less than an election.
	diskStallTicks = 60
	// transferTimeout bounds how long a planned end waits for another leader.
	transferTimeout = time.Second
	// maxPendingRequests bounds asks and publishes that wait in a keeper.
	maxPendingRequests = lease.MaxHolders
)

// member is one keeper as the log knows it.
type member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// state is what entries of the log change, and a snapshot holds.
type state struct {
	History history.History   `json:"book"`
	Members map[uint64]member `json:"members"`
}

// Replica is one process. Its fields belong to the loop, Run's goroutine, but for what is said otherwise.
type Replica struct {
	cfg      *Config
	dir      *disk.Dir
	identity *Identity
	storage  *storage
	node     *raft.RawNode
	nonce    uint64 // of this start
	caller   *client.Caller
	ctx      context.Context

	inbox           chan func()
	writer          *writer
	jobsSubmitted   uint64 // jobs that the writer was given,
	jobsDone        uint64 // and those that came back
	voteJob         uint64 // the last of them with a term or vote: nothing is sent before it lasts
	unsentMessages  []*pb.Message
	diskSilentTicks int    // ticks since one came back, where any are on their way
	jobsDoneAtTick  uint64 // ended at the last tick
	state           state
	confState       *pb.ConfState
	applied         uint64
	softState       raft.SoftState
	transitions     transitionCache

	lessor            *lease.Lessor // nil unless this keeper leads and has an entry of its own term applied
	lessorTerm        uint64
	proposedEpoch     uint64  // the stage that was last proposed to be left, and when
	proposedAt        float64 // ms of the steady clock
	membersChanged    bool    // the members have changed since the last snapshot: one that joins needs a snapshot that has it
	memberChangeUntil float64 // until when a change of members is waited for

	waiting          []*request // have what there is, and wait for something new
	pending          []*request // wait for the next round
	confirming       []*request // wait for a majority's word that this keeper leads
	confirmID        uint64
	confirmStartedAt float64
	confirmIndex     uint64 // index that must be applied for the round; 0: no word yet
	proposals        map[string][]chan proposalResult

	peers      map[uint64]*peer
	runPeer    func(*peer, context.Context) // a peer's goroutine
	watermarks watermarks
	delays     delays
	goroutines sync.WaitGroup // the goroutines
}

// submitJob gives the disk's writer a job. A lab build has one that waits for it in its place.
var submitJob = (*Replica).enqueueJob

// longAgo is a time long ago: a clock may begin anywhere.
var longAgo = math.Inf(-1)

// request is one that waits for a lease, or with no holder for a read.
type request struct {
	lease.Request
	read     bool
	deadline float64
	answer   chan requestResult // of capacity one
}

type requestResult struct {
	grant   lease.Grant
	encoded []byte // the whole answer, shared and read only, where the holder needs the terms too; else nil
	err     error
}

// proposalResult is what came of a publish. Unless it was applied an error leaves open whether it will be.
type proposalResult struct {
	version *sharedconfig.Version
	err     error
	applied bool
}

var errNotLeading = errors.New("this keeper does not lead")

// Run is a keeper from its start until stop is done, then it hands over what it leads and ends. ready is called with
// the address once calls are answered.
func Run(stop context.Context, cfg *Config, ready func(net.Addr)) error {
	dir, err := disk.Open(cfg.Data)
	if err != nil {
		return fmt.Errorf("keeper: data: %w", err)
	}
	defer dir.Close()
	id, err := loadIdentity(dir, cfg.Name)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("keeper: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := newReplica(ctx, cfg, dir, id)
	k.runPeer = (*peer).run
	defer k.goroutines.Wait()
	defer cancel()
	if err := k.watermarks.load(dir); err != nil {
		ln.Close()
		return err
	}
	// Identities are asked for before there is anything to vote on, so calls are answered from now on.
	var whole sharedIdentity
	whole.set(id)
	server := &http.Server{Handler: k.handler(&whole), ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	k.goroutines.Go(func() { server.Serve(ln) })
	defer server.Close()
	if ready != nil {
		ready(ln.Addr())
	}
	if id.Formed == nil && !cfg.Join {
		mine := *id
		if err := mine.form(stop, cfg.Members, k.caller); err != nil {
			if stop.Err() != nil {
				return nil
			}
			return err
		}
		if err := writeJSON(dir, identityFile, &mine); err != nil {
			return err
		}
		*id = mine
		whole.set(id)
		slog.Info("formed", "name", id.Name, "id", id.ID, "members", len(id.Formed))
	}
	if err := k.openStorage(); err != nil {
		return err
	}
	return k.loop(stop)
}

// newReplica is one that has not begun.
func newReplica(ctx context.Context, cfg *Config, dir *disk.Dir, id *Identity) *Replica {
	k := &Replica{cfg: cfg, dir: dir, identity: id, ctx: ctx, caller: client.NewCallerWithConns(maxCalls), inbox: make(chan func(), 1024),
		state: state{Members: map[uint64]member{}}, proposals: map[string][]chan proposalResult{}, peers: map[uint64]*peer{},
		proposedAt: longAgo, memberChangeUntil: longAgo}
	k.watermarks.savedAt, k.delays = longAgo, newDelays()
	var b [8]byte
	rand.Read(b[:])
	for _, v := range b {
		k.nonce = k.nonce<<8 | uint64(v)
	}
	return k
}

// openStorage makes raft's node of what the folder has.
func (k *Replica) openStorage() (err error) {
	if k.storage, err = loadStorage(k.dir); err != nil {
		return err
	}
	if k.storage.truncatedBytes > 0 {
		slog.Warn("the log's end was not whole and is cut off", "bytes", k.storage.truncatedBytes)
	}
	snap, err := k.storage.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) && k.identity.Formed != nil {
		// The very first state is the same at all first members.
		conf := &pb.ConfState{}
		for name, id := range k.identity.Formed {
			k.state.Members[id] = member{Name: name, Addr: k.cfg.Members[name]}
			conf.Voters = append(conf.Voters, id)
		}
		slices.Sort(conf.Voters)
		data, err := json.Marshal(&k.state)
		if err != nil {
			return err
		}
		first := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
		if last, _ := k.storage.LastIndex(); last > 0 {
			return fmt.Errorf("%w: there are entries and no snapshot", ErrCorrupt)
		}
		if err := k.storage.writeInitialSnapshot(first); err != nil {
			return err
		}
		snap = first
	}
	if !raft.IsEmptySnap(snap) {
		if err := k.restore(snap); err != nil {
			return err
		}
	}
	k.writer = newWriter(k.storage.file)
	k.node, err = raft.NewRawNode(&raft.Config{ID: k.identity.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.storage,
		Applied: k.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true,
		AsyncStorageWrites: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: logger{}})
	return err
}

// restore makes a snapshot the state.
func (k *Replica) restore(snap *pb.Snapshot) error {
	var s state
	if err := json.Unmarshal(snap.GetData(), &s); err != nil {
		return fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	k.state, k.confState, k.applied = s, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	k.updatePeers()
	return nil
}

// loop owns all state until stop is done or the disk fails.
func (k *Replica) loop(stop context.Context) error {
	tick := time.NewTicker(time.Duration(k.cfg.TickMs * float64(time.Millisecond)))
	defer tick.Stop()
	defer k.failAll(errors.New("this keeper ends"))
	k.goroutines.Go(k.writer.run)
	defer close(k.writer.jobs)
	var over <-chan time.Time
	stopping := stop.Done()
	for {
		from := k.now()
		select {
		case <-tick.C:
			from = k.now()
			if err := k.handleTick(); err != nil {
				return err
			}
		case f := <-k.inbox:
			from = k.now()
			k.runPosted(f)
		case j := <-k.writer.done:
			from = k.now()
			if err := k.jobFinished(j); err != nil {
				return err
			}
		case <-stopping:
			stopping = nil
			if to := k.transferTarget(); to != 0 {
				slog.Info("handing over", "to", k.state.Members[to].Name)
				k.node.TransferLeader(to)
			}
			over = time.After(transferTimeout)
		case <-over:
			return nil
		}
		if err := k.processReady(); err != nil {
			return err
		}
		k.delays.record(delayIteration, from, k.now())
		if stopping == nil && over != nil && k.softState.RaftState != raft.StateLeader {
			return nil
		}
	}
}

// transferTarget is the voter that is to lead after this keeper; 0: this one does not lead, or there is none.
func (k *Replica) transferTarget() (to uint64) {
	if k.softState.RaftState != raft.StateLeader {
		return 0
	}
	best := uint64(0)
	for id, p := range k.node.Status().Progress {
		if id != k.identity.ID && !p.IsLearner && p.RecentActive && p.Match >= best {
			best, to = p.Match, id
		}
	}
	return to
}

// runPosted carries out the calls that wait, f before them. Of those that come meanwhile it leaves the rest to the next turn.
func (k *Replica) runPosted(f func()) {
	from, n := k.now(), len(k.inbox)
	if f != nil {
		f()
		k.delays.queued(n + 1)
	}
	for range n {
		(<-k.inbox)()
	}
	k.delays.record(delayInbox, from, k.now())
}

// processReady carries out what raft wants: the disk makes last what is to, and what must not be known before that waits for it.
// All else goes on: an answer of the disk that takes long holds up neither ticks nor heartbeats.
func (k *Replica) processReady() error {
	for k.node.HasReady() && k.jobsSubmitted-k.jobsDone < maxPendingJobs {
		rd := k.node.Ready()
		if rd.SoftState != nil {
			k.softStateChanged(*rd.SoftState)
		}
		var out, applied []*pb.Message
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				if err := k.submitReady(&rd, m.GetResponses()); err != nil {
					return err
				}
			case raft.LocalApplyThread:
				applied = m.GetResponses()
			default:
				out = append(out, m)
			}
		}
		k.sendWhenDurable(out)
		for _, e := range rd.CommittedEntries {
			if err := k.apply(e); err != nil {
				return err
			}
		}
		for _, m := range applied {
			k.node.Step(m)
		}
		for _, r := range rd.ReadStates {
			if string(r.RequestCtx) == fmt.Sprint(k.confirmID) {
				k.confirmIndex = max(r.Index, 1)
			}
		}
	}
	k.serveRequests()
	due := k.membersChanged || k.applied-k.storage.snapshotIndex >= snapshotEntries || k.storage.logBytes > maxLogBeforeSnapshotBytes
	if due && k.applied > k.storage.snapshotIndex && k.storage.pendingSnapshots == 0 && k.jobsSubmitted-k.jobsDone < maxPendingJobs {
		data, err := json.Marshal(&k.state)
		if err != nil {
			return err
		}
		k.membersChanged = false
		j, err := k.storage.compact(k.applied, k.confState, data)
		if err != nil {
			return err
		}
		return submitJob(k, j)
	}
	return nil
}

// submitReady has the disk make last what raft has of new; then raft hears of it, and others the responses.
func (k *Replica) submitReady(rd *raft.Ready, responses []*pb.Message) error {
	j, voted, err := k.storage.save(rd)
	if err != nil {
		return err
	}
	if voted {
		k.voteJob = k.jobsSubmitted + 1
	}
	lasts, snap := j.onDurable, rd.Snapshot
	j.onDurable = func() error {
		if err := lasts(); err != nil {
			return err
		}
		if !raft.IsEmptySnap(snap) {
			if err := k.restore(snap); err != nil {
				return err
			}
		}
		for _, m := range responses {
			if m.GetTo() == k.identity.ID {
				k.node.Step(m)
			} else {
				k.send(m)
			}
		}
		return nil
	}
	return submitJob(k, j)
}

// enqueueJob gives the disk's writer a job, and goes on.
func (k *Replica) enqueueJob(j *job) error {
	k.jobsSubmitted++
	k.writer.jobs <- j
	return nil
}

// runJob gives the disk's writer a job and waits until it has come back.
func (k *Replica) runJob(j *job) error {
	k.jobsSubmitted++
	k.writer.jobs <- j
	for {
		back := <-k.writer.done
		if err := k.jobFinished(back); err != nil || back == j {
			return err
		}
	}
}

// jobFinished takes a job back.
func (k *Replica) jobFinished(j *job) error {
	k.jobsDone++
	kind := delaySave
	if j.replace != nil {
		kind = delayReplace
	}
	k.delays.record(kind, j.startedAt, j.finishedAt)
	if j.err != nil {
		return fmt.Errorf("keeper: it ends, for what its disk has now is not known: %w", j.err)
	}
	if k.jobsDone == k.voteJob {
		held := k.unsentMessages
		k.unsentMessages = nil
		k.sendWhenDurable(held)
	}
	if j.onDurable != nil {
		return j.onDurable()
	}
	return nil
}

// diskStalled tells whether the disk has not answered for so long that this keeper is to be taken for one that is dead.
func (k *Replica) diskStalled() bool { return k.diskSilentTicks >= diskStallTicks }

// sendWhenDurable sends what raft lets be known before its entries last. Who has not kept its term and vote could lead, or vote,
// twice in the same term, so all waits for these.
func (k *Replica) sendWhenDurable(msgs []*pb.Message) {
	for _, m := range msgs {
		switch {
		case k.diskStalled():
			if m.GetType() == pb.MsgSnap {
				k.node.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			}
		case k.jobsDone < k.voteJob:
			k.unsentMessages = append(k.unsentMessages, m)
		default:
			k.send(m)
		}
	}
}

// softStateChanged follows who leads.
func (k *Replica) softStateChanged(now raft.SoftState) {
	if now.RaftState != k.softState.RaftState || now.Lead != k.softState.Lead {
		slog.Info("raft", "state", now.RaftState.String(), "leader", k.state.Members[now.Lead].Name)
	}
	k.countElection(k.softState, now)
	k.softState = now
	if now.RaftState != raft.StateLeader {
		k.lessor = nil
		k.failRequests(errNotLeading)
	}
}

// apply carries out one entry that is committed.
func (k *Replica) apply(e *pb.Entry) error {
	k.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) == 0 {
			break
		}
		var op history.Command
		if err := json.Unmarshal(e.GetData(), &op); err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, e.GetIndex(), err)
		}
		was := k.state.History.Epoch
		v, err := k.state.History.Apply(&op)
		id := op.ID()
		for _, c := range k.proposals[id] {
			c <- proposalResult{v, err, true}
		}
		delete(k.proposals, id)
		if k.state.History.Epoch != was {
			slog.Info("in force", "stage", k.state.History.Epoch)
			k.requeueWaiting()
		}
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if e.GetType() == pb.EntryConfChange {
			v1 := &pb.ConfChange{}
			if err := proto.Unmarshal(e.GetData(), v1); err != nil {
				return err
			}
			cc = v1.AsV2()
		} else if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return err
		}
		k.confState = k.node.ApplyConfChange(cc)
		k.applyMemberChange(cc)
		k.membersChanged = true
	}
	// Its own entry of the term says that all of before is applied: from here on this keeper may give leases.
	if t := k.node.BasicStatus(); k.softState.RaftState == raft.StateLeader && e.GetTerm() == t.GetTerm() && (k.lessor == nil || k.lessorTerm != e.GetTerm()) {
		k.lessor, k.lessorTerm = lease.NewLessor(clock.Steady(), k.cfg.LeaseMs, k.cfg.EndpointsMs), e.GetTerm()
	}
	return nil
}

// handleTick takes a tick. What lies there by then is carried out before it: a leader whose word does is not one that is
// silent, and a disk that has answered none that does not.
func (k *Replica) handleTick() error {
	k.runPosted(nil)
	for range len(k.writer.done) {
		if err := k.jobFinished(<-k.writer.done); err != nil {
			return err
		}
	}
	k.tick()
	return nil
}

// tick does what time asks for.
func (k *Replica) tick() {
	now := clock.Steady()
	k.delays.tick(now, k.cfg.TickMs, k.cfg.TickMs*electionTicks*2)
	k.node.Tick()
	if k.diskSilentTicks++; k.jobsSubmitted == k.jobsDone || k.jobsDone != k.jobsDoneAtTick {
		k.diskSilentTicks, k.jobsDoneAtTick = 0, k.jobsDone
	}
	k.waiting = slices.DeleteFunc(k.waiting, func(a *request) bool {
		if now < a.deadline {
			return false
		}
		k.pending = append(k.pending, a)
		return true
	})
	if len(k.confirming) > 0 && now-k.confirmStartedAt > k.cfg.TickMs*electionTicks {
		for _, a := range k.confirming {
			a.answer <- requestResult{err: errors.New("no majority of the keepers answers")}
		}
		k.confirming = nil
	}
	k.recordWatermarks()
	if k.lessor == nil {
		return
	}
	k.promote(now)
}

// advance proposes the next stage once nobody acts on a stage before this one.
func (k *Replica) advance(now float64) {
	b := &k.state.History
	if k.lessor == nil || !b.CanAdvance() {
		return
	}
	if b.Epoch == k.proposedEpoch && now-k.proposedAt < k.cfg.TickMs*electionTicks {
		return // it is on its way
	}
	if k.lessor.MayAdvance(now, b.Epoch, b.EndpointsChanged) {
		stage := b.Epoch
		if data, err := json.Marshal(&history.Command{Advance: &stage}); err == nil && k.node.Propose(data) == nil {
			k.proposedEpoch, k.proposedAt = stage, now
		}
	}
}

// requeueWaiting has all who waited for something new asked for at the next round.
func (k *Replica) requeueWaiting() {
	k.pending = append(k.pending, k.waiting...)
	k.waiting = nil
}

// serveRequests begins and ends rounds: one for all asks that are there, confirmed by a majority after they were.
func (k *Replica) serveRequests() {
	now := clock.Steady()
	k.advance(now)
	if k.lessor == nil {
		return
	}
	if len(k.confirming) > 0 && k.confirmIndex > 0 && k.applied >= k.confirmIndex {
		for _, a := range k.confirming {
			k.answer(now, a)
		}
		k.confirming = nil
	}
	if len(k.confirming) == 0 && len(k.pending) > 0 {
		k.confirming, k.pending = k.pending, nil
		k.confirmID++
		k.confirmIndex, k.confirmStartedAt = 0, now
		k.node.ReadIndex([]byte(fmt.Sprint(k.confirmID)))
		// A single keeper has its own word at once; HasReady says so and step is called again.
		k.runAgain(func() {})
	}
}

// runAgain has the loop run once more, if it is not going to anyway.
func (k *Replica) runAgain(f func()) {
	select {
	case k.inbox <- f:
	default:
	}
}

func (k *Replica) answer(now float64, a *request) {
	if a.read {
		a.answer <- requestResult{}
		return
	}
	b := &k.state.History
	if t := k.transitions.get(b); t != nil && !t.Config.AllowsAgent(a.Name) {
		a.answer <- requestResult{err: fmt.Errorf("agent %q is not in the list of agents", a.Name)}
		return
	}
	g, ok := k.lessor.Grant(now, a.Request, b.Epoch)
	if !ok {
		a.answer <- requestResult{err: fmt.Errorf("no lease: the agent has stage %d, in force is %d", a.Epoch, b.Epoch)}
		return
	}
	out := requestResult{grant: g}
	if a.Epoch != g.Epoch {
		out.encoded, out.err = k.transitions.encodedResponse(b, g)
	}
	a.answer <- out
}

// enqueue takes an ask.
func (k *Replica) enqueue(a *request) {
	switch {
	case k.softState.RaftState != raft.StateLeader:
		a.answer <- requestResult{err: errNotLeading}
		return
	case len(k.waiting)+len(k.pending)+len(k.confirming) >= maxPendingRequests:
		a.answer <- requestResult{err: errors.New("too many asks wait")}
		return
	}
	now := clock.Steady()
	if k.lessor != nil && !a.read {
		k.lessor.Observe(now, a.Request)
	}
	if !a.read && a.Epoch == k.state.History.Epoch && a.deadline > now && k.lessor != nil {
		k.waiting = append(k.waiting, a)
		return
	}
	k.pending = append(k.pending, a)
}

func (k *Replica) failRequests(err error) {
	for _, l := range []*[]*request{&k.waiting, &k.pending, &k.confirming} {
		for _, a := range *l {
			a.answer <- requestResult{err: err}
		}
		*l = nil
	}
}

func (k *Replica) failAll(err error) {
	k.failRequests(err)
	for id, l := range k.proposals {
		for _, c := range l {
			c <- proposalResult{err: err}
		}
		delete(k.proposals, id)
	}
}

// propose hands an entry to raft; the answer comes when it is applied, if ever.
func (k *Replica) propose(id string, op *history.Command, answer chan proposalResult) {
	if k.softState.RaftState != raft.StateLeader {
		answer <- proposalResult{err: errNotLeading}
		return
	}
	if len(k.proposals) >= 1024 {
		answer <- proposalResult{err: errors.New("too many publishes wait")}
		return
	}
	data, err := json.Marshal(op)
	if err == nil {
		err = k.node.Propose(data)
	}
	if err != nil {
		answer <- proposalResult{err: err}
		return
	}
	k.proposals[id] = append(k.proposals[id], answer)
}

// logger is raft's log. Panics are raft's own: what it finds impossible ends the process.
type logger struct{}

func (logger) Debug(...any)                {}
func (logger) Debugf(string, ...any)       {}
func (logger) Info(...any)                 {}
func (logger) Infof(string, ...any)        {}
func (logger) Warning(v ...any)            { slog.Warn("raft", "text", fmt.Sprint(v...)) }
func (logger) Warningf(f string, v ...any) { slog.Warn("raft", "text", fmt.Sprintf(f, v...)) }
func (logger) Error(v ...any)              { slog.Error("raft", "text", fmt.Sprint(v...)) }
func (logger) Errorf(f string, v ...any)   { slog.Error("raft", "text", fmt.Sprintf(f, v...)) }
func (logger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (logger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (logger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (logger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
