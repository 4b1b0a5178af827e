package downstream_test

import (
	"testing"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// retryRules test when a retry is permitted.
var retryRules = []rule{
	{name: "2 not idempotent: no retry after it may have run", run: func(t *testing.T, w *world.World) {
		modes := []lab.Mode{lab.ResetAfterRun, lab.Failing, lab.WrongProtocol}
		if w.Protocol.Thrift() {
			modes = append(modes, lab.WrongSequenceID, lab.WrongMethodName)
		}
		for _, m := range modes {
			w.Set(m)
			n := w.RequestCount()
			call(t, w, "order", callTimeout, lab.Failed)
			if got := w.RequestCount() - n; got != 1 {
				t.Errorf("mode %d: %d attempts, want 1", m, got)
			}
		}
		// The next call gets its own answer, whatever arrived on a connection before.
		w.Set(lab.Serving)
		for range 5 {
			call(t, w, "read", callTimeout, lab.Served)
		}
	}},
	{name: "2 not idempotent: retry where it never ran", run: func(t *testing.T, w *world.World) {
		for _, s := range w.Servers[1:] {
			s.Close() // the kernel rejects connections
		}
		for range 6 {
			call(t, w, "order", callTimeout, lab.Served)
		}
	}},
	{name: "2 not idempotent: retry where it was rejected", run: func(t *testing.T, w *world.World) {
		w.Servers[0].Set(lab.Rejecting)
		w.Servers[1].Set(lab.Rejecting)
		for range 6 {
			call(t, w, "order", callTimeout, lab.Served)
		}
	}},
	{name: "2 with a key, and idempotent: retry after a reset", run: func(t *testing.T, w *world.World) {
		w.Set(lab.ResetAfterRun)
		for _, method := range []string{"send", "read"} {
			n := w.RequestCount()
			call(t, w, method, callTimeout, lab.Rejected, lab.Failed)
			if got := w.RequestCount() - n; got < 2 || got > 3 {
				t.Errorf("%s: %d attempts, want 2 or 3", method, got)
			}
		}
	}},
	{name: "2 two responses: the second is ignored", run: func(t *testing.T, w *world.World) {
		w.Set(lab.AnswerTwice)
		for range 4 {
			call(t, w, "read", callTimeout, lab.Served) // Call checks the receipt
		}
	}},
}
