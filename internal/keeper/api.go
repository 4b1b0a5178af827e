package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"ringtrack.example/ringtrack/internal/agree"
	"ringtrack.example/ringtrack/internal/agree/link"
	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/rulebook"
)

const (
	// publishTime bounds how long a publish waits until a majority has it, forwardTime how long a call that another
	// keeper has to answer may take beside what it asked to wait.
	publishTime, forwardTime = 3 * time.Second, 2 * time.Second
	// mostCalls bounds the calls of agents and operators that a keeper holds.
	mostCalls = 4096
)

func (k *Keeper) now() float64 { return clock.Steady() }

// identityBox is the identity as calls may read it, from any goroutine.
type identityBox struct {
	mu sync.Mutex
	id Identity
}

func (b *identityBox) set(id *Identity) { b.mu.Lock(); b.id = *id; b.mu.Unlock() }
func (b *identityBox) get() Identity    { b.mu.Lock(); defer b.mu.Unlock(); return b.id }

// handler answers calls. Each that needs the loop waits for it, for a bounded time.
func (k *Keeper) handler(id *identityBox) http.Handler {
	room := make(chan struct{}, mostCalls)
	mux := http.NewServeMux()
	call := func(pattern string, most int64, f func(req *http.Request, body []byte) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			select {
			case room <- struct{}{}:
				defer func() { <-room }()
			default:
				http.Error(w, "too many calls", http.StatusServiceUnavailable)
				return
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
			if err != nil {
				http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
				return
			}
			out, err := f(req, body)
			if err != nil {
				http.Error(w, err.Error(), status(err))
				return
			}
			w.Header().Set("Content-Type", "application/json")
			if text, ready := out.(encoded); ready {
				w.Write(text)
				return
			}
			json.NewEncoder(w).Encode(out)
		})
	}
	call("GET "+pathIdentity, 0, func(*http.Request, []byte) (any, error) { return id.get(), nil })
	mux.HandleFunc("POST "+pathRaft, func(w http.ResponseWriter, req *http.Request) {
		t, err := readParcel(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		heard := make(chan error, 1)
		ctx, cancel := context.WithTimeout(req.Context(), peerTime)
		defer cancel()
		if id.get().Formed == nil && !k.cfg.Join || !k.do(ctx, func() { heard <- k.receive(t) }) {
			http.Error(w, "not yet", http.StatusServiceUnavailable)
			return
		}
		select {
		case err := <-heard:
			if err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
			}
		case <-ctx.Done():
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}
	})
	call("POST "+link.PathRenew, 16<<10, k.renew)
	call("POST "+link.PathPublish, link.MostAnswer, k.publish)
	call("POST "+link.PathBan, 16<<10, k.ban)
	call("POST "+link.PathMembers, 16<<10, k.members)
	call("GET "+link.PathHistory, 0, k.history)
	call("GET "+link.PathVersion, 0, k.version)
	call("GET "+link.PathStatus, 0, k.status)
	return mux
}

// badCall is an error of who calls.
type badCall struct{ error }

// status is HTTP's word for an error. Below 500 nothing was done; else that is open.
func status(err error) int {
	var bad badCall
	var f *link.Failure
	switch {
	case errors.As(err, &f):
		return f.Status
	case errors.Is(err, agree.ErrParent):
		return http.StatusConflict
	case errors.Is(err, agree.ErrAhead):
		return http.StatusTooManyRequests
	case errors.As(err, &bad):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// forward has the keeper that leads answer a call: once, as a call that was forwarded is not again.
func (k *Keeper) forward(req *http.Request, in, out any, within time.Duration) error {
	if req.Header.Get(link.Forwarded) != "" {
		return errNotLeading
	}
	addr := make(chan string, 1)
	ctx, cancel := context.WithTimeout(req.Context(), within)
	defer cancel()
	if !k.do(ctx, func() { addr <- k.addr(k.soft.Lead) }) {
		return errNotLeading
	}
	select {
	case to := <-addr:
		if to == "" || to == k.cfg.Members[k.cfg.Name] {
			return errors.New("no keeper leads")
		}
		return k.ask.Call(ctx, to, req.URL.RequestURI(), http.Header{link.Forwarded: {"1"}}, in, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// asked puts an ask to the loop and waits for its answer.
func (k *Keeper) asked(ctx context.Context, a *ask) granted {
	a.answer = make(chan granted, 1)
	if !k.do(ctx, func() { k.take(a) }) {
		return granted{err: errNotLeading}
	}
	select {
	case g := <-a.answer:
		return g
	case <-ctx.Done():
		return granted{err: ctx.Err()}
	case <-k.ctx.Done():
		return granted{err: errNotLeading}
	}
}

func (k *Keeper) renew(req *http.Request, body []byte) (any, error) {
	var c link.RenewCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	if c.Name == "" || len(c.Name) > rulebook.MostWord || c.Inc == "" || len(c.Inc) > 64 || len(c.Unable) > 4096 || !(c.WaitMs >= 0 && c.WaitMs <= 10_000) {
		return nil, badCall{errors.New("renew: name, inc, unable or wait_ms is out of bounds")}
	}
	wait := min(c.WaitMs, k.cfg.LeaseMs/3)
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(wait*float64(time.Millisecond))+forwardTime)
	defer cancel()
	g := k.asked(ctx, &ask{Ask: agree.Ask{Holder: agree.Holder{Name: c.Name, Inc: c.Inc}, Has: c.Has, Unable: c.Unable}, due: k.now() + wait})
	if errors.Is(g.err, errNotLeading) {
		var out link.RenewAnswer
		return &out, k.forward(req, &c, &out, time.Duration(wait*float64(time.Millisecond))+forwardTime)
	}
	if g.err != nil {
		return nil, g.err
	}
	if g.text != nil {
		return encoded(g.text), nil
	}
	return &link.RenewAnswer{Stage: g.grant.Stage, LeaseMs: g.grant.LeaseMs, ListMs: g.grant.ListMs}, nil
}

// proposal puts an entry to the loop and waits until it is applied.
func (k *Keeper) proposal(req *http.Request, id string, op *agree.Op, in any) (any, error) {
	answer := make(chan result, 1)
	ctx, cancel := context.WithTimeout(req.Context(), publishTime)
	defer cancel()
	if !k.do(ctx, func() { k.propose(id, op, answer) }) {
		return nil, errNotLeading
	}
	select {
	case r := <-answer:
		switch {
		case errors.Is(r.err, errNotLeading):
			var out link.PublishAnswer
			return &out, k.forward(req, in, &out, publishTime)
		case r.err != nil && !r.applied: // it may still be on its way
			return nil, r.err
		case r.err != nil && (errors.Is(r.err, agree.ErrParent) || errors.Is(r.err, agree.ErrAhead)):
			return nil, r.err
		case r.err != nil:
			return nil, badCall{r.err}
		}
		return &link.PublishAnswer{Number: r.v.Number, Digest: r.v.Digest}, nil
	case <-ctx.Done():
		return nil, errors.New("whether it was published is not known: publish it again, under the same id")
	}
}

func (k *Keeper) publish(req *http.Request, body []byte) (any, error) {
	var c link.PublishCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	book, err := rulebook.Decode(c.Book)
	if err != nil {
		return nil, badCall{err}
	}
	if err := words(c.ID, c.Author, c.Reason); err != nil {
		return nil, err
	}
	return k.proposal(req, c.ID, &agree.Op{Publish: &agree.Publish{ID: c.ID, Parent: c.Parent, Book: book, Author: c.Author, Reason: c.Reason,
		AtMs: time.Now().UnixMilli()}}, &c)
}

// words checks what a publisher says beside the content.
func words(id string, more ...string) error {
	if id == "" || len(id) > 64 {
		return badCall{errors.New("publish: id: must have 1 to 64 bytes")}
	}
	for _, w := range more {
		if len(w) > rulebook.MostWord {
			return badCall{fmt.Errorf("publish: author and reason have %d bytes at the most", rulebook.MostWord)}
		}
	}
	return nil
}

func (k *Keeper) ban(req *http.Request, body []byte) (any, error) {
	var c link.BanCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	if err := words(c.ID, c.Author, c.Server); err != nil || c.Server == "" {
		return nil, errors.Join(badCall{errors.New("ban: id, server and author are needed")}, err)
	}
	return k.proposal(req, c.ID, &agree.Op{Ban: &agree.Ban{ID: c.ID, Server: c.Server, On: c.On, Author: c.Author, AtMs: time.Now().UnixMilli()}}, &c)
}

// read has the loop do something once a majority has said that this keeper leads; whoever does not forwards.
func (k *Keeper) read(req *http.Request, out any, f func() error) (any, error) {
	ctx, cancel := context.WithTimeout(req.Context(), forwardTime)
	defer cancel()
	g := k.asked(ctx, &ask{read: true})
	if errors.Is(g.err, errNotLeading) {
		return out, k.forward(req, nil, out, forwardTime)
	}
	if g.err != nil {
		return nil, g.err
	}
	done := make(chan error, 1)
	if !k.do(ctx, func() { done <- f() }) {
		return nil, errNotLeading
	}
	select {
	case err := <-done:
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (k *Keeper) history(req *http.Request, _ []byte) (any, error) {
	out := &link.HistoryAnswer{}
	return k.read(req, out, func() error {
		out.Stage, out.Dropped = k.state.Book.Stage, k.state.Book.Dropped
		out.Versions = slices.Clone(k.state.Book.Versions)
		for i := range out.Versions {
			out.Versions[i].Book = nil
		}
		return nil
	})
}

func (k *Keeper) version(req *http.Request, _ []byte) (any, error) {
	n, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		return nil, badCall{errors.New("version: n: a number is needed; 0 is the last")}
	}
	out := &rulebook.Version{}
	return k.read(req, out, func() error {
		b := &k.state.Book
		if n == 0 && b.Last() == 0 {
			return nil // before the first
		}
		v := b.Version(n)
		if n == 0 {
			v = b.Version(b.Last())
		}
		if v == nil {
			return badCall{fmt.Errorf("version %d is not kept; there are %d to %d", n, b.Dropped+1, b.Last())}
		}
		*out = *v
		return nil
	})
}

// status is this keeper's own word, asked of nobody else.
func (k *Keeper) status(req *http.Request, _ []byte) (any, error) {
	out := &link.Status{}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(req.Context(), forwardTime)
	defer cancel()
	if !k.do(ctx, func() { k.tell(out); close(done) }) {
		return nil, errNotLeading
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, errors.New("this keeper has not formed yet, or its disk does not answer")
	}
}

func (k *Keeper) tell(s *link.Status) {
	b := k.rn.BasicStatus()
	*s = link.Status{Name: k.cfg.Name, ID: k.id.ID, Leader: k.state.Members[k.soft.Lead].Name, Term: b.GetTerm(), Applied: k.applied,
		Stage: k.state.Book.Stage, Last: k.state.Book.Last(), Refused: map[string]string{}, Loop: k.holds.status()}
	for id, m := range k.state.Members {
		word := m.Name + " " + m.Addr
		if slices.Contains(k.conf.GetLearners(), id) {
			word += " learner"
		}
		s.Members = append(s.Members, word)
	}
	slices.Sort(s.Members)
	for id, why := range k.seen.Refused {
		if m, in := k.state.Members[id]; in {
			s.Refused[m.Name] = why
		}
	}
	for _, p := range k.peers {
		if p.refused != "" {
			s.Refused[k.cfg.Name+" by "+k.state.Members[p.id].Name] = p.refused
		}
	}
	if k.desk != nil {
		now := k.now()
		s.Holders = maps.Clone(k.desk.Holding(now))
		_, s.HeldUp = k.desk.Taken(now, k.state.Book.Stage, k.state.Book.Words)
	}
}

// MembersCall adds a keeper, which learns first, or removes one.
type MembersCall struct {
	Add    string `json:"add,omitempty"` // name
	Addr   string `json:"addr,omitempty"`
	Remove string `json:"remove,omitempty"` // name
}

func (k *Keeper) members(req *http.Request, body []byte) (any, error) {
	var c MembersCall
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	if (c.Add == "") == (c.Remove == "") || c.Add != "" && c.Addr == "" {
		return nil, badCall{errors.New("members: add with addr, or remove, is needed")}
	}
	var add Identity
	if c.Add != "" {
		ctx, cancel := context.WithTimeout(req.Context(), forwardTime/2)
		defer cancel()
		if err := k.ask.Call(ctx, c.Addr, pathIdentity, http.Header{}, nil, &add); err != nil {
			return nil, fmt.Errorf("members: the keeper at %s does not tell who it is: %w", c.Addr, err)
		}
		if add.Name != c.Add {
			return nil, badCall{fmt.Errorf("members: at %s is keeper %q", c.Addr, add.Name)}
		}
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(req.Context(), forwardTime)
	defer cancel()
	if !k.do(ctx, func() { done <- k.alter(&c, &add) }) {
		return nil, errNotLeading
	}
	out := &struct{}{}
	select {
	case err := <-done:
		if errors.Is(err, errNotLeading) {
			return out, k.forward(req, &c, out, forwardTime)
		}
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// alter proposes a change of members, if none is going on.
func (k *Keeper) alter(c *MembersCall, add *Identity) error {
	if k.soft.RaftState != raft.StateLeader {
		return errNotLeading
	}
	if k.now() < k.changing || len(k.conf.GetLearners()) > 0 && c.Add != "" {
		return badCall{errors.New("members: another change is going on")}
	}
	for id, m := range k.state.Members {
		switch {
		case c.Add != "" && m.Name == c.Add && id != add.ID:
			return badCall{fmt.Errorf("members: there is a keeper %q with another folder: remove it first", c.Add)}
		case c.Add != "" && id == add.ID:
			return nil // it is one already
		case c.Remove != "" && m.Name == c.Remove:
			if len(k.conf.GetVoters()) == 1 && slices.Contains(k.conf.GetVoters(), id) {
				return badCall{errors.New("members: the last one can't be removed")}
			}
			return k.change(pb.ConfChangeRemoveNode, id, nil)
		}
	}
	if c.Remove != "" {
		return badCall{fmt.Errorf("members: there is no keeper %q", c.Remove)}
	}
	return k.change(pb.ConfChangeAddLearnerNode, add.ID, &member{Name: c.Add, Addr: c.Addr})
}
