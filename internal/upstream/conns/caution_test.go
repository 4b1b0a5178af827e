package conns

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"

	"golang.org/x/sync/semaphore"
)

// After unsolicited bytes connections to all backends rest longer, and idle ones to a backend that sent them late
// twice as long as they took, within bounds.
func TestRestsFollowUnsolicitedBytes(t *testing.T) {
	const late = 80 * time.Millisecond
	one, other := &core.Backend{}, &core.Backend{}
	now := time.Now()
	suspicious := rests{newConn: suspectNewConnRest, idle: suspectIdleRest, maxWait: maxSuspectRestWait}
	var c caution
	expect := func(when string, b *core.Backend, newConn, idle time.Duration) {
		t.Helper()
		if got := c.rests(b, now); got.newConn != newConn || got.idle != idle {
			t.Errorf("%s: rests %+v, want %v and %v", when, got, newConn, idle)
		}
	}
	expect("at the start", one, 0, 0)
	c.unsolicited(one, BehindResponse, 0, now)
	expect("bytes just behind a response", one, suspicious.newConn, suspicious.idle)
	c.unsolicited(one, WhileIdle, late, now)
	expect("late bytes", one, suspicious.newConn, 2*late)
	expect("another backend", other, suspicious.newConn, suspicious.idle)
	c.unsolicited(one, BeforeFirstRequest, late, now)
	expect("bytes on a new connection", one, maxNewConnRest, 2*late)
	expect("another backend, then", other, unsolicitedNewConnRest, suspicious.idle)
	c.unsolicited(one, WhileIdle, time.Hour, now)
	expect("bytes at the end of an idle time", one, maxNewConnRest, 2*late)
	c.unsolicited(one, WhileIdle, maxIdleRest, now)
	c.unsolicited(one, BeforeFirstRequest, maxIdleRest, now)
	expect("bounds", one, maxNewConnRest, maxIdleRest)
	now = now.Add(suspicionPeriod)
	expect("after the suspicion period", one, 0, 0)
	if c.forgetExpired(now); len(c.backends) != 0 {
		t.Errorf("%d backends are remembered after the suspicion period", len(c.backends))
	}
}

// A connection rests after its first response. Meanwhile a request takes another one
// that has rested, or waits.
func TestUnsettledConnectionRests(t *testing.T) {
	now := time.Now()
	usual := rests{maxWait: maxRestWait}
	settled := &Conn{carried: 2, idleSince: now.Add(-time.Second)}
	unsettled := &Conn{carried: 1, idleSince: now, unsettled: true}
	almost := &Conn{carried: 1, idleSince: now.Add(-unsettledRest + time.Millisecond), unsettled: true}
	justUsed := &Conn{carried: 2, idleSince: now}
	usedBefore := &Conn{carried: 2, idleSince: now.Add(-settledRest)}
	settledByID, usedByID := &Conn{carried: 2, idleSince: now.Add(-time.Second), matchedByID: true}, &Conn{carried: 2, idleSince: now, matchedByID: true}
	for name, test := range map[string]struct {
		idle   []*Conn
		wanted rests
		want   *Conn
	}{
		"one that has rested":                               {[]*Conn{settled, unsettled}, usual, settled},
		"the one that lacks least":                          {[]*Conn{almost, unsettled}, usual, almost},
		"none that lacks more than a new one":               {[]*Conn{unsettled}, rests{newConn: suspectNewConnRest, idle: suspectIdleRest, maxWait: maxSuspectRestWait}, nil},
		"none that is idle":                                 {nil, usual, nil},
		"one that has rested, not the last":                 {[]*Conn{settled, justUsed}, usual, settled},
		"the last one that has rested":                      {[]*Conn{settled, usedBefore, justUsed}, usual, usedBefore},
		"one that needs less rest than a wait":              {[]*Conn{justUsed}, usual, justUsed},
		"the last one, where responses name their requests": {[]*Conn{settledByID, usedByID}, usual, usedByID},
	} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		p.idle[key] = test.idle
		if got := p.takeIdle(key, test.wanted); got != test.want {
			t.Errorf("%s: took %+v, want %+v", name, got, test.want)
		}
	}
}

// Requests wait for resting connections until that has cost as much as another connection, which is then opened,
// unless the limit is reached.
func TestWaitsForRestsOpenAConnection(t *testing.T) {
	const waits = int(maxRestWaits / settledRest)
	for _, test := range []struct {
		name     string
		maxConns int
		opens    bool
	}{
		{"below the limit", 8, true},
		{"at the limit", 1, false},
	} {
		p, key := New(waitTimeout, time.Minute, test.maxConns), newKey()
		p.open = 1
		for i := range waits + 1 {
			p.idle[key] = []*Conn{{carried: 2, idleSince: time.Now()}}
			got := p.takeIdle(key, rests{maxWait: maxRestWait})
			if opens := got == nil; opens != (test.opens && i == waits) {
				t.Errorf("%s, wait %d: a connection is opened: %v", test.name, i, opens)
			}
		}
		delete(p.idle, key)
		if p.CloseExpired(); len(p.restWaits) != 0 {
			t.Errorf("%s: waits are remembered without idle connections", test.name)
		}
	}
}

// A second response some milliseconds behind any response of a connection is not read as the response to the next
// request.
func TestSecondResponseOnASettledConnection(t *testing.T) {
	t.Parallel()
	const (
		settledAfter = 2 // responses, without a second one
		requests     = 8
		late         = settledRest / 3
	)
	for _, status := range []policy.Status{policy.OK, policy.Rejected} {
		addr := startPeer(t, func(c net.Conn) {
			buf := make([]byte, len("request"))
			for n := 1; ; n++ {
				if _, err := io.ReadFull(c, buf); err != nil {
					return
				}
				time.Sleep(2 * late) // the second response comes before the one to the next request
				response := fmt.Sprintf("%06d", responsesMade.Add(1))
				io.WriteString(c, response)
				if n > settledAfter {
					time.AfterFunc(late, func() { io.WriteString(c, response) })
				}
			}
		})
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		last := ""
		for i := range requests {
			result, got := exchangeWith(t, p, key, addr, waitTimeout, status)
			if result.Status != status || result.Unconfirmed || got <= last {
				t.Errorf("request %d: result %+v, response %s behind %s", i, result, got, last)
			}
			last = got
		}
	}
}

// responsesMade numbers the responses of TestSecondResponseOnASettledConnection.
var responsesMade atomic.Int64

// A response on a connection whose rest was cut short counts only if nothing came until the rest was over.
func TestResponseWithinTheRestOfAnEarlierOne(t *testing.T) {
	t.Parallel()
	addr := startPeer(t, func(c net.Conn) {
		io.ReadFull(c, make([]byte, len("request")))
		io.WriteString(c, "answer")
	})
	for _, test := range []struct {
		name      string
		rested    bool
		idleSince time.Time
		want      bool
	}{
		{"within the rest", false, time.Now().Add(waitTimeout), true},
		{"after the rest", false, time.Now().Add(-settledRest), false},
		{"on a connection that had rested", true, time.Now().Add(waitTimeout), false},
	} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		cn := getConn(t, p, key, addr)
		cn.carried, cn.rested, cn.idleSince = 2, test.rested, test.idleSince
		io.WriteString(cn, "request")
		if got := p.respondsTooSoon(cn); got != test.want {
			t.Errorf("%s: too soon %v, want %v", test.name, got, test.want)
		}
	}
}

// A rejection that came together with more bytes is not known to be the response to its request.
func TestRejectionWithBytesBehindIsUnconfirmed(t *testing.T) {
	t.Parallel()
	addr := startPeer(t, func(c net.Conn) {
		io.ReadFull(c, make([]byte, len("request")))
		io.WriteString(c, "rejectanswer")
	})
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	result, _ := exchangeWith(t, p, key, addr, waitTimeout, policy.Rejected)
	if !result.Unconfirmed || p.Open() != 0 || p.Unsolicited[BehindResponse].Load() != 1 {
		t.Errorf("result %+v, %d connections open", result, p.Open())
	}
}

// exchangeWith makes one attempt at a peer whose response has six bytes.
func exchangeWith(t *testing.T, p *Pool, key Key, addr string, timeout time.Duration, status policy.Status) (core.Result, string) {
	t.Helper()
	got := make([]byte, 6)
	result := p.Do(t.Context(), &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(timeout),
		Budget: semaphore.NewWeighted(1), EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("request")} },
		ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
			_, err := io.ReadFull(cn.Reader, got)
			return core.Result{Status: status}, true, err
		}})
	return result, string(got)
}

// After unsolicited bytes a peer that sends a response on a new connection, before any request, gets no request
// on it.
func TestResponseBeforeTheFirstRequest(t *testing.T) {
	t.Parallel()
	var accepted atomic.Int64
	respond := func(c net.Conn) {
		for buf := make([]byte, len("request")); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			io.WriteString(c, "answer")
		}
	}
	addr := startPeer(t, func(c net.Conn) { // the first two of the connections, which come one after the other
		if accepted.Add(1) <= 2 {
			io.WriteString(c, "unsent")
		}
		respond(c)
	})
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	p.caution.unsolicited(key.Backend, BeforeFirstRequest, 0, time.Now())
	if result, got := exchangeWith(t, p, key, addr, waitTimeout, policy.OK); result.Status != policy.OK || got != "answer" {
		t.Errorf("result %+v, response %q", result, got)
	}
	if n := p.Unsolicited[BeforeFirstRequest].Load(); n != 2 || p.Open() != 1 {
		t.Errorf("found %d times, want 2; %d connections open, want 1", n, p.Open())
	}
	everyOne := startPeer(t, func(c net.Conn) { io.WriteString(c, "unsent"); respond(c) })
	if result, _ := exchangeWith(t, p, newKey(), everyOne, waitTimeout, policy.OK); !result.Status.NeverRan() {
		t.Errorf("each connection has such a response: result %+v, want one that never ran", result)
	}
}

// A peer that closes a new connection before any request has run nothing, which shows if the connection rests.
func TestClosedBeforeTheFirstRequest(t *testing.T) {
	t.Parallel()
	addr := startPeer(t, func(c net.Conn) { c.Close() })
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	result, _ := exchangeWith(t, p, key, addr, waitTimeout, policy.OK)
	if (result.Status != policy.ConnectFailed && result.Status != policy.Reset) || p.Open() != 0 {
		t.Errorf("without a rest: result %+v, %d connections open", result, p.Open())
	}
	p.caution.unsolicited(key.Backend, BeforeFirstRequest, 0, time.Now())
	result, _ = exchangeWith(t, p, key, addr, waitTimeout, policy.OK)
	if result.Status != policy.ConnectFailed || p.Open() != 0 {
		t.Errorf("with a rest: result %+v, %d connections open", result, p.Open())
	}
}

// A rejection on a connection that had no time to rest may be the response to another request.
func TestRejectionWithoutRestIsUnconfirmed(t *testing.T) {
	t.Parallel()
	addr := startPeer(t, func(c net.Conn) {
		for buf := make([]byte, len("request")); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			io.WriteString(c, "reject")
		}
	})
	for _, test := range []struct {
		name        string
		timeout     time.Duration
		unconfirmed bool
	}{
		{"time to rest", waitTimeout, false},
		{"no time to rest", maxNewConnRest * (maxRestFraction - 1), true},
	} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		p.caution.unsolicited(key.Backend, BeforeFirstRequest, 0, time.Now())
		result, _ := exchangeWith(t, p, key, addr, test.timeout, policy.Rejected)
		if result.Unconfirmed != test.unconfirmed || (p.Idle(key) == 0) != test.unconfirmed {
			t.Errorf("%s: result %+v, %d connections idle", test.name, result, p.Idle(key))
		}
	}
}

// A connection that rests does so for longer once another one to its backend had unsolicited bytes.
func TestRestIsProlongedByUnsolicitedBytes(t *testing.T) {
	t.Parallel()
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	p.caution.unsolicited(newKey().Backend, BeforeFirstRequest, 0, time.Now())
	addr := startPeer(t, func(c net.Conn) {
		// The bytes of another connection, while the first one rests.
		p.caution.unsolicited(key.Backend, BeforeFirstRequest, 0, time.Now())
		time.Sleep(unsolicitedNewConnRest + maxNewConnRest/4)
		io.WriteString(c, "unsent")
	})
	if _, err := p.Get(t.Context(), key, addr, time.Now().Add(waitTimeout)); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("got %v, want an error that says that bytes came", err)
	}
}

// The rest of a connection is not part of the latency of its backend.
func TestRestIsNotLatency(t *testing.T) {
	t.Parallel()
	addr := startPeer(t, func(c net.Conn) {
		io.ReadFull(c, make([]byte, len("request")))
		io.WriteString(c, "answer")
	})
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	p.caution.unsolicited(key.Backend, BeforeFirstRequest, 0, time.Now())
	begun := time.Now()
	result, _ := exchangeWith(t, p, key, addr, waitTimeout, policy.OK)
	took := time.Since(begun)
	if latency := time.Duration(result.LatencyMs * float64(time.Millisecond)); took < maxNewConnRest || latency > took-maxNewConnRest {
		t.Errorf("latency %v of %v, which have a rest of %v", latency, took, maxNewConnRest)
	}
}
