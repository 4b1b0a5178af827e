package control_test

import (
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

// The routes permit a retry only if the request cannot be executed twice, for each class and each outcome of
// an attempt.
func TestProxiesRetryOnlyWhatIsSafe(t *testing.T) {
	f := newFixture(t, testEntries(3), nil)
	p := f.dial(xdsproxy.Options{Node: "p", Zone: "east"})
	f.awaitReady(p)
	tab, _ := p.Table()
	mayRun := map[xdsproxy.Outcome]bool{xdsproxy.Answer5xx: true, xdsproxy.NotStarted: false, xdsproxy.ConnectFailed: false,
		xdsproxy.RefusedStream: false, xdsproxy.Reset: true, xdsproxy.TimedOut: true}
	for class, idempotent := range map[string]bool{"read": true, "send": true, "order": false, "unknown class": false} {
		r := tab.Route(class)
		if r == nil || r.Hedged || r.PerTryTimeout != 0 || r.Timeout <= 0 || r.Timeout >= 1200*time.Millisecond {
			t.Fatalf("%s: route %+v", class, r)
		}
		for outcome, ran := range mayRun {
			retried := r.MayRetry(outcome, 1)
			switch {
			case retried && ran && !idempotent:
				t.Errorf("%s is retried after outcome %d", class, outcome)
			case !retried && !ran:
				t.Errorf("%s is not retried after outcome %d, after which it cannot have run", class, outcome)
			}
			if r.MayRetry(outcome, 3) {
				t.Errorf("%s permits a fourth attempt", class)
			}
		}
	}
}

// As TestProxiesRetryOnlyWhatIsSafe, but over sockets, with the executions counted at the servers.
func TestServersSeeOnlySafeRetries(t *testing.T) {
	classes := map[string]lab.Effect{"read": lab.Idempotent, "send": lab.IdempotentByKey, "order": lab.NonIdempotent}
	for name, c := range map[string]struct {
		mode       lab.Mode
		unsafe     int // attempts for a request that is not idempotent
		idempotent int // attempts for an idempotent request
	}{
		"serving": {lab.Serving, 1, 1}, "failing": {lab.Failing, 1, 3}, "breaking": {lab.ResetAfterRun, 1, 3},
		"rejecting": {lab.Rejecting, 3, 3}, "silent": {lab.Silent, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger := lab.NewLedger(lab.DefaultRules())
			var entries []membership.Entry
			for i := range 4 {
				s, err := lab.NewBackend(fmt.Sprint("s-", i), "east", 0, ledger)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(s.Close)
				s.Set(c.mode)
				entries = append(entries, s.Entry)
			}
			f := newFixture(t, entries, nil)
			p := f.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true})
			f.awaitReady(p)
			f.await(p, "all", hasServers(4))
			for class, effect := range classes {
				for i := range 5 {
					id := fmt.Sprint(class, "-", i)
					ledger.AttemptStarted(id, effect, id, time.Now().Add(3*time.Second))
					res := p.Call(t.Context(), class, id, id+" ")
					want := c.idempotent
					if effect == lab.NonIdempotent {
						want = c.unsafe
					}
					if res.Attempts != want {
						t.Errorf("%s: %d attempts, want %d", class, res.Attempts, want)
					}
					v := lab.Failed
					if res.Status == 200 {
						v = lab.Served
					} else if !res.MayHaveRun {
						v = lab.Rejected
					}
					ledger.Answered(id, v, time.Now())
				}
			}
			if broken, texts := ledger.Violations(time.Now()); len(broken) > 0 {
				t.Errorf("violated rules %v: %q", broken, texts)
			}
		})
	}
}

// When a server drains or is removed, its own keys migrate and about as many others, since the remaining
// servers get more entries on the ring. Package assign tests that the assignment itself moves no other keys.
func TestMostKeysStay(t *testing.T) {
	for _, n := range []int{3, 9, 30, 120} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFixture(t, testEntries(n), nil)
			p := f.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true, LEDS: n%2 == 0})
			f.awaitReady(p)
			f.await(p, "all", hasServers(n))
			const keys = 3000
			selectServers := func() []string {
				tab, _ := p.Table()
				out := make([]string, keys)
				for k := range out {
					out[k] = tab.Pick(fmt.Sprint("key-", k), nil, nil)
				}
				return out
			}
			before := selectServers()
			tab, _ := p.Table()
			share := tab.Shares()[fmt.Sprintf("s-%03d", n/2)]
			for _, remove := range []func(){func() { f.drain(n / 2) }, func() { f.discovery.Remove(fmt.Sprintf("s-%03d", n/2)) }} {
				remove()
				f.await(p, "the server out of use", usable(fmt.Sprintf("s-%03d", n/2), false))
				moved := 0
				for k, at := range selectServers() {
					if at != before[k] {
						moved++
					}
				}
				if limit := int(2.5 * keys * share); moved >= limit || moved == 0 {
					t.Errorf("%d of %d keys migrated, at most %d", moved, keys, limit)
				}
			}
		})
	}
}
