package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
)

const (
	// maxRelayedRequests bounds the peers' requests that are relayed concurrently.
	maxRelayedRequests = 16
	// maxRelayedRequestBytes bounds a request of a peer.
	maxRelayedRequestBytes = 4 << 10

	relayReadTimeout    = 2 * time.Second
	relayWriteTimeout   = 10 * time.Second
	relayIdleTimeout    = 30 * time.Second
	relayMaxHeaderBytes = 8 << 10
)

// Serve relays the renewals of peers to the replicas until ctx ends. A request is relayed over one hop only;
// the number of concurrent requests is bounded, and requests are rejected while this agent holds no lease
// itself.
func (r *Renewer) Serve(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathRenew, r.handleRelay)
	server := &http.Server{
		Handler:        EchoCalls(panics.Handler("relay", mux)),
		ReadTimeout:    relayReadTimeout,
		WriteTimeout:   relayWriteTimeout,
		IdleTimeout:    relayIdleTimeout,
		MaxHeaderBytes: relayMaxHeaderBytes,
	}
	var closed sync.WaitGroup
	closed.Go(func() {
		<-ctx.Done()
		server.Close()
	})
	defer closed.Wait()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (r *Renewer) handleRelay(w http.ResponseWriter, req *http.Request) {
	select {
	case r.relaySlots <- struct{}{}:
		defer func() { <-r.relaySlots }()
	default:
		http.Error(w, "too many requests are relayed", http.StatusServiceUnavailable)
		return
	}
	var call RenewRequest
	if err := json.NewDecoder(io.LimitReader(req.Body, maxRelayedRequestBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Remaining() == 0 {
		http.Error(w, "this agent holds no lease itself", http.StatusServiceUnavailable)
		return
	}
	call.WaitMs = 0
	response, ok := r.relay(req.Context(), &call)
	if !ok {
		http.Error(w, "no replica answers", http.StatusBadGateway)
		return
	}
	r.stats.Relayed.Add(1)
	json.NewEncoder(w).Encode(response)
}

// relay calls the replicas in order, beginning at a random one, until one responds.
func (r *Renewer) relay(ctx context.Context, call *RenewRequest) (response *RenewResponse, ok bool) {
	first := mrand.IntN(len(r.cfg.Replicas))
	for i := range r.cfg.Replicas {
		addr := r.cfg.Replicas[(first+i)%len(r.cfg.Replicas)]
		response := &RenewResponse{}
		if r.relayTo(ctx, addr, call, response) == nil {
			return response, true
		}
	}
	return nil, false
}

func (r *Renewer) relayTo(ctx context.Context, addr string, call *RenewRequest, response *RenewResponse) error {
	ctx, cancel := context.WithTimeout(ctx, millis(r.cfg.CallMs/2))
	defer cancel()
	return r.caller.Call(ctx, addr, PathRenew, nil, call, response)
}
