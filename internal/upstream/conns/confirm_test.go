package conns

import (
	"io"
	"net"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// serveEach starts a peer that responds to each request after a delay, and says something before the first one
// of a connection.
func serveEach(t *testing.T, unasked string, delay time.Duration) string {
	t.Helper()
	return startPeer(t, func(c net.Conn) {
		io.WriteString(c, unasked)
		for buf := make([]byte, len("request")); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			time.Sleep(delay)
			io.WriteString(c, "answer")
		}
	})
}

// An early response that another one follows may belong to no request: the attempt may have run.
func TestEarlyResponseThatAnotherOneFollows(t *testing.T) {
	t.Parallel()
	for _, status := range []policy.Status{policy.OK, policy.Rejected} {
		addr := serveEach(t, "unsent", confirmServed/5)
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		result, _ := exchangeWith(t, p, key, addr, waitTimeout, status)
		if result.Status != policy.Error && !result.Status.NeverRan() { // the latter: found before the request
			t.Errorf("status %v: result %+v", status, result)
		}
		if found := p.Unsolicited[BeforeFirstRequest].Load(); found == 0 || p.Open() != 0 {
			t.Errorf("status %v: unsolicited bytes found %d times, %d connections open", status, found, p.Open())
		}
	}
}

// An early response that stands alone counts, and once enough of them did no other one has to be confirmed. The
// time of watching is not part of the latency.
func TestEarlyResponsesAreConfirmed(t *testing.T) {
	t.Parallel()
	addr := serveEach(t, "", 0)
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	for i := range enoughConfirmed + 1 {
		begun := time.Now()
		result, got := exchangeWith(t, p, key, addr, waitTimeout, policy.OK)
		took := time.Since(begun)
		p.CloseIdle(key.Backend)
		if result.Status != policy.OK || got != "answer" {
			t.Errorf("attempt %d: result %+v, response %q", i, result, got)
		}
		latency := time.Duration(result.LatencyMs * float64(time.Millisecond))
		if watched := took - latency; (watched >= confirmServed) != (i < enoughConfirmed) {
			t.Errorf("attempt %d: the latency is %v of %v", i, latency, took)
		}
	}
	p.confirmations.reset()
	if !p.confirmations.needed(policy.OK) {
		t.Error("after unsolicited bytes: early responses count at once")
	}
}

// A rejection that was not watched for long enough may belong to no request.
func TestRejectionThatIsWatchedBriefly(t *testing.T) {
	t.Parallel()
	addr := serveEach(t, "", 0)
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	result, _ := exchangeWith(t, p, key, addr, confirmRejected, policy.Rejected)
	if result.Status != policy.Rejected || !result.Unconfirmed || p.Open() != 0 {
		t.Errorf("result %+v, %d connections open", result, p.Open())
	}
}
