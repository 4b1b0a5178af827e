package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// forwardTimeout bounds a call that another replica answers, in addition to the wait that the caller
	// requests.
	forwardTimeout = 2 * time.Second
	// maxCalls bounds the calls that a replica handles concurrently.
	maxCalls = 4096
	// maxCallBytes bounds the body of a call that carries no configuration.
	maxCallBytes = 16 << 10
)

// invalidCallError marks an error as the caller's: the call is invalid and had no effect.
type invalidCallError struct{ error }

// encodedJSON is a response that is already encoded as JSON.
type encodedJSON []byte

// callHandler handles a call and returns the response, which is then encoded as JSON.
type callHandler func(req *http.Request, body []byte) (any, error)

// handler serves all calls. A call that needs the event loop waits for it for a bounded time.
func (r *Replica) handler(id *sharedIdentity) http.Handler {
	calls := make(chan struct{}, maxCalls)
	mux := http.NewServeMux()
	handle := func(pattern string, maxBytes int64, handler callHandler) {
		mux.HandleFunc(pattern, limitCalls(calls, serveJSON(maxBytes, handler)))
	}
	handle("GET "+pathIdentity, 0, func(*http.Request, []byte) (any, error) { return id.get(), nil })
	handle("POST "+client.PathRenew, maxCallBytes, r.renew)
	handle("POST "+client.PathPublish, client.MaxResponseBytes, r.publish)
	handle("POST "+client.PathCordon, maxCallBytes, r.cordon)
	handle("POST "+client.PathMembers, maxCallBytes, r.members)
	handle("GET "+client.PathHistory, 0, r.history)
	handle("GET "+client.PathVersion, 0, r.version)
	handle("GET "+client.PathStatus, 0, r.status)
	mux.HandleFunc("POST "+pathRaftMessages, r.raftMessagesHandler(id))
	return mux
}

// limitCalls rejects a call if calls is full, that is, if too many calls are being handled.
func limitCalls(calls chan struct{}, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		select {
		case calls <- struct{}{}:
			defer func() { <-calls }()
			handler(w, req)
		default:
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
		}
	}
}

// serveJSON returns an HTTP handler that reads a body of at most maxBytes and encodes the response of
// handler.
func serveJSON(maxBytes int64, handler callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		response, err := handler(req, body)
		if err != nil {
			http.Error(w, err.Error(), httpStatus(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if text, ok := response.(encodedJSON); ok {
			w.Write(text)
			return
		}
		json.NewEncoder(w).Encode(response)
	}
}

// httpStatus returns the HTTP status of an error. A status below 500 means that the call had no effect;
// otherwise that is unknown.
func httpStatus(err error) int {
	var invalid invalidCallError
	var forwarded *client.StatusError
	switch {
	case errors.As(err, &forwarded):
		return forwarded.Status
	case errors.Is(err, history.ErrParentMismatch):
		return http.StatusConflict
	case errors.Is(err, history.ErrTooManyPending):
		return http.StatusTooManyRequests
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// raftMessagesHandler receives raft messages from other replicas.
func (r *Replica) raftMessagesHandler(id *sharedIdentity) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		messages, err := readRaftMessages(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		received := make(chan error, 1)
		ctx, cancel := context.WithTimeout(req.Context(), peerCallTimeout)
		defer cancel()
		formed := id.get().InitialMembers != nil || r.cfg.Join
		if !formed || !r.post(ctx, func() { received <- r.receive(messages) }) {
			http.Error(w, "not yet", http.StatusServiceUnavailable)
			return
		}
		select {
		case err := <-received:
			if err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
			}
		case <-ctx.Done():
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}
	}
}

// forward forwards a call to the leader, unless another replica has forwarded it already.
func (r *Replica) forward(req *http.Request, in, out any, timeout time.Duration) error {
	if req.Header.Get(client.ForwardedHeader) != "" {
		return errNotLeading
	}
	leader := make(chan string, 1)
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	if !r.post(ctx, func() { leader <- r.addr(r.softState.Lead) }) {
		return errNotLeading
	}
	select {
	case addr := <-leader:
		if addr == "" || addr == r.cfg.Members[r.cfg.Name] {
			return errNoLeader
		}
		header := http.Header{client.ForwardedHeader: {"1"}}
		return r.caller.Call(ctx, addr, req.URL.RequestURI(), header, in, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}
