package downstream_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// A client that speaks another protocol gets an error or is disconnected, most of them at once. Other clients
// are not affected.
func TestClientsOfOtherProtocols(t *testing.T) {
	for _, test := range []struct {
		p       world.Protocol
		text    string
		want    string
		instant bool // the connection is closed at once, and not only after a timeout
	}{
		{world.Protocols()[1], "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400", true},
		{world.Protocols()[1], "\x00\x00\x00\x20\x0f\xff\x00\x00", "", true}, // THeader
		{world.Protocols()[1], "\x00\x00\x00\x00", "", true},
		{world.Protocols()[1], "\x00\x00\x00\x00\x80\x01\x00\x01", "", true},
		{world.Protocols()[1], "\x7f\xff\xff\xff\x80\x01\x00\x01", "", true},
		{world.Protocols()[1], "\xff\xff\xff\xff\x80\x01", "", true},
		{world.Protocols()[1], "HELO there", "", true},
		{world.HTTP, "\x00\x00\x00\x20\x80\x01\x00\x01\r\n\r\n", "HTTP/1.1 400", true},
		{world.HTTP, "\x80\x01\x00\x01\x00\x00\x00\x05order\x00\x00\x00\x01\x00", "", false},
	} {
		t.Run(fmt.Sprintf("%s %q", test.p.Name, test.text), func(t *testing.T) {
			t.Parallel()
			w, err := world.New(test.p, world.Options{Servers: 1})
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			c := dial(t, w)
			start := time.Now()
			io.WriteString(c, test.text)
			b, err := io.ReadAll(c.Conn)
			if !strings.HasPrefix(string(b), test.want) || test.want == "" && len(b) > 0 && !strings.HasPrefix(string(b), "HTTP/1.1 4") {
				t.Errorf("answer %q, error %v", b, err)
			}
			if took := time.Since(start); test.instant && took > time.Second {
				t.Errorf("disconnected after %v", took)
			}
			call(t, w, "order", callTimeout, lab.Served)
			if f := w.Stats(); f != (core.Stats{Accepted: 1, Served: 1}) {
				t.Errorf("stats %+v", f)
			}
		})
	}
}
