package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/policy"
)

// rawOrder is an unsafe request; lines go into its head.
func rawOrder(target, id, lines, body string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + lines + "\r\n" + body
}

// Connections that were silent for long give way first, then idle ones, then those that
// have just come or whose request still comes, never one with a request open; none is
// chosen twice while its close is under way.
// Newcomers do so only where there are as many as there may be at all: they would have lost what they bring.
func TestWhoGivesWay(t *testing.T) {
	const room, most = 16, 20
	c := newClientConns(room, most)
	names := map[net.Conn]string{}
	add := func(name string, states ...http.ConnState) net.Conn {
		x, y := net.Pipe()
		t.Cleanup(func() { y.Close() })
		names[x] = name
		for _, s := range append([]http.ConnState{http.StateNew}, states...) {
			c.track(x, s)
		}
		return x
	}
	closed := func() (got []string) {
		for x, name := range names {
			if x.SetDeadline(time.Now().Add(time.Hour)) != nil {
				got = append(got, name)
				delete(names, x)
			}
		}
		return got
	}
	quiet := add("silent")
	c.conns[quiet].since = time.Now().Add(-2 * newConnGracePeriod)
	add("coming", http.StateActive)
	add("idle", http.StateActive, http.StateIdle)
	busy := func() {
		x := add("busy", http.StateActive)
		c.requestRead(c.context(t.Context(), x))
	}
	for range room - 4 {
		busy()
	}
	add("new")
	if got := closed(); len(got) != 0 {
		t.Fatalf("closed %v below the limit", got)
	}
	for i, want := range []string{"silent", "idle", "", "", "", "", "coming", "new"} {
		busy()
		if got := closed(); want == "" && len(got) > 0 || want != "" && (len(got) != 1 || got[0] != want) {
			t.Errorf("%d: closed %v, want %s", i, got, want)
		}
	}
	// With a request open everywhere else, it is the newcomer that has none.
	add("last")
	if got := closed(); len(got) != 1 || got[0] != "last" {
		t.Errorf("closed %v, want the last", got)
	}
}

// The check never passes what is not for a backend, whatever the bytes.
func FuzzRequest(f *testing.F) {
	front := New(&policy.Settings{Classes: []policy.Class{{Name: "read", Effect: policy.Idempotent}, {Name: "send", Effect: policy.IdempotentByKey},
		{Name: "order", Effect: policy.NonIdempotent}}}, nil, nil, 16, 16)
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\n", "x"))
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	f.Add("GET / HTTP/1.0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		c, err := front.parseCall(req, time.Now(), true)
		if err != nil {
			var b *requestError
			if !errors.As(err, &b) || b.status < 400 || b.status == 429 || b.status == 503 {
				t.Errorf("rejected with %v", err)
			}
			return
		}
		c.upstreamCall.Body = make([]byte, max(req.ContentLength, 0))
		// What goes on is one request, the same, and nothing behind it.
		br := bufio.NewReader(strings.NewReader(string(c.upstreamCall.Head(time.Second)) + string(c.upstreamCall.Body)))
		out, err := http.ReadRequest(br)
		if err != nil {
			t.Fatalf("passed on as %q: %v", c.upstreamCall.Head(time.Second), err)
		}
		body, err := io.ReadAll(out.Body)
		if err != nil || len(body) != len(c.upstreamCall.Body) || out.RequestURI != c.upstreamCall.Target || out.Header.Get("Request-Id") != c.ID || br.Buffered() > 0 {
			t.Errorf("%q became %+v", text, out)
		}
	})
}

// A request whose connection has just been made to give way is not taken: its client finds the connection closed
// and sends it again, and it would be sent on twice. One that was hurried has its whole time once it is taken.
func TestAConnectionThatGivesWayBringsNoRequest(t *testing.T) {
	const most = 8
	c := newClientConns(most, most)
	for range most - 1 { // with a request open
		x, _ := net.Pipe()
		c.track(x, http.StateNew)
		c.requestRead(c.context(t.Context(), x))
	}
	x, other := net.Pipe()
	defer other.Close()
	y, _ := net.Pipe()
	ctx := c.context(t.Context(), x)
	c.track(x, http.StateNew)
	c.track(x, http.StateActive) // its request has come, and is about to be taken
	c.track(y, http.StateNew)
	c.track(y, http.StateActive)
	if c.requestRead(ctx) || !c.requestRead(c.context(t.Context(), y)) {
		t.Error("the one that gave way is taken, or the other is not")
	}
	c.track(x, http.StateClosed)
	if c.requestRead(ctx) {
		t.Error("a closed one is taken")
	}
	z, peer := net.Pipe()
	c.track(y, http.StateClosed)
	c.track(z, http.StateNew)
	c.track(z, http.StateActive)
	c.limitReads(time.Now().Add(-time.Second))
	if !c.requestRead(c.context(t.Context(), z)) {
		t.Fatal("not taken")
	}
	go peer.Write([]byte("x"))
	if _, err := z.Read(make([]byte, 1)); err != nil {
		t.Errorf("after it was taken: %v", err)
	}
}

// A kept connection on which a request has come that the server has not read yet is not closed as idle at an end of
// service; one on which nothing has come is.
func TestAnUnreadRequestKeepsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := newClientConns(8, 8)
	pair := func() (ours, theirs net.Conn) {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ours, err = framedListener{ln}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		for _, s := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			c.track(ours, s)
		}
		return ours, theirs
	}
	brings, client := pair()
	pair()
	io.WriteString(client, "GET")
	for end := time.Now().Add(10 * time.Second); socket.Look(brings) != socket.Unread && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until it has come
	}
	if c.closeIdle(); c.closing != 1 || c.conns[brings].closing {
		t.Errorf("%d of two were closed, the one with a request %v", c.closing, c.conns[brings].closing)
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(brings, got); err != nil || string(got) != "GET" {
		t.Errorf("%q, %v", got, err)
	}
	if c.closeIdle(); c.closing != 2 { // read by nobody here, it is idle again
		t.Errorf("%d closed", c.closing)
	}
}
