package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/policy"
)

// rawOrder encodes a request that is not idempotent, with additional lines of its head.
func rawOrder(target, id, lines, body string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + lines + "\r\n" + body
}

// Connections without a request for too long are evicted first, then idle ones; new ones and those with an
// incomplete request only above the hard limit. One with an open request is never evicted, and none is
// selected again while it is being closed.
func TestEvictionOrder(t *testing.T) {
	const softLimit, hardLimit = 16, 20
	c := newClientConns(softLimit, hardLimit)
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
	silent := add("silent")
	c.conns[silent].since = time.Now().Add(-2 * newConnGracePeriod)
	add("reading body", http.StateActive)
	add("idle", http.StateActive, http.StateIdle)
	busy := func() {
		x := add("busy", http.StateActive)
		c.requestRead(c.connContext(t.Context(), x))
	}
	for range softLimit - 4 {
		busy()
	}
	add("new")
	if got := closed(); len(got) != 0 {
		t.Fatalf("connections %v were closed below the limit", got)
	}
	for i, want := range []string{"silent", "idle", "", "", "", "", "reading body", "new"} {
		busy()
		if got := closed(); want == "" && len(got) > 0 || want != "" && (len(got) != 1 || got[0] != want) {
			t.Errorf("%d: closed %v, want %s", i, got, want)
		}
	}
	// If all others have an open request, the new connection is evicted.
	add("last")
	if got := closed(); len(got) != 1 || got[0] != "last" {
		t.Errorf("closed %v, want the last", got)
	}
}

// For any bytes, parseCall accepts only requests that are forwarded unchanged, and rejects others with a
// status that causes no retry.
func FuzzParseCall(f *testing.F) {
	server := New(&policy.Settings{Classes: []policy.Class{{Name: "read", Effect: policy.Idempotent}, {Name: "send", Effect: policy.IdempotentByKey},
		{Name: "order", Effect: policy.NonIdempotent}}}, nil, nil, 16, 16)
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\n", "x"))
	f.Add(rawOrder("/api/a1", "1", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	f.Add("GET / HTTP/1.0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		c, err := server.parseCall(req, time.Now(), true)
		if err != nil {
			var requestErr *requestError
			if !errors.As(err, &requestErr) || requestErr.status < 400 || requestErr.status == 429 || requestErr.status == 503 {
				t.Errorf("rejected with %v", err)
			}
			return
		}
		c.upstreamCall.Body = make([]byte, max(req.ContentLength, 0))
		// The forwarded bytes are the same request, and no more than that.
		br := bufio.NewReader(strings.NewReader(string(c.upstreamCall.Head(time.Second)) + string(c.upstreamCall.Body)))
		out, err := http.ReadRequest(br)
		if err != nil {
			t.Fatalf("the request was forwarded as %q, which can't be read: %v", c.upstreamCall.Head(time.Second), err)
		}
		body, err := io.ReadAll(out.Body)
		if err != nil || len(body) != len(c.upstreamCall.Body) || out.RequestURI != c.upstreamCall.Target || out.Header.Get("Request-Id") != c.ID || br.Buffered() > 0 {
			t.Errorf("request %q was forwarded as %+v", text, out)
		}
	})
}

// A request on a connection that has just been evicted is not accepted: the client finds the connection
// closed and sends the request again, so that it would be forwarded twice. The read deadline of limitReads is
// removed once a request is accepted.
func TestRequestOnAnEvictedConnectionIsNotAccepted(t *testing.T) {
	const limit = 8
	c := newClientConns(limit, limit)
	for range limit - 1 { // with an open request
		x, _ := net.Pipe()
		c.track(x, http.StateNew)
		c.requestRead(c.connContext(t.Context(), x))
	}
	x, other := net.Pipe()
	defer other.Close()
	y, _ := net.Pipe()
	ctx := c.connContext(t.Context(), x)
	c.track(x, http.StateNew)
	c.track(x, http.StateActive) // its request has arrived, and is about to be accepted
	c.track(y, http.StateNew)
	c.track(y, http.StateActive)
	if c.requestRead(ctx) || !c.requestRead(c.connContext(t.Context(), y)) {
		t.Error("the request of the evicted connection is accepted, or that of the other is not")
	}
	c.track(x, http.StateClosed)
	if c.requestRead(ctx) {
		t.Error("the request of a closed connection is accepted")
	}
	z, peer := net.Pipe()
	c.track(y, http.StateClosed)
	c.track(z, http.StateNew)
	c.track(z, http.StateActive)
	c.limitReads(&shutdown.Schedule{ReadUntil: time.Now().Add(-time.Second)})
	if !c.requestRead(c.connContext(t.Context(), z)) {
		t.Fatal("the request is not accepted")
	}
	go peer.Write([]byte("x"))
	if _, err := z.Read(make([]byte, 1)); err != nil {
		t.Errorf("reading after the request was accepted: %v", err)
	}
}

// A shutdown does not close an idle connection on which a request has arrived that the server has not read
// yet. It closes one without.
func TestConnectionWithUnreadRequestIsNotIdle(t *testing.T) {
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
	withRequest, client := pair()
	pair()
	io.WriteString(client, "GET")
	for end := time.Now().Add(10 * time.Second); socket.ReadState(withRequest) != socket.Unread && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until it has arrived
	}
	if c.closeIdle(); c.closing != 1 || c.conns[withRequest].closing {
		t.Errorf("%d of two were closed, the one with a request %v", c.closing, c.conns[withRequest].closing)
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(withRequest, got); err != nil || string(got) != "GET" {
		t.Errorf("read %q, error %v", got, err)
	}
	// Once read, it is a part of a request, which is rejected as the time for reading ends.
	if c.closeIdle(); c.closing != 1 {
		t.Errorf("%d connections were closed, want 1", c.closing)
	}
	c.limitReads(&shutdown.Schedule{ReadUntil: time.Now()})
	if _, err := withRequest.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read behind the time for reading: error %v", err)
	}
	answer := make([]byte, len(partialHeadRejection))
	if _, err := io.ReadFull(client, answer); err != nil || string(answer) != partialHeadRejection {
		t.Errorf("answer %q, error %v", answer, err)
	}
}
