package http

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

// patience bounds every wait of the tests; none of them needs more than a part of it.
const patience = 20 * time.Second

// testUpstream makes attempts with most connections at the most.
func testUpstream(most int) *Upstream {
	return &Upstream{Budget: semaphore.NewWeighted(1 << 20), ReportFields: []string{"qps", "util", "eps"},
		Pool: conns.New(patience, time.Minute, most)}
}

func testCall(body []byte) *core.Call {
	return &core.Call{Payload: &Call{Method: "POST", Target: "/api/a1", Host: "x", Header: http.Header{"Request-Id": {"1"}}, Body: body}}
}

func server(t *testing.T) *lab.OrderServer {
	t.Helper()
	s, err := lab.NewOrderServer("s-1", "east", 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// A connection that breaks before the last byte is written proves that the
// attempt never ran; only the count of bytes written tells it from a reset.
func TestBreakBeforeLastByteNeverRan(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	ln, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1)) // the request has begun, and does not fit the buffers
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetWriteBuffer(4096)
	addr := ln.Addr().String()
	s, b := testUpstream(8), &core.Backend{}
	s.Pool.Adopt(nc, conns.Key{Backend: b}, addr)
	c := testCall(make([]byte, 64<<10))
	now := time.Now()
	if res := s.Do(context.Background(), b, addr, c, now, now.Add(patience)); res.Status != policy.ConnectFailed {
		t.Errorf("ended as %d, want %d", res.Status, policy.ConnectFailed)
	}
	if s.Pool.Open() != 0 {
		t.Errorf("%d connections counted as open", s.Pool.Open())
	}
}

// A backend told to drain while the attempt was connecting gets nothing new, and an
// attempt withdrawn meanwhile says nothing against its backend.
func TestNothingIsBegunOnceDrainedOrWithdrawn(t *testing.T) {
	b := server(t)
	s := testUpstream(8)
	c := testCall([]byte("x"))
	now := time.Now()
	drained := &core.Backend{}
	drained.MarkUnavailable()
	if res := s.Do(t.Context(), drained, b.Addr, c, now, now.Add(patience)); res.Status != policy.NotStarted {
		t.Errorf("drained: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if res := s.Do(ctx, &core.Backend{}, b.Addr, c, now, now.Add(patience)); res.Status != policy.NotStarted {
		t.Errorf("withdrawn: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	// One more goes through, after which an earlier one would have arrived as well.
	if res := s.Do(t.Context(), &core.Backend{}, b.Addr, c, now, now.Add(patience)); res.Status != policy.OK {
		t.Errorf("ended as %d, want %d", res.Status, policy.OK)
	}
	if b.Begun() != 1 {
		t.Errorf("%d arrivals, want 1", b.Begun())
	}
}

// A failure of the agent's own says nothing of the backend.
func TestBlame(t *testing.T) {
	b := server(t)
	now := time.Now()
	full := testUpstream(0)
	if res := full.Do(t.Context(), &core.Backend{}, b.Addr, testCall(nil), now, now.Add(patience)); res.Status != policy.NotStarted {
		t.Errorf("no descriptor: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if res := testUpstream(8).Do(t.Context(), &core.Backend{}, ln.Addr().String(), testCall(nil), now, now.Add(patience)); res.Status != policy.ConnectFailed {
		t.Errorf("refused: ended as %d, want %d", res.Status, policy.ConnectFailed)
	}
}

func TestReport(t *testing.T) {
	names := []string{"qps", "util", "eps"}
	for text, want := range map[string]string{
		"eps=1,qps=3,util=0.5": "[3 0.5 1]", "inflight=7, qps=3, util=0.5, eps=1": "[3 0.5 1]",
		"qps=3,util=0.5": "[]", "qps=3,util=x,eps=1": "[]", "": "[]", ",=,": "[]",
		"qps=3,util=NaN,eps=1": "[]", "qps=Inf,util=0,eps=1": "[]", "qps=3,util=-1,eps=1": "[]",
		"qps=3,util=0.5,eps=1,qps=4": "[]", "qps=1e99,util=0,eps=0": "[]",
		"%%%|qps=3,util=0.5,eps=1": "[3 0.5 1]", // two fields, the first unreadable
	} {
		if got := fmt.Sprint(parseReport(strings.Split(text, "|"), names)); got != want {
			t.Errorf("%q read as %s, want %s", text, got, want)
		}
	}
}

// Whatever comes, the reader ends, within its bounds, and what it takes for an
// answer is one to net/http as well.
// readFunc is a reader.
type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: x\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		resp, body, err := readResponse(bufio.NewReader(bytes.NewReader(text)), func(int64) error { return nil }, nil)
		if err != nil {
			return
		}
		if len(body.bytes) > maxBufferedBody || resp.StatusCode < 200 {
			t.Fatalf("%d bytes, status %d", len(body.bytes), resp.StatusCode)
		}
		if body.readMore != nil { // a long one; its end may be spoilt
			rest, err := io.ReadAll(readFunc(body.readMore))
			if err != nil {
				return
			}
			body.bytes = append(body.bytes, rest...)
		}
		br := bufio.NewReader(bytes.NewReader(text))
		for {
			other, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("net/http: %v", err)
			}
			if other.StatusCode < 200 {
				continue
			}
			want, err := io.ReadAll(other.Body)
			if err != nil || other.StatusCode != resp.StatusCode || !bytes.Equal(body.bytes, want) {
				t.Errorf("read %d %q, net/http %d %q, %v", resp.StatusCode, body.bytes, other.StatusCode, want, err)
			}
			return
		}
	})
}

// What a probe's answer says of its backend: 503 that it runs and takes nothing now, 404 nothing at all; only
// 200 is well. The report is that of the body, and the connection serves the next probe.
func TestProbeEndings(t *testing.T) {
	u := testUpstream(1)
	for _, c := range []struct {
		answer int
		body   string
		want   policy.Status
		report int
	}{
		{200, "qps=3,util=0.5,eps=0", policy.OK, 3}, {200, "", policy.OK, 0}, {200, "qps=x", policy.OK, 0},
		{503, "qps=3,util=1,eps=0", policy.Rejected, 3}, {404, "", policy.NotStarted, 0}, {500, "", policy.Error, 0},
		{302, "", policy.Error, 0}, {200, strings.Repeat("x", unreservedBytes+1), policy.Error, 0},
	} {
		for _, reports := range [][]string{u.ReportFields, nil} {
			var path, id string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				path, id = r.Method+" "+r.URL.Path, r.Header.Get("Request-Id")
				w.WriteHeader(c.answer)
				io.WriteString(w, c.body)
			}))
			probe, b := &Upstream{Pool: u.Pool, Budget: u.Budget, ReportFields: reports}, &core.Backend{}
			res := probe.Probe(t.Context(), b, s.Listener.Addr().String(), time.Now(), time.Now().Add(patience))
			asked, report := "GET /-/load", c.report
			if reports == nil {
				asked, report = "GET /-/healthy", 0
			}
			if res.Status != c.want || len(res.Report) != report || path != asked || id != "" {
				t.Errorf("%s answered %d %.20q: %+v, id %q; want %v with %d values", path, c.answer, c.body, res, id, c.want, report)
			}
			if kept := probe.Pool.Idle(conns.Key{Backend: b}); (kept == 1) != (len(c.body) <= unreservedBytes) {
				t.Errorf("%d %.20q: %d connections kept", c.answer, c.body, kept)
			}
			b.MarkUnavailable()
			if res := probe.Probe(t.Context(), b, s.Listener.Addr().String(), time.Now(), time.Now().Add(patience)); res.Status != policy.NotStarted {
				t.Errorf("a backend that drains is probed: %+v", res)
			}
			probe.CloseIdle(b)
			s.Close()
		}
	}
}
