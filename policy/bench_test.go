package policy

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkDecision handles requests from arrival to answer for an agent with 60 servers, four tenants and
// 1000 keys, with servers that reject three of ten attempts.
func BenchmarkDecision(b *testing.B) {
	set := testSettings()
	set.Tenants = []Tenant{{QuotaWeight: 0.44}, {QuotaWeight: 0.32}, {QuotaWeight: 0.13}, {QuotaWeight: 0.11}}
	set.OverQuotaWeight, set.ServerInfo.CacheKeys = 0.1, true
	set.Report.Names = []string{"qps", "latency_ms", "eps", "util"}
	m, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	now := 1e6
	entries := make([]Endpoint, 60)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Health: Ready, Weight: 1, Zone: i % 3}
	}
	var out []Action
	out = m.Handle(now, &Event{Kind: EventEndpointUpdate, Update: UpdateCached, Endpoints: entries}, out[:0])
	report := []float32{100, 20, 0, 0.97}
	b.ReportAllocs()
	b.ResetTimer()
	id := RequestID(0)
	attempts := map[RequestID]int{}
	type end struct {
		id RequestID
		s  Addr
	}
	var inflight []end
	collect := func() {
		for i := range out {
			switch a := &out[i]; a.Kind {
			case ActionForward:
				inflight = append(inflight, end{a.Request, a.Server})
			case ActionReject, ActionFail:
				delete(attempts, a.Request)
			}
		}
	}
	for range b.N {
		now += 0.5
		id++
		out = m.Handle(now, &Event{Kind: EventRequest, Request: id, Class: rng.IntN(3), Tenant: rng.IntN(4), Key: 1 + rng.Uint64N(1000), RemainingMs: 600}, out[:0])
		collect()
		if id%10 == 0 {
			out = m.Handle(now, &Event{Kind: EventTimer, Token: tickTimerToken}, out[:0])
			collect()
		}
		for len(inflight) > 40 {
			e := inflight[0]
			inflight = inflight[1:]
			n := attempts[e.id]
			attempts[e.id]++
			ev := Event{Kind: EventAttemptEnded, Request: e.id, Attempt: n, Server: e.s, Status: OK, LatencyMs: 20, Final: true, Report: report}
			if rng.Float64() < 0.3 {
				ev.Status, ev.Final = Rejected, false
			} else {
				delete(attempts, e.id)
			}
			out = m.Handle(now, &ev, out[:0])
			collect()
		}
	}
}
