// Package panics keeps a defect in the code that serves one peer from ending the process for all others. The goroutine
// recovers: its peer loses a connection, a call or an attempt, the log gets the stack, and the metrics a count.
//
// It is for goroutines whose state belongs to one peer. One that owns the state of all must not go on after a panic.
package panics

import (
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
)

// ErrRecovered is what a peer's connection or call ends with after a panic.
var ErrRecovered = errors.New("a defect of this program, see its log")

var recovered atomic.Int64

// Recovered returns how many panics this process has recovered from, for its metrics.
func Recovered() int64 { return recovered.Load() }

// Recover recovers from a panic of the goroutine that defers it, logs and counts it. Then it calls end, unless that is
// nil, to end what the peer waits for. It has to be deferred itself, not called by a deferred function. serving names
// what the goroutine does, and peer whom it serves.
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

// Handler returns a handler that logs and counts the panics of another, and aborts their connections. http.ErrAbortHandler
// is no defect: it passes.
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
