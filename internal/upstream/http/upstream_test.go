package http

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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

// waitTimeout bounds each wait of the tests, which normally take much less.
const waitTimeout = 20 * time.Second

// testUpstream returns an upstream with at most maxConns connections.
func testUpstream(maxConns int) *Upstream {
	return &Upstream{Budget: semaphore.NewWeighted(1 << 20), ReportFields: []string{"qps", "util", "eps"},
		Pool: conns.New(waitTimeout, time.Minute, maxConns)}
}

func testCall(body []byte) *core.Call {
	return &core.Call{Payload: &Call{Method: "POST", Target: "/api/a1", Host: "x", Header: http.Header{"Request-Id": {"1"}}, Body: body}}
}

func startServer(t *testing.T) *lab.Backend {
	t.Helper()
	s, err := lab.NewBackend("s-1", "east", 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// A reset before the last byte was written proves that the attempt never ran. Only the number of bytes
// written distinguishes it from a later reset.
func TestResetBeforeLastByteNeverRan(t *testing.T) {
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
		c.Read(make([]byte, 1)) // the request has started, and is larger than the socket buffers
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
	time.Sleep(100 * time.Millisecond) // longer than connections have to rest
	c := testCall(make([]byte, 64<<10))
	now := time.Now()
	if res := s.Do(context.Background(), b, addr, c, now, now.Add(waitTimeout)); res.Status != policy.ConnectFailed {
		t.Errorf("ended as %d, want %d", res.Status, policy.ConnectFailed)
	}
	if s.Pool.Open() != 0 {
		t.Errorf("%d connections counted as open", s.Pool.Open())
	}
}

// A backend that starts to drain while an attempt connects gets no new request, and an attempt that is
// cancelled while it connects is not counted against the backend.
func TestNothingIsBegunOnceDrainingOrCancelled(t *testing.T) {
	b := startServer(t)
	s := testUpstream(8)
	c := testCall([]byte("x"))
	now := time.Now()
	draining := &core.Backend{}
	draining.MarkUnavailable()
	if res := s.Do(t.Context(), draining, b.Addr, c, now, now.Add(waitTimeout)); res.Status != policy.NotStarted {
		t.Errorf("draining: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if res := s.Do(ctx, &core.Backend{}, b.Addr, c, now, now.Add(waitTimeout)); res.Status != policy.NotStarted {
		t.Errorf("cancelled: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	// Once this request has arrived, one that was sent earlier would have arrived, too.
	if res := s.Do(t.Context(), &core.Backend{}, b.Addr, c, now, now.Add(waitTimeout)); res.Status != policy.OK {
		t.Errorf("ended as %d, want %d", res.Status, policy.OK)
	}
	if b.RequestCount() != 1 {
		t.Errorf("%d requests arrived, want 1", b.RequestCount())
	}
}

// A failure on the agent's own host is not counted against the backend.
func TestLocalFailureIsNotTheBackends(t *testing.T) {
	b := startServer(t)
	now := time.Now()
	full := testUpstream(0)
	if res := full.Do(t.Context(), &core.Backend{}, b.Addr, testCall(nil), now, now.Add(waitTimeout)); res.Status != policy.NotStarted {
		t.Errorf("connection limit: ended as %d, want %d", res.Status, policy.NotStarted)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if res := testUpstream(8).Do(t.Context(), &core.Backend{}, ln.Addr().String(), testCall(nil), now, now.Add(waitTimeout)); res.Status != policy.ConnectFailed {
		t.Errorf("connection refused: ended as %d, want %d", res.Status, policy.ConnectFailed)
	}
}

func TestParseReport(t *testing.T) {
	names := []string{"qps", "util", "eps"}
	for text, want := range map[string]string{
		"eps=1,qps=3,util=0.5": "[3 0.5 1]", "inflight=7, qps=3, util=0.5, eps=1": "[3 0.5 1]",
		"qps=3,util=0.5": "[]", "qps=3,util=x,eps=1": "[]", "": "[]", ",=,": "[]",
		"qps=3,util=NaN,eps=1": "[]", "qps=Inf,util=0,eps=1": "[]", "qps=3,util=-1,eps=1": "[]",
		"qps=3,util=0.5,eps=1,qps=4": "[]", "qps=1e99,util=0,eps=0": "[]",
		"%%%|qps=3,util=0.5,eps=1": "[3 0.5 1]", // two fields, the first invalid
	} {
		if got := fmt.Sprint(parseReport(strings.Split(text, "|"), names)); got != want {
			t.Errorf("%q parsed as %s, want %s", text, got, want)
		}
	}
}

// readFunc makes an io.Reader of a function.
type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// For any input the reader stays within its limits, and net/http parses every response that it accepts the
// same way, up to the same end.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: x\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", maxChunkSizeDigits) + "2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := compareResponseReaders(text); err != nil {
			t.Fatalf("%v, in %q", err, text)
		}
		resp, body, err := readResponse(bufio.NewReader(bytes.NewReader(text)), func(int64) error { return nil }, nil)
		if err != nil {
			return
		}
		if len(body.bytes) > maxBufferedBody || resp.StatusCode < 200 {
			t.Fatalf("response with a body of %d bytes and status %d", len(body.bytes), resp.StatusCode)
		}
		if body.readMore != nil { // a streamed body, whose end may be malformed
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
				t.Fatalf("net/http rejects the response: %v", err)
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

// The outcome of a health check by status code: 200 is healthy, 503 means that the backend runs but accepts
// no requests now, and 404 says nothing. The load report is read from the body, and the connection is reused
// for the next check.
func TestHealthCheckOutcomes(t *testing.T) {
	u := testUpstream(1)
	for _, c := range []struct {
		code   int
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
				w.WriteHeader(c.code)
				io.WriteString(w, c.body)
			}))
			checker, b := &Upstream{Pool: u.Pool, Budget: u.Budget, ReportFields: reports}, &core.Backend{}
			res := checker.HealthCheck(t.Context(), b, s.Listener.Addr().String(), time.Now(), time.Now().Add(waitTimeout))
			wantPath, report := "GET /-/load", c.report
			if reports == nil {
				wantPath, report = "GET /-/healthy", 0
			}
			if res.Status != c.want || len(res.Report) != report || path != wantPath || id != "" {
				t.Errorf("%s answered %d %.20q: %+v, id %q; want %v with %d values", path, c.code, c.body, res, id, c.want, report)
			}
			if idle := checker.Pool.Idle(conns.Key{Backend: b}); (idle == 1) != (len(c.body) <= unreservedBytes) {
				t.Errorf("status %d, body %.20q: %d connections idle", c.code, c.body, idle)
			}
			b.MarkUnavailable()
			if res := checker.HealthCheck(t.Context(), b, s.Listener.Addr().String(), time.Now(), time.Now().Add(waitTimeout)); res.Status != policy.NotStarted {
				t.Errorf("a draining backend is checked: %+v", res)
			}
			checker.CloseIdle(b)
			s.Close()
		}
	}
}

// A response with very many header lines is malformed, though its header is short enough.
func TestResponseOfManyHeaderLinesIsMalformed(t *testing.T) {
	for lines, malformed := range map[int]bool{maxHeaderLines - 2: false, maxHeaderLines + 1: true} {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n"
		_, _, err := readHead(bufio.NewReader(strings.NewReader(text)))
		if malformed != errors.Is(err, conns.ErrMalformedResponse) {
			t.Errorf("%d lines: %v", lines, err)
		}
	}
}
