package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clayproxy.example/clayproxy/policy"
)

// maxBody is the largest body of a message.
const maxBody = 64 << 10

// backend is one listed server. Its fields belong to the loop, but for closed.
type backend struct {
	id     string
	name   policy.Addr // what the module calls it
	addr   string      // where it listens, as told to this agent last
	gone   bool
	out    int         // attempts out
	closed atomic.Bool // told to drain or gone: read by attempts just before they write
}

// result is how one attempt ended.
type result struct {
	status    policy.Status
	latencyMs float64
	report    []float32
	header    http.Header
	body      []byte
}

// pool makes attempts and keeps idle connections. http.Transport is not used on
// purpose: it sends again by itself on a broken kept connection, and does not
// tell whether the last byte was written, on which hangs whether an attempt may
// have run.
type pool struct {
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again
	max            int
	reportNames    []string

	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
	open int
}

type conn struct {
	net.Conn
	br    *bufio.Reader
	addr  string
	since time.Time // idle since
}

var errTooMany = errors.New("no descriptor left for a connection")

func newPool(c *Config) *pool {
	p := &pool{
		connectTimeout: ms(c.Settings.Limits.ConnectTimeoutMs),
		// The backend closes at keepalive at the latest; half of it is well before.
		keepalive: ms(c.Settings.Limits.KeepaliveMs / 2),
		max:       c.backendConns(),
		idle:      map[string][]*conn{},
	}
	if c.Settings.Report.How == "inline" {
		p.reportNames = c.Settings.Report.Names
	}
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
	return p
}

// do makes one attempt and returns how it ended, exactly once. It never sends
// anything twice. Cancelling ctx withdraws the attempt and closes its connection.
func (p *pool) do(ctx context.Context, b *backend, addr string, c *call, sent, deadline time.Time) result {
	r := p.attempt(ctx, b, addr, c, deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands.
	if ctx.Err() != nil && r.status != policy.OK && r.status != policy.Full {
		r.status = policy.Cancelled
	}
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

func (p *pool) attempt(ctx context.Context, b *backend, addr string, c *call, deadline time.Time) result {
	cn, err := p.get(ctx, addr, deadline)
	if err != nil {
		// Refused, never came up, or no descriptor: not a byte was sent.
		return result{status: policy.ConnectFailed}
	}
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		if stop() && reusable {
			p.put(cn, b)
		} else {
			p.close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	if ctx.Err() != nil {
		return result{status: policy.ConnectFailed}
	}
	out, err := c.wire(time.Until(deadline))
	if err != nil {
		return result{status: policy.ConnectFailed}
	}
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile.
	if b.closed.Load() {
		reusable = true
		return result{status: policy.ConnectFailed}
	}
	if n, err := cn.Write(out); err != nil {
		if n < len(out) {
			// The last byte never left, and the connection is closed: it cannot run.
			return result{status: policy.ConnectFailed}
		}
		return result{status: broken(err)}
	}
	resp, body, err := readAnswer(cn.br, c.method)
	if resp == nil {
		return result{status: broken(err)}
	}
	res := result{report: p.report(resp.Header)}
	if err != nil {
		res.status = broken(err)
		return res
	}
	reusable = !resp.Close && cn.br.Buffered() == 0
	res.status = outcome(resp)
	if res.status == policy.OK {
		res.header, res.body = resp.Header, body
	}
	return res
}

// broken maps what ended an attempt whose last byte was written: it may have run.
func broken(err error) policy.Status {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return policy.Reset
	}
	return policy.Error // an answer that can't be read
}

// outcome maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through.
func outcome(resp *http.Response) policy.Status {
	switch {
	case resp.StatusCode == http.StatusOK:
		return policy.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.Full
	}
	return policy.Error
}

// readAnswer reads one final answer and its whole body; a nil response means
// that no head could be read.
func readAnswer(br *bufio.Reader, method string) (*http.Response, []byte, error) {
	for range 8 { // interim answers that may come ahead
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			// It would end where the connection does, and nothing could tell a whole
			// answer from one that was cut off.
			return resp, nil, io.ErrUnexpectedEOF
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if err == nil && len(body) > maxBody {
			err = errors.New("answer too large")
		}
		return resp, body, err
	}
	return nil, nil, errors.New("too many interim answers")
}

// report reads a load report in the order the settings name its values; one that
// is not whole is none.
func (p *pool) report(h http.Header) []float32 {
	text := h.Get("Server-Load")
	if text == "" || len(p.reportNames) == 0 {
		return nil
	}
	values := make([]float32, len(p.reportNames))
	found := 0
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, want := range p.reportNames {
			if name == want {
				v, err := strconv.ParseFloat(value, 32)
				if err != nil {
					return nil
				}
				values[i] = float32(v)
				found++
			}
		}
	}
	if found != len(values) {
		return nil
	}
	return values
}

// get returns an idle connection that is still good, the most recently used
// first, or opens one.
func (p *pool) get(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			break
		}
		cn := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(cn.since) < p.keepalive && alive(cn.Conn) {
			return cn, nil
		}
		p.close(cn)
	}
	if p.open >= p.max && !p.evict() {
		p.mu.Unlock()
		return nil, errTooMany
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Deadline: earliest(deadline, time.Now().Add(p.connectTimeout)), KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 4<<10), addr: addr}, nil
}

// evict closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
func (p *pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	p.open--
	oldest.Close()
	return true
}

func (p *pool) put(cn *conn, b *backend) {
	cn.SetDeadline(time.Time{})
	cn.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.closed.Load() {
		p.open--
		cn.Close()
		return
	}
	p.idle[cn.addr] = append(p.idle[cn.addr], cn)
}

func (p *pool) close(cn *conn) {
	cn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// hangUp closes the idle connections to an address.
func (p *pool) hangUp(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[addr] {
		p.open--
		cn.Close()
	}
	delete(p.idle, addr)
}

// sweep closes connections that have idled too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].since) >= p.keepalive {
			p.open--
			list[n].Close()
			n++
		}
		if p.idle[addr] = list[n:]; n == len(list) {
			delete(p.idle, addr)
		}
	}
}

// alive tells whether an idle connection is still open and silent. One that the
// peer closed, or that brings bytes nobody asked for, must not carry a request:
// it would end as a reset, which may have run.
func alive(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}

// hop names the header fields that are for one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	return out
}

// wire is the request as it goes to a backend, told how long the agent waits.
func (c *call) wire(left time.Duration) ([]byte, error) {
	h := endToEnd(c.header)
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // none rather than the library's
	}
	req := &http.Request{Method: c.method, URL: &url.URL{Path: c.url.Path, RawPath: c.url.RawPath,
		RawQuery: c.url.RawQuery, ForceQuery: c.url.ForceQuery}, Host: c.host, Header: h}
	if len(c.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
