package downstream_test

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// A client that has sent more bytes after its request reads the last answer completely, and then the end of
// the connection. Closing a connection with unread bytes would send a reset, which can destroy the answer.
// The bytes after the request are not forwarded.
func TestLastAnswerIsNotReset(t *testing.T) {
	for _, p := range world.Protocols() {
		for name, extra := range map[string]func(*world.World) string{
			"a request": func(w *world.World) string { return string(p.Encode(w.Request("read", callTimeout))) },
			"more than is read ahead": func(w *world.World) string {
				return strings.Repeat(string(p.Encode(w.Request("read", callTimeout))), 40) + strings.Repeat("x", 40<<10)
			},
		} {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				w, err := world.New(p, world.Options{})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				w.Set(lab.Silent) // no answer until the shutdown has begun
				c := dial(t, w)
				c.Write(p.Encode(w.Request("order", callTimeout)))
				waitFor(t, "no call arrived", func() bool { return w.RequestCount() > 0 })
				if _, err := io.WriteString(c, extra(w)); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- w.Stop() }()
				waitForClosedListener(t, w)
				for _, s := range w.Servers {
					s.ResetConnections() // the answer is that the request failed
				}
				got, err := io.ReadAll(c.Conn)
				if err != nil || len(got) == 0 {
					t.Errorf("read %d bytes before the close, error %v", len(got), err)
				}
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if n := w.RequestCount(); n != 1 {
					t.Errorf("%d calls were forwarded, want 1", n)
				}
			})
		}
	}
}

// A call that has begun to arrive when a shutdown begins, and whose rest arrives after the listener was
// closed, is answered. Another call that stays open keeps the downstream running meanwhile.
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
			open.Write(p.Encode(w.Request("order", callTimeout)))
			waitFor(t, "no call arrived", func() bool { return w.RequestCount() == 1 })
			r := w.Request("order", callTimeout)
			message := p.Encode(r)
			late.Write(message[:len(message)/2])
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			waitForClosedListener(t, w)
			w.Set(lab.Serving)
			late.Write(message[len(message)/2:])
			if a, err := w.Receive(late, r); err != nil || a.Outcome != lab.Served {
				t.Errorf("answer %+v, error %v", a, err)
			}
			for _, s := range w.Servers {
				s.ResetConnections()
			}
			if _, err := open.Read(); err != nil {
				t.Errorf("the open call was not answered: %v", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A client that connected just before a shutdown, and whose first call arrives after the listener was closed,
// is answered: closing its connection at once would lose the call that is on its way.
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
			r := w.Request("order", callTimeout)
			c.Write(p.Encode(r))
			if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Served {
				t.Errorf("answer %+v, error %v", a, err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// refusalTimeout is how long a connect waits for its refusal: a SYN that comes as the listener begins to refuse is
// dropped, and would be sent again only after a second.
const refusalTimeout = 100 * time.Millisecond

// waitForClosedListener waits until new connections are refused.
func waitForClosedListener(t *testing.T, w *world.World) {
	t.Helper()
	waitFor(t, "the listener is still open", func() bool {
		c, err := w.Protocol.Dial(w.Addr, refusalTimeout)
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}
