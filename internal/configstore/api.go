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
	// publishTimeout bounds how long a publish waits until a majority has it, forwardTime how long a call that another
	// keeper has to answer may take beside what it asked to wait.
	publishTimeout, forwardTimeout = 3 * time.Second, 2 * time.Second
	// maxCalls bounds the calls of agents and operators that a keeper holds.
	maxCalls = 4096
)

func (k *Replica) now() float64 { return clock.Steady() }

// sharedIdentity is the identity as calls may read it, from any goroutine.
type sharedIdentity struct {
	mu sync.Mutex
	id Identity
}

func (b *sharedIdentity) set(id *Identity) { b.mu.Lock(); b.id = *id; b.mu.Unlock() }
func (b *sharedIdentity) get() Identity    { b.mu.Lock(); defer b.mu.Unlock(); return b.id }

// handler answers calls. Each that needs the loop waits for it, for a bounded time.
func (k *Replica) handler(id *sharedIdentity) http.Handler {
	room := make(chan struct{}, maxCalls)
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
				http.Error(w, err.Error(), httpStatus(err))
				return
			}
			w.Header().Set("Content-Type", "application/json")
			if text, ready := out.(encodedJSON); ready {
				w.Write(text)
				return
			}
			json.NewEncoder(w).Encode(out)
		})
	}
	call("GET "+pathIdentity, 0, func(*http.Request, []byte) (any, error) { return id.get(), nil })
	mux.HandleFunc("POST "+pathRaftMessages, func(w http.ResponseWriter, req *http.Request) {
		t, err := readRaftMessages(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		heard := make(chan error, 1)
		ctx, cancel := context.WithTimeout(req.Context(), peerCallTimeout)
		defer cancel()
		if id.get().Formed == nil && !k.cfg.Join || !k.post(ctx, func() { heard <- k.receive(t) }) {
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
	call("POST "+client.PathCordon, 16<<10, k.cordon)
	call("POST "+client.PathMembers, 16<<10, k.members)
	call("GET "+client.PathHistory, 0, k.history)
	call("GET "+client.PathVersion, 0, k.version)
	call("GET "+client.PathStatus, 0, k.status)
	return mux
}

// invalidCallError is an error of who calls.
type invalidCallError struct{ error }

// httpStatus is HTTP's word for an error. Below 500 nothing was done; else that is open.
func httpStatus(err error) int {
	var bad invalidCallError
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
	if !k.post(ctx, func() { addr <- k.addr(k.softState.Lead) }) {
		return errNotLeading
	}
	select {
	case to := <-addr:
		if to == "" || to == k.cfg.Members[k.cfg.Name] {
			return errors.New("no keeper leads")
		}
		return k.caller.Call(ctx, to, req.URL.RequestURI(), http.Header{client.ForwardedHeader: {"1"}}, in, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wait puts an ask to the loop and waits for its answer.
func (k *Replica) wait(ctx context.Context, a *request) requestResult {
	a.answer = make(chan requestResult, 1)
	if !k.post(ctx, func() { k.enqueue(a) }) {
		return requestResult{err: errNotLeading}
	}
	select {
	case g := <-a.answer:
		return g
	case <-ctx.Done():
		return requestResult{err: ctx.Err()}
	case <-k.ctx.Done():
		return requestResult{err: errNotLeading}
	}
}

func (k *Replica) renew(req *http.Request, body []byte) (any, error) {
	var c client.RenewRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidCallError{err}
	}
	if c.Name == "" || len(c.Name) > sharedconfig.MaxNameBytes || c.Incarnation == "" || len(c.Incarnation) > 64 || len(c.Problem) > 4096 || !(c.WaitMs >= 0 && c.WaitMs <= 10_000) {
		return nil, invalidCallError{errors.New("renew: name, inc, unable or wait_ms is out of bounds")}
	}
	wait := min(c.WaitMs, k.cfg.LeaseMs/3)
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(wait*float64(time.Millisecond))+forwardTimeout)
	defer cancel()
	g := k.wait(ctx, &request{Request: lease.Request{Holder: lease.Holder{Name: c.Name, Incarnation: c.Incarnation}, Epoch: c.Epoch, Problem: c.Problem}, deadline: k.now() + wait})
	if errors.Is(g.err, errNotLeading) {
		var out client.RenewResponse
		return &out, k.forward(req, &c, &out, time.Duration(wait*float64(time.Millisecond))+forwardTimeout)
	}
	if g.err != nil {
		return nil, g.err
	}
	if g.encoded != nil {
		return encodedJSON(g.encoded), nil
	}
	return &client.RenewResponse{Epoch: g.grant.Epoch, LeaseMs: g.grant.LeaseMs, EndpointsMs: g.grant.EndpointsMs}, nil
}

// proposeAndWait puts an entry to the loop and waits until it is applied.
func (k *Replica) proposeAndWait(req *http.Request, id string, op *history.Command, in any) (any, error) {
	answer := make(chan proposalResult, 1)
	ctx, cancel := context.WithTimeout(req.Context(), publishTimeout)
	defer cancel()
	if !k.post(ctx, func() { k.propose(id, op, answer) }) {
		return nil, errNotLeading
	}
	select {
	case r := <-answer:
		switch {
		case errors.Is(r.err, errNotLeading):
			var out client.PublishResponse
			return &out, k.forward(req, in, &out, publishTimeout)
		case r.err != nil && !r.applied: // it may still be on its way
			return nil, r.err
		case r.err != nil && (errors.Is(r.err, history.ErrParentMismatch) || errors.Is(r.err, history.ErrTooManyPending)):
			return nil, r.err
		case r.err != nil:
			return nil, invalidCallError{r.err}
		}
		return &client.PublishResponse{Number: r.version.Number, Digest: r.version.Digest}, nil
	case <-ctx.Done():
		return nil, errors.New("whether it was published is not known: publish it again, under the same id")
	}
}

func (k *Replica) publish(req *http.Request, body []byte) (any, error) {
	var c client.PublishRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidCallError{err}
	}
	book, err := sharedconfig.Decode(c.Config)
	if err != nil {
		return nil, invalidCallError{err}
	}
	if err := checkPublisher(c.ID, c.Author, c.Reason); err != nil {
		return nil, err
	}
	return k.proposeAndWait(req, c.ID, &history.Command{Publish: &history.Publish{ID: c.ID, Parent: c.Parent, Config: book, Author: c.Author, Reason: c.Reason,
		AtMs: time.Now().UnixMilli()}}, &c)
}

// checkPublisher checks what a publisher says beside the content.
func checkPublisher(id string, more ...string) error {
	if id == "" || len(id) > 64 {
		return invalidCallError{errors.New("publish: id: must have 1 to 64 bytes")}
	}
	for _, w := range more {
		if len(w) > sharedconfig.MaxNameBytes {
			return invalidCallError{fmt.Errorf("publish: author and reason have %d bytes at the most", sharedconfig.MaxNameBytes)}
		}
	}
	return nil
}

func (k *Replica) cordon(req *http.Request, body []byte) (any, error) {
	var c client.CordonRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidCallError{err}
	}
	if err := checkPublisher(c.ID, c.Author, c.Server); err != nil || c.Server == "" {
		return nil, errors.Join(invalidCallError{errors.New("ban: id, server and author are needed")}, err)
	}
	return k.proposeAndWait(req, c.ID, &history.Command{Cordon: &history.Cordon{ID: c.ID, Server: c.Server, On: c.On, Author: c.Author, AtMs: time.Now().UnixMilli()}}, &c)
}

// confirmedRead has the loop do something once a majority has said that this keeper leads; whoever does not forwards.
func (k *Replica) confirmedRead(req *http.Request, out any, f func() error) (any, error) {
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	g := k.wait(ctx, &request{read: true})
	if errors.Is(g.err, errNotLeading) {
		return out, k.forward(req, nil, out, forwardTimeout)
	}
	if g.err != nil {
		return nil, g.err
	}
	done := make(chan error, 1)
	if !k.post(ctx, func() { done <- f() }) {
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
	return k.confirmedRead(req, out, func() error {
		out.Epoch, out.Dropped = k.state.History.Epoch, k.state.History.Dropped
		out.Versions = slices.Clone(k.state.History.Versions)
		for i := range out.Versions {
			out.Versions[i].Config = nil
		}
		return nil
	})
}

func (k *Replica) version(req *http.Request, _ []byte) (any, error) {
	n, err := strconv.ParseUint(req.URL.Query().Get("n"), 10, 64)
	if err != nil {
		return nil, invalidCallError{errors.New("version: n: a number is needed; 0 is the last")}
	}
	out := &sharedconfig.Version{}
	return k.confirmedRead(req, out, func() error {
		b := &k.state.History
		if n == 0 && b.Last() == 0 {
			return nil // before the first
		}
		v := b.Version(n)
		if n == 0 {
			v = b.Version(b.Last())
		}
		if v == nil {
			return invalidCallError{fmt.Errorf("version %d is not kept; there are %d to %d", n, b.Dropped+1, b.Last())}
		}
		*out = *v
		return nil
	})
}

// status is this keeper's own word, asked of nobody else.
func (k *Replica) status(req *http.Request, _ []byte) (any, error) {
	out := &client.Status{}
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	if !k.post(ctx, func() { k.fillStatus(out); close(done) }) {
		return nil, errNotLeading
	}
	select {
	case <-done:
		return out, nil
	case <-ctx.Done():
		return nil, errors.New("this keeper has not formed yet, or its disk does not answer")
	}
}

func (k *Replica) fillStatus(s *client.Status) {
	b := k.node.BasicStatus()
	*s = client.Status{Name: k.cfg.Name, ID: k.identity.ID, Leader: k.state.Members[k.softState.Lead].Name, Term: b.GetTerm(), Applied: k.applied,
		Epoch: k.state.History.Epoch, Last: k.state.History.Last(), Unreachable: map[string]string{}, Loop: k.delays.status()}
	for id, m := range k.state.Members {
		word := m.Name + " " + m.Addr
		if slices.Contains(k.confState.GetLearners(), id) {
			word += " learner"
		}
		s.Members = append(s.Members, word)
	}
	slices.Sort(s.Members)
	for id, why := range k.watermarks.Rejected {
		if m, in := k.state.Members[id]; in {
			s.Unreachable[m.Name] = why
		}
	}
	for _, p := range k.peers {
		if p.rejection != "" {
			s.Unreachable[k.cfg.Name+" by "+k.state.Members[p.id].Name] = p.rejection
		}
	}
	if k.lessor != nil {
		now := k.now()
		s.Holders = maps.Clone(k.lessor.Holders(now))
		s.BlockedBy = k.lessor.Adopted(now, k.state.History.Epoch, k.state.History.EndpointsChanged).Holders
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
		return nil, invalidCallError{err}
	}
	if (c.Add == "") == (c.Remove == "") || c.Add != "" && c.Addr == "" {
		return nil, invalidCallError{errors.New("members: add with addr, or remove, is needed")}
	}
	var add Identity
	if c.Add != "" {
		ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout/2)
		defer cancel()
		if err := k.caller.Call(ctx, c.Addr, pathIdentity, http.Header{}, nil, &add); err != nil {
			return nil, fmt.Errorf("members: the keeper at %s does not tell who it is: %w", c.Addr, err)
		}
		if add.Name != c.Add {
			return nil, invalidCallError{fmt.Errorf("members: at %s is keeper %q", c.Addr, add.Name)}
		}
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	if !k.post(ctx, func() { done <- k.changeMembers(&c, &add) }) {
		return nil, errNotLeading
	}
	out := &struct{}{}
	select {
	case err := <-done:
		if errors.Is(err, errNotLeading) {
			return out, k.forward(req, &c, out, forwardTimeout)
		}
		return out, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// changeMembers proposes a change of members, if none is going on.
func (k *Replica) changeMembers(c *MembersRequest, add *Identity) error {
	if k.softState.RaftState != raft.StateLeader {
		return errNotLeading
	}
	if k.now() < k.memberChangeUntil || len(k.confState.GetLearners()) > 0 && c.Add != "" {
		return invalidCallError{errors.New("members: another change is going on")}
	}
	for id, m := range k.state.Members {
		switch {
		case c.Add != "" && m.Name == c.Add && id != add.ID:
			return invalidCallError{fmt.Errorf("members: there is a keeper %q with another folder: remove it first", c.Add)}
		case c.Add != "" && id == add.ID:
			return nil // it is one already
		case c.Remove != "" && m.Name == c.Remove:
			if len(k.confState.GetVoters()) == 1 && slices.Contains(k.confState.GetVoters(), id) {
				return invalidCallError{errors.New("members: the last one can't be removed")}
			}
			return k.proposeMemberChange(pb.ConfChangeRemoveNode, id, nil)
		}
	}
	if c.Remove != "" {
		return invalidCallError{fmt.Errorf("members: there is no keeper %q", c.Remove)}
	}
	return k.proposeMemberChange(pb.ConfChangeAddLearnerNode, add.ID, &member{Name: c.Add, Addr: c.Addr})
}
