package downstream_test

import (
	"io"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// The last answer on a connection is not lost in a reset because its client has sent more after the request: the client
// reads it completely, and then the end of the connection. What it sent after the request is not forwarded.
func TestLastAnswerIsNotReset(t *testing.T) {
	for _, p := range world.Protocols() {
		for name, extra := range map[string]func(*world.World) string{
			"a request": func(w *world.World) string { return string(p.Encode(w.Request("read", long))) },
			"more than is read ahead": func(w *world.World) string {
				return strings.Repeat(string(p.Encode(w.Request("read", long))), 40) + strings.Repeat("x", 40<<10)
			},
		} {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				w, err := world.New(p, world.Options{})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				w.Set(lab.Silent) // until the shutdown has begun
				c := dial(t, w)
				c.Write(p.Encode(w.Request("order", long)))
				waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
				if _, err := io.WriteString(c, extra(w)); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- w.Stop() }()
				waitForClosedListener(t, w)
				for _, s := range w.Servers {
					s.ResetConnections() // the request fails, which is its answer
				}
				got, err := io.ReadAll(c.Conn)
				if err != nil || len(got) == 0 {
					t.Errorf("%d bytes, %v", len(got), err)
				}
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if n := w.RequestCount(); n != 1 {
					t.Errorf("%d were forwarded", n)
				}
			})
		}
	}
}

// A call that has begun to arrive when a shutdown begins, and whose rest arrives once nothing more is accepted, is answered. An open
// call keeps the downstream up.
func TestCallThatArrivesDuringShutdownIsAnswered(t *testing.T) {
	for _, p := range world.Protocols() {
		t.Run(p.Name, func(t *testing.T) {
			w, err := world.New(p, world.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			w.Set(lab.Silent)
			open, late := dial(t, w), dial(t, w)
			open.Write(p.Encode(w.Request("order", long)))
			waitFor(t, "no call arrived", func() bool { return w.RequestCount() == 1 })
			r := w.Request("order", long)
			message := p.Encode(r)
			late.Write(message[:len(message)/2])
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			waitForClosedListener(t, w)
			w.Set(lab.Serving)
			late.Write(message[len(message)/2:])
			if a, err := w.Receive(late, r); err != nil || a.Outcome != lab.Served {
				t.Errorf("%+v, %v", a, err)
			}
			for _, s := range w.Servers {
				s.ResetConnections()
			}
			if _, err := open.Read(); err != nil {
				t.Errorf("the open call: %v", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A client that connected just before a shutdown, and whose first call arrives once nothing more is accepted, is
// answered: closing such a connection at once would reset the call on its way.
func TestCallOnANewConnectionIsAnsweredDuringShutdown(t *testing.T) {
	for _, p := range world.Protocols() {
		t.Run(p.Name, func(t *testing.T) {
			w, err := world.New(p, world.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			c := dial(t, w)
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			waitForClosedListener(t, w)
			r := w.Request("order", long)
			c.Write(p.Encode(r))
			if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Served {
				t.Errorf("%+v, %v", a, err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// waitForClosedListener waits until no connection is accepted any longer.
func waitForClosedListener(t *testing.T, w *world.World) {
	t.Helper()
	waitFor(t, "the listener is still open", func() bool {
		c, err := w.Dial()
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}
