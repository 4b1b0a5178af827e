package front_test

import (
	"io"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// The last answer of a connection is not reset over what its client has sent behind the request: the client reads it
// whole, and then the connection's end. What stands behind is not sent on.
func TestTheLastAnswerIsNotReset(t *testing.T) {
	for _, p := range world.Protocols() {
		for name, behind := range map[string]func(*world.World) string{
			"a request": func(w *world.World) string { return string(p.Encode(w.Request("read", long))) },
			"more than is read": func(w *world.World) string {
				return strings.Repeat(string(p.Encode(w.Request("read", long))), 40) + strings.Repeat("x", 40<<10)
			},
		} {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				w, err := world.New(p, world.Options{})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				w.Set(lab.Silent) // until the front has been told to end
				c := dial(t, w)
				c.Write(p.Encode(w.Request("order", long)))
				until(t, "no call came", func() bool { return w.Begun() > 0 })
				if _, err := io.WriteString(c, behind(w)); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- w.Stop() }()
				untilDeaf(t, w)
				for _, s := range w.Servers {
					s.Cut() // the request fails, which is its answer
				}
				got, err := io.ReadAll(c.Conn)
				if err != nil || len(got) == 0 {
					t.Errorf("%d bytes, %v", len(got), err)
				}
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if n := w.Begun(); n != 1 {
					t.Errorf("%d were sent on", n)
				}
			})
		}
	}
}

// A call that has begun to come when the front is told to end, and whose rest comes once nobody new is accepted, is
// answered. An open call keeps the front there.
func TestACallThatComesAsServiceEndsIsAnswered(t *testing.T) {
	for _, p := range world.Protocols() {
		t.Run(p.Name, func(t *testing.T) {
			w, err := world.New(p, world.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			w.Set(lab.Silent)
			held, late := dial(t, w), dial(t, w)
			held.Write(p.Encode(w.Request("order", long)))
			until(t, "no call came", func() bool { return w.Begun() == 1 })
			r := w.Request("order", long)
			whole := p.Encode(r)
			late.Write(whole[:len(whole)/2])
			ended := make(chan error, 1)
			go func() { ended <- w.Stop() }()
			untilDeaf(t, w)
			w.Set(lab.Serving)
			late.Write(whole[len(whole)/2:])
			if a, err := w.Answered(late, r); err != nil || a.Verdict != lab.Served {
				t.Errorf("%+v, %v", a, err)
			}
			for _, s := range w.Servers {
				s.Cut()
			}
			if _, err := held.Read(); err != nil {
				t.Errorf("the open call: %v", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A client that has connected just before the front ends, and whose first call comes once nobody new is accepted, is
// answered. Thrift's front closed such a connection at once, so that the call on its way to it was reset.
func TestACallOnANewConnectionIsAnsweredAtTheEnd(t *testing.T) {
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
			untilDeaf(t, w)
			r := w.Request("order", long)
			c.Write(p.Encode(r))
			if a, err := w.Answered(c, r); err != nil || a.Verdict != lab.Served {
				t.Errorf("%+v, %v", a, err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// untilDeaf waits until nobody takes a client's connection any more.
func untilDeaf(t *testing.T, w *world.World) {
	t.Helper()
	until(t, "it still listens", func() bool {
		probe, err := w.Dial()
		if err == nil {
			probe.Close()
		}
		return err != nil
	})
}
