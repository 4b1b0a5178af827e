// Package panics recovers from panics in code that serves a single peer, so that a defect there does not end
// the process for all others. The peer loses its connection, call or attempt; the stack is logged and the
// panic is counted.
//
// It is for goroutines whose state belongs to one peer. A goroutine that owns shared state must not continue
// after a panic.
package panics

import (
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
)

// ErrRecovered is the error with which a peer's connection or call ends after a panic.
var ErrRecovered = errors.New("a defect of this program, see its log")

var recovered atomic.Int64

// Recovered returns how many panics this process has recovered from, for its metrics.
func Recovered() int64 { return recovered.Load() }

// Recover recovers from a panic in the goroutine that defers it, and logs and counts the panic. It then calls
// end, unless that is nil, to end whatever the peer waits for. It must be deferred directly, not called by a
// deferred function. serving describes what the goroutine does, and peer identifies whom it serves.
func Recover(serving, peer string, end func()) {
	value := recover()
	if value == nil {
		return
	}
	record(value, serving, peer)
	if end != nil {
		end()
	}
}

func record(value any, serving, peer string) {
	recovered.Add(1)
	slog.Error("recovered from a panic", "serving", serving, "peer", peer, "panic", value, "stack", string(debug.Stack()))
}

// Handler wraps a handler: it logs and counts panics and aborts the connection. A panic with
// http.ErrAbortHandler is intended, and is only passed on.
func Handler(serving string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				record(value, serving, req.RemoteAddr)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, req)
	})
}
