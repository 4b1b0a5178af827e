package downstream_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// An open call is answered although what its client sends next can't be read, or there is no memory for it.
func TestOpenCallOutlivesAnUnreadableOne(t *testing.T) {
	for _, p := range world.Protocols() {
		for name, next := range map[string]func(w *world.World) string{
			"noise": func(*world.World) string { return strings.Repeat("\x00\xff noise", 100) },
			"no memory": func(w *world.World) string {
				w.TakeBodyMemory()
				r := w.Request("order", callTimeout)
				r.Key = strings.Repeat("x", 64<<10)
				return string(p.Encode(r))
			},
		} {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				w, err := world.New(p, world.Options{})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				for _, s := range w.Servers {
					s.SetWork(100 * time.Millisecond)
				}
				c, r := dial(t, w), w.Request("order", callTimeout)
				if err := w.Send(c, r); err != nil {
					t.Fatal(err)
				}
				waitFor(t, "no call arrived", func() bool { return w.RequestCount() == 1 })
				io.WriteString(c.Conn, next(w))
				if a, err := w.Receive(c, r); err != nil || a.Outcome != lab.Served {
					t.Errorf("answer %+v, error %v", a, err)
				}
				c.Conn.(*net.TCPConn).CloseWrite()
				if _, err := io.ReadAll(c.Conn); err != nil {
					t.Errorf("behind the answer: %v", err)
				}
				if n := w.RequestCount(); n != 1 {
					t.Errorf("%d calls were forwarded, want 1", n)
				}
			})
		}
	}
}
