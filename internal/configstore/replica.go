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
	// stallTicks is for how long a keeper whose disk does not answer is like any other; from then on it is silent, so that
	// a leader is replaced. With the election and the wait for leases that a new leader does not know, as deployed
	// (1.5 + 0.8 + 5.1 s), a change is then still in force within 8 s; a shorter disk's pause costs less than an election.
	stallTicks = 60
	// transferTime bounds how long a planned end waits for another leader.
	transferTime = time.Second
	// mostPending bounds asks and publishes that wait in a keeper.
	mostPending = lease.MaxHolders
)

// member is one keeper as the log knows it.
type member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// state is what entries of the log change, and a snapshot holds.
type state struct {
	Book    history.History   `json:"book"`
	Members map[uint64]member `json:"members"`
}

// Replica is one process. Its fields belong to the loop, Run's goroutine, but for what is said otherwise.
type Replica struct {
	cfg   *Config
	dir   *disk.Dir
	id    *Identity
	st    *storage
	rn    *raft.RawNode
	nonce uint64 // of this start
	ask   *client.Caller
	ctx   context.Context

	inbox   chan func()
	disk    *writer
	begun   uint64 // jobs that the writer was given,
	ended   uint64 // and those that came back
	voted   uint64 // the last of them with a term or vote: nothing is sent before it lasts
	held    []*pb.Message
	still   int    // ticks since one came back, where any are on their way
	stillAt uint64 // ended at the last tick
	state   state
	conf    *pb.ConfState
	applied uint64
	soft    raft.SoftState
	terms   termsCache

	desk     *lease.Lessor // nil unless this keeper leads and has an entry of its own term applied
	deskTerm uint64
	proposed uint64  // the stage that was last proposed to be left, and when
	at       float64 // ms of the steady clock
	altered  bool    // the members have changed since the last snapshot: one that joins needs a snapshot that has it
	changing float64 // until when a change of members is waited for

	waiting []*ask // have what there is, and wait for something new
	pending []*ask // wait for the next round
	round   []*ask // wait for a majority's word that this keeper leads
	roundID uint64
	roundAt float64
	ready   uint64 // index that must be applied for the round; 0: no word yet
	opens   map[string][]chan result

	peers map[uint64]*peer
	carry func(*peer, context.Context) // a peer's goroutine
	seen  seen
	holds holds
	on    sync.WaitGroup // the goroutines
}

// hand gives the disk's writer a job. A lab build has one that waits for it in its place.
var hand = (*Replica).enqueue

// long is a time long ago: a clock may begin anywhere.
var long = math.Inf(-1)

// ask is one that waits for a lease, or with no holder for a read.
type ask struct {
	lease.Request
	read   bool
	due    float64
	answer chan granted // of capacity one
}

type granted struct {
	grant lease.Grant
	text  []byte // the whole answer, shared and read only, where the holder needs the terms too; else nil
	err   error
}

// result is what came of a publish. Unless it was applied an error leaves open whether it will be.
type result struct {
	v       *sharedconfig.Version
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
	id, err := identify(dir, cfg.Name)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("keeper: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := newKeeper(ctx, cfg, dir, id)
	k.carry = (*peer).run
	defer k.on.Wait()
	defer cancel()
	if err := k.seen.load(dir); err != nil {
		ln.Close()
		return err
	}
	// Identities are asked for before there is anything to vote on, so calls are answered from now on.
	var whole identityBox
	whole.set(id)
	server := &http.Server{Handler: k.handler(&whole), ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	k.on.Go(func() { server.Serve(ln) })
	defer server.Close()
	if ready != nil {
		ready(ln.Addr())
	}
	if id.Formed == nil && !cfg.Join {
		mine := *id
		if err := mine.form(stop, cfg.Members, k.ask); err != nil {
			if stop.Err() != nil {
				return nil
			}
			return err
		}
		if err := write(dir, identityFile, &mine); err != nil {
			return err
		}
		*id = mine
		whole.set(id)
		slog.Info("formed", "name", id.Name, "id", id.ID, "members", len(id.Formed))
	}
	if err := k.begin(); err != nil {
		return err
	}
	return k.loop(stop)
}

// newKeeper is one that has not begun.
func newKeeper(ctx context.Context, cfg *Config, dir *disk.Dir, id *Identity) *Replica {
	k := &Replica{cfg: cfg, dir: dir, id: id, ctx: ctx, ask: client.NewCallerWithConns(mostCalls), inbox: make(chan func(), 1024),
		state: state{Members: map[uint64]member{}}, opens: map[string][]chan result{}, peers: map[uint64]*peer{},
		at: long, changing: long}
	k.seen.at, k.holds = long, newHolds()
	var b [8]byte
	rand.Read(b[:])
	for _, v := range b {
		k.nonce = k.nonce<<8 | uint64(v)
	}
	return k
}

// begin makes raft's node of what the folder has.
func (k *Replica) begin() (err error) {
	if k.st, err = load(k.dir); err != nil {
		return err
	}
	if k.st.torn > 0 {
		slog.Warn("the log's end was not whole and is cut off", "bytes", k.st.torn)
	}
	snap, err := k.st.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) && k.id.Formed != nil {
		// The very first state is the same at all first members.
		conf := &pb.ConfState{}
		for name, id := range k.id.Formed {
			k.state.Members[id] = member{Name: name, Addr: k.cfg.Members[name]}
			conf.Voters = append(conf.Voters, id)
		}
		slices.Sort(conf.Voters)
		data, err := json.Marshal(&k.state)
		if err != nil {
			return err
		}
		first := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
		if last, _ := k.st.LastIndex(); last > 0 {
			return fmt.Errorf("%w: there are entries and no snapshot", ErrCorrupt)
		}
		if err := k.st.first(first); err != nil {
			return err
		}
		snap = first
	}
	if !raft.IsEmptySnap(snap) {
		if err := k.restore(snap); err != nil {
			return err
		}
	}
	k.disk = newWriter(k.st.file)
	k.rn, err = raft.NewRawNode(&raft.Config{ID: k.id.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.st,
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
	k.state, k.conf, k.applied = s, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	k.connect()
	return nil
}

// loop owns all state until stop is done or the disk fails.
func (k *Replica) loop(stop context.Context) error {
	tick := time.NewTicker(time.Duration(k.cfg.TickMs * float64(time.Millisecond)))
	defer tick.Stop()
	defer k.failAll(errors.New("this keeper ends"))
	k.on.Go(k.disk.run)
	defer close(k.disk.jobs)
	var over <-chan time.Time
	stopping := stop.Done()
	for {
		from := k.now()
		select {
		case <-tick.C:
			from = k.now()
			if err := k.ticked(); err != nil {
				return err
			}
		case f := <-k.inbox:
			from = k.now()
			k.hear(f)
		case j := <-k.disk.done:
			from = k.now()
			if err := k.lasts(j); err != nil {
				return err
			}
		case <-stopping:
			stopping = nil
			if to := k.heir(); to != 0 {
				slog.Info("handing over", "to", k.state.Members[to].Name)
				k.rn.TransferLeader(to)
			}
			over = time.After(transferTime)
		case <-over:
			return nil
		}
		if err := k.step(); err != nil {
			return err
		}
		k.holds.took(holdTurn, from, k.now())
		if stopping == nil && over != nil && k.soft.RaftState != raft.StateLeader {
			return nil
		}
	}
}

// heir is the voter that is to lead after this keeper; 0: this one does not lead, or there is none.
func (k *Replica) heir() (to uint64) {
	if k.soft.RaftState != raft.StateLeader {
		return 0
	}
	best := uint64(0)
	for id, p := range k.rn.Status().Progress {
		if id != k.id.ID && !p.IsLearner && p.RecentActive && p.Match >= best {
			best, to = p.Match, id
		}
	}
	return to
}

// hear carries out the calls that wait, f before them. Of those that come meanwhile it leaves the rest to the next turn.
func (k *Replica) hear(f func()) {
	from, n := k.now(), len(k.inbox)
	if f != nil {
		f()
		k.holds.queued(n + 1)
	}
	for range n {
		(<-k.inbox)()
	}
	k.holds.took(holdInbox, from, k.now())
}

// step carries out what raft wants: the disk makes last what is to, and what must not be known before that waits for it.
// All else goes on: an answer of the disk that takes long holds up neither ticks nor heartbeats.
func (k *Replica) step() error {
	for k.rn.HasReady() && k.begun-k.ended < mostJobs {
		rd := k.rn.Ready()
		if rd.SoftState != nil {
			k.turned(*rd.SoftState)
		}
		var out, applied []*pb.Message
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				if err := k.save(&rd, m.GetResponses()); err != nil {
					return err
				}
			case raft.LocalApplyThread:
				applied = m.GetResponses()
			default:
				out = append(out, m)
			}
		}
		k.emit(out)
		for _, e := range rd.CommittedEntries {
			if err := k.apply(e); err != nil {
				return err
			}
		}
		for _, m := range applied {
			k.rn.Step(m)
		}
		for _, r := range rd.ReadStates {
			if string(r.RequestCtx) == fmt.Sprint(k.roundID) {
				k.ready = max(r.Index, 1)
			}
		}
	}
	k.serve()
	due := k.altered || k.applied-k.st.base >= compactAt || k.st.size > logAt
	if due && k.applied > k.st.base && k.st.snaps == 0 && k.begun-k.ended < mostJobs {
		data, err := json.Marshal(&k.state)
		if err != nil {
			return err
		}
		k.altered = false
		j, err := k.st.compact(k.applied, k.conf, data)
		if err != nil {
			return err
		}
		return hand(k, j)
	}
	return nil
}

// save has the disk make last what raft has of new; then raft hears of it, and others the responses.
func (k *Replica) save(rd *raft.Ready, responses []*pb.Message) error {
	j, voted, err := k.st.save(rd)
	if err != nil {
		return err
	}
	if voted {
		k.voted = k.begun + 1
	}
	lasts, snap := j.then, rd.Snapshot
	j.then = func() error {
		if err := lasts(); err != nil {
			return err
		}
		if !raft.IsEmptySnap(snap) {
			if err := k.restore(snap); err != nil {
				return err
			}
		}
		for _, m := range responses {
			if m.GetTo() == k.id.ID {
				k.rn.Step(m)
			} else {
				k.send(m)
			}
		}
		return nil
	}
	return hand(k, j)
}

// enqueue gives the disk's writer a job, and goes on.
func (k *Replica) enqueue(j *job) error {
	k.begun++
	k.disk.jobs <- j
	return nil
}

// await gives the disk's writer a job and waits until it has come back.
func (k *Replica) await(j *job) error {
	k.begun++
	k.disk.jobs <- j
	for {
		back := <-k.disk.done
		if err := k.lasts(back); err != nil || back == j {
			return err
		}
	}
}

// lasts takes a job back.
func (k *Replica) lasts(j *job) error {
	k.ended++
	kind := holdSave
	if j.do != nil {
		kind = holdKept
	}
	k.holds.took(kind, j.began, j.over)
	if j.err != nil {
		return fmt.Errorf("keeper: it ends, for what its disk has now is not known: %w", j.err)
	}
	if k.ended == k.voted {
		held := k.held
		k.held = nil
		k.emit(held)
	}
	if j.then != nil {
		return j.then()
	}
	return nil
}

// stalled tells whether the disk has not answered for so long that this keeper is to be taken for one that is dead.
func (k *Replica) stalled() bool { return k.still >= stallTicks }

// emit sends what raft lets be known before its entries last. Who has not kept its term and vote could lead, or vote,
// twice in the same term, so all waits for these.
func (k *Replica) emit(msgs []*pb.Message) {
	for _, m := range msgs {
		switch {
		case k.stalled():
			if m.GetType() == pb.MsgSnap {
				k.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			}
		case k.ended < k.voted:
			k.held = append(k.held, m)
		default:
			k.send(m)
		}
	}
}

// turned follows who leads.
func (k *Replica) turned(now raft.SoftState) {
	if now.RaftState != k.soft.RaftState || now.Lead != k.soft.Lead {
		slog.Info("raft", "state", now.RaftState.String(), "leader", k.state.Members[now.Lead].Name)
	}
	k.told(k.soft, now)
	k.soft = now
	if now.RaftState != raft.StateLeader {
		k.desk = nil
		k.failAsks(errNotLeading)
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
		was := k.state.Book.Epoch
		v, err := k.state.Book.Apply(&op)
		id := op.ID()
		for _, c := range k.opens[id] {
			c <- result{v, err, true}
		}
		delete(k.opens, id)
		if k.state.Book.Epoch != was {
			slog.Info("in force", "stage", k.state.Book.Epoch)
			k.wake()
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
		k.conf = k.rn.ApplyConfChange(cc)
		k.changed(cc)
		k.altered = true
	}
	// Its own entry of the term says that all of before is applied: from here on this keeper may give leases.
	if t := k.rn.BasicStatus(); k.soft.RaftState == raft.StateLeader && e.GetTerm() == t.GetTerm() && (k.desk == nil || k.deskTerm != e.GetTerm()) {
		k.desk, k.deskTerm = lease.NewLessor(clock.Steady(), k.cfg.LeaseMs, k.cfg.EndpointsMs), e.GetTerm()
	}
	return nil
}

// ticked takes a tick. What lies there by then is carried out before it: a leader whose word does is not one that is
// silent, and a disk that has answered none that does not.
func (k *Replica) ticked() error {
	k.hear(nil)
	for range len(k.disk.done) {
		if err := k.lasts(<-k.disk.done); err != nil {
			return err
		}
	}
	k.tick()
	return nil
}

// tick does what time asks for.
func (k *Replica) tick() {
	now := clock.Steady()
	k.holds.tick(now, k.cfg.TickMs, k.cfg.TickMs*electionTicks*2)
	k.rn.Tick()
	if k.still++; k.begun == k.ended || k.ended != k.stillAt {
		k.still, k.stillAt = 0, k.ended
	}
	k.waiting = slices.DeleteFunc(k.waiting, func(a *ask) bool {
		if now < a.due {
			return false
		}
		k.pending = append(k.pending, a)
		return true
	})
	if len(k.round) > 0 && now-k.roundAt > k.cfg.TickMs*electionTicks {
		for _, a := range k.round {
			a.answer <- granted{err: errors.New("no majority of the keepers answers")}
		}
		k.round = nil
	}
	k.watermarks()
	if k.desk == nil {
		return
	}
	k.promote(now)
}

// advance proposes the next stage once nobody acts on a stage before this one.
func (k *Replica) advance(now float64) {
	b := &k.state.Book
	if k.desk == nil || !b.CanAdvance() {
		return
	}
	if b.Epoch == k.proposed && now-k.at < k.cfg.TickMs*electionTicks {
		return // it is on its way
	}
	if k.desk.MayAdvance(now, b.Epoch, b.EndpointsChanged) {
		stage := b.Epoch
		if data, err := json.Marshal(&history.Command{Advance: &stage}); err == nil && k.rn.Propose(data) == nil {
			k.proposed, k.at = stage, now
		}
	}
}

// wake has all who waited for something new asked for at the next round.
func (k *Replica) wake() {
	k.pending = append(k.pending, k.waiting...)
	k.waiting = nil
}

// serve begins and ends rounds: one for all asks that are there, confirmed by a majority after they were.
func (k *Replica) serve() {
	now := clock.Steady()
	k.advance(now)
	if k.desk == nil {
		return
	}
	if len(k.round) > 0 && k.ready > 0 && k.applied >= k.ready {
		for _, a := range k.round {
			k.grant(now, a)
		}
		k.round = nil
	}
	if len(k.round) == 0 && len(k.pending) > 0 {
		k.round, k.pending = k.pending, nil
		k.roundID++
		k.ready, k.roundAt = 0, now
		k.rn.ReadIndex([]byte(fmt.Sprint(k.roundID)))
		// A single keeper has its own word at once; HasReady says so and step is called again.
		k.post(func() {})
	}
}

// post has the loop run once more, if it is not going to anyway.
func (k *Replica) post(f func()) {
	select {
	case k.inbox <- f:
	default:
	}
}

func (k *Replica) grant(now float64, a *ask) {
	if a.read {
		a.answer <- granted{}
		return
	}
	b := &k.state.Book
	if t := k.terms.of(b); t != nil && !t.Config.AllowsAgent(a.Name) {
		a.answer <- granted{err: fmt.Errorf("agent %q is not in the list of agents", a.Name)}
		return
	}
	g, ok := k.desk.Grant(now, a.Request, b.Epoch)
	if !ok {
		a.answer <- granted{err: fmt.Errorf("no lease: the agent has stage %d, in force is %d", a.Epoch, b.Epoch)}
		return
	}
	out := granted{grant: g}
	if a.Epoch != g.Epoch {
		out.text, out.err = k.terms.answer(b, g)
	}
	a.answer <- out
}

// take takes an ask.
func (k *Replica) take(a *ask) {
	switch {
	case k.soft.RaftState != raft.StateLeader:
		a.answer <- granted{err: errNotLeading}
		return
	case len(k.waiting)+len(k.pending)+len(k.round) >= mostPending:
		a.answer <- granted{err: errors.New("too many asks wait")}
		return
	}
	now := clock.Steady()
	if k.desk != nil && !a.read {
		k.desk.Observe(now, a.Request)
	}
	if !a.read && a.Epoch == k.state.Book.Epoch && a.due > now && k.desk != nil {
		k.waiting = append(k.waiting, a)
		return
	}
	k.pending = append(k.pending, a)
}

func (k *Replica) failAsks(err error) {
	for _, l := range []*[]*ask{&k.waiting, &k.pending, &k.round} {
		for _, a := range *l {
			a.answer <- granted{err: err}
		}
		*l = nil
	}
}

func (k *Replica) failAll(err error) {
	k.failAsks(err)
	for id, l := range k.opens {
		for _, c := range l {
			c <- result{err: err}
		}
		delete(k.opens, id)
	}
}

// propose hands an entry to raft; the answer comes when it is applied, if ever.
func (k *Replica) propose(id string, op *history.Command, answer chan result) {
	if k.soft.RaftState != raft.StateLeader {
		answer <- result{err: errNotLeading}
		return
	}
	if len(k.opens) >= 1024 {
		answer <- result{err: errors.New("too many publishes wait")}
		return
	}
	data, err := json.Marshal(op)
	if err == nil {
		err = k.rn.Propose(data)
	}
	if err != nil {
		answer <- result{err: err}
		return
	}
	k.opens[id] = append(k.opens[id], answer)
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
