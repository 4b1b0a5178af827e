package configstore

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

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// publishTime bounds how long a publish waits until a majority has it, forwardTime how long a call that another
	// keeper has to answer may take beside what it asked to wait.
	publishTime, forwardTime = 3 * time.Second, 2 * time.Second
	// mostCalls bounds the calls of agents and operators that a keeper holds.
	mostCalls = 4096
)

func (k *Replica) now() float64 { return clock.Steady() }

// identityBox is the identity as calls may read it, from any goroutine.
type identityBox struct {
	mu sync.Mutex
	id Identity
}

func (b *identityBox) set(id *Identity) { b.mu.Lock(); b.id = *id; b.mu.Unlock() }
func (b *identityBox) get() Identity    { b.mu.Lock(); defer b.mu.Unlock(); return b.id }

// handler answers calls. Each that needs the loop waits for it, for a bounded time.
func (k *Replica) handler(id *identityBox) http.Handler {
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
	call("POST "+client.PathRenew, 16<<10, k.renew)
	call("POST "+client.PathPublish, client.MaxResponseBytes, k.publish)
	call("POST "+client.PathCordon, 16<<10, k.ban)
	call("POST "+client.PathMembers, 16<<10, k.members)
	call("GET "+client.PathHistory, 0, k.history)
	call("GET "+client.PathVersion, 0, k.version)
	call("GET "+client.PathStatus, 0, k.status)
	return mux
}

// badCall is an error of who calls.
type badCall struct{ error }

// status is HTTP's word for an error. Below 500 nothing was done; else that is open.
func status(err error) int {
	var bad badCall
	var f *client.StatusError
	switch {
	case errors.As(err, &f):
		return f.Status
	case errors.Is(err, history.ErrParentMismatch):
		return http.StatusConflict
	case errors.Is(err, history.ErrTooManyPending):
		return http.StatusTooManyRequests
	case errors.As(err, &bad):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// forward has the keeper that leads answer a call: once, as a call that was forwarded is not again.
func (k *Replica) forward(req *http.Request, in, out any, within time.Duration) error {
	if req.Header.Get(client.ForwardedHeader) != "" {
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
		return k.ask.Call(ctx, to, req.URL.RequestURI(), http.Header{client.ForwardedHeader: {"1"}}, in, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// asked puts an ask to the loop and waits for its answer.
func (k *Replica) asked(ctx context.Context, a *ask) granted {
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

func (k *Replica) renew(req *http.Request, body []byte) (any, error) {
	var c client.RenewRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	if c.Name == "" || len(c.Name) > sharedconfig.MaxNameBytes || c.Incarnation == "" || len(c.Incarnation) > 64 || len(c.Problem) > 4096 || !(c.WaitMs >= 0 && c.WaitMs <= 10_000) {
		return nil, badCall{errors.New("renew: name, inc, unable or wait_ms is out of bounds")}
	}
	wait := min(c.WaitMs, k.cfg.LeaseMs/3)
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(wait*float64(time.Millisecond))+forwardTime)
	defer cancel()
	g := k.asked(ctx, &ask{Request: lease.Request{Holder: lease.Holder{Name: c.Name, Incarnation: c.Incarnation}, Epoch: c.Epoch, Problem: c.Problem}, due: k.now() + wait})
	if errors.Is(g.err, errNotLeading) {
		var out client.RenewResponse
		return &out, k.forward(req, &c, &out, time.Duration(wait*float64(time.Millisecond))+forwardTime)
	}
	if g.err != nil {
		return nil, g.err
	}
	if g.text != nil {
		return encoded(g.text), nil
	}
	return &client.RenewResponse{Epoch: g.grant.Epoch, LeaseMs: g.grant.LeaseMs, EndpointsMs: g.grant.EndpointsMs}, nil
}

// proposal puts an entry to the loop and waits until it is applied.
func (k *Replica) proposal(req *http.Request, id string, op *history.Command, in any) (any, error) {
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
			var out client.PublishResponse
			return &out, k.forward(req, in, &out, publishTime)
		case r.err != nil && !r.applied: // it may still be on its way
			return nil, r.err
		case r.err != nil && (errors.Is(r.err, history.ErrParentMismatch) || errors.Is(r.err, history.ErrTooManyPending)):
			return nil, r.err
		case r.err != nil:
			return nil, badCall{r.err}
		}
		return &client.PublishResponse{Number: r.v.Number, Digest: r.v.Digest}, nil
	case <-ctx.Done():
		return nil, errors.New("whether it was published is not known: publish it again, under the same id")
	}
}

func (k *Replica) publish(req *http.Request, body []byte) (any, error) {
	var c client.PublishRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	book, err := sharedconfig.Decode(c.Config)
	if err != nil {
		return nil, badCall{err}
	}
	if err := words(c.ID, c.Author, c.Reason); err != nil {
		return nil, err
	}
	return k.proposal(req, c.ID, &history.Command{Publish: &history.Publish{ID: c.ID, Parent: c.Parent, Config: book, Author: c.Author, Reason: c.Reason,
		AtMs: time.Now().UnixMilli()}}, &c)
}

// words checks what a publisher says beside the content.
func words(id string, more ...string) error {
	if id == "" || len(id) > 64 {
		return badCall{errors.New("publish: id: must have 1 to 64 bytes")}
	}
	for _, w := range more {
		if len(w) > sharedconfig.MaxNameBytes {
			return badCall{fmt.Errorf("publish: author and reason have %d bytes at the most", sharedconfig.MaxNameBytes)}
		}
	}
	return nil
}

func (k *Replica) ban(req *http.Request, body []byte) (any, error) {
	var c client.CordonRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badCall{err}
	}
	if err := words(c.ID, c.Author, c.Server); err != nil || c.Server == "" {
		return nil, errors.Join(badCall{errors.New("ban: id, server and author are needed")}, err)
	}
	return k.proposal(req, c.ID, &history.Command{Cordon: &history.Cordon{ID: c.ID, Server: c.Server, On: c.On, Author: c.Author, AtMs: time.Now().UnixMilli()}}, &c)
}

// read has the loop do something once a majority has said that this keeper leads; whoever does not forwards.
func (k *Replica) read(req *http.Request, out any, f func() error) (any, error) {
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

func (k *Replica) history(req *http.Request, _ []byte) (any, error) {
	out := &client.HistoryResponse{}
	return k.read(req, out, func() error {
		out.Epoch, out.Dropped = k.state.Book.Epoch, k.state.Book.Dropped
		out.Versions = slices.Clone(k.state.Book.Versions)
		for i := range out.Versions {
			out.Versions[i].Config = nil
		}
		return nil
	})
}

func (k *Replica) version(req *http.Request, _ []byte) (any, error) {
	n, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		return nil, badCall{errors.New("version: n: a number is needed; 0 is the last")}
	}
	out := &sharedconfig.Version{}
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
func (k *Replica) status(req *http.Request, _ []byte) (any, error) {
	out := &client.Status{}
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

func (k *Replica) tell(s *client.Status) {
	b := k.rn.BasicStatus()
	*s = client.Status{Name: k.cfg.Name, ID: k.id.ID, Leader: k.state.Members[k.soft.Lead].Name, Term: b.GetTerm(), Applied: k.applied,
		Epoch: k.state.Book.Epoch, Last: k.state.Book.Last(), Unreachable: map[string]string{}, Loop: k.holds.status()}
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
			s.Unreachable[m.Name] = why
		}
	}
	for _, p := range k.peers {
		if p.refused != "" {
			s.Unreachable[k.cfg.Name+" by "+k.state.Members[p.id].Name] = p.refused
		}
	}
	if k.desk != nil {
		now := k.now()
		s.Holders = maps.Clone(k.desk.Holders(now))
		s.BlockedBy = k.desk.Adopted(now, k.state.Book.Epoch, k.state.Book.EndpointsChanged).Holders
	}
}

// MembersRequest adds a keeper, which learns first, or removes one.
type MembersRequest struct {
	Add    string `json:"add,omitempty"` // name
	Addr   string `json:"addr,omitempty"`
	Remove string `json:"remove,omitempty"` // name
}

func (k *Replica) members(req *http.Request, body []byte) (any, error) {
	var c MembersRequest
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
func (k *Replica) alter(c *MembersRequest, add *Identity) error {
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
