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
	// forwardTimeout bounds a call that another replica answers, beyond the time that the call itself asks to wait.
	forwardTimeout = 2 * time.Second
	// maxCalls bounds the calls that a replica handles at once.
	maxCalls = 4096
	// maxCallBytes bounds the body of a call without a configuration.
	maxCallBytes = 16 << 10
)

// invalidCallError is an error of the caller.
type invalidCallError struct{ error }

// encodedJSON is a response that is JSON text already.
type encodedJSON []byte

// callHandler answers a call with a value to encode as JSON.
type callHandler func(req *http.Request, body []byte) (any, error)

// handler answers all calls. Each that needs the loop waits for it, for a bounded time.
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

// limitCalls rejects a call if too many are handled.
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

// serveJSON reads a body of at most maxBytes and encodes the handler's response.
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

// httpStatus is the HTTP status of an error. Below 500 nothing was done; else that is unknown.
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

// raftMessagesHandler takes the messages of another replica.
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

// forward has the leader answer a call. A call that was forwarded once is not forwarded again.
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
