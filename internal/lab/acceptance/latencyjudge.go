package acceptance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// latencyBound is how far above HTTP's Thrift's figures may be.
const latencyBound = 1.10

// timedCall is one call that was measured.
type timedCall struct {
	took time.Duration
	// waited is how long threads of this process were ready to run meanwhile and had no core: what other
	// processes took of the call's time.
	waited time.Duration
}

// own is the call's time less what the machine took of it. What the product makes a call wait for, a timer, a
// lock, another goroutine, is the call's own; so is what nobody can account for.
func (c timedCall) own() time.Duration { return max(c.took-c.waited, 0) }

// starved reports whether the machine took all the time that the call had: it was over, and all of it is accounted for by
// threads of this process that had no core. Such a call need not be served; its turn is a disturbed one.
func (c timedCall) starved(within time.Duration) bool { return c.took >= within*9/10 && c.own() == 0 }

// timedTurn are the calls of a turn, by protocol, how long it took, what threads of this process waited for a core
// in all of it, and what other guests took of this machine's cores.
type timedTurn struct {
	calls                [2][]timedCall
	took, waited, stolen time.Duration
}

// disturbed is what the machine did in a turn: threads that waited for a core, and cores that were taken, on an
// average. It knows nothing of the calls' times, so that no call is left out for having been slow.
func (t *timedTurn) disturbed() float64 { return float64(t.waited+t.stolen) / float64(t.took) }

// calmTurn is the most of it in a turn that need not be taken again.
const calmTurn = 0.05

// calm counts the turns that need not be taken again.
func calm(turns []timedTurn) (n int) {
	for i := range turns {
		if turns[i].disturbed() <= calmTurn {
			n++
		}
	}
	return n
}

// calmest are the calls of one protocol in the n turns that the machine disturbed least.
func calmest(turns []timedTurn, n, protocol int) (calls []timedCall) {
	turns = slices.Clone(turns)
	slices.SortStableFunc(turns, func(a, b timedTurn) int { return cmp.Compare(a.disturbed(), b.disturbed()) })
	for _, t := range turns[:min(n, len(turns))] {
		calls = append(calls, t.calls[protocol]...)
	}
	return calls
}

// quantile is that of the calls' times, the whole or their own.
func quantile(calls []timedCall, q float64, of func(timedCall) time.Duration) time.Duration {
	var times []time.Duration
	for _, c := range calls {
		times = append(times, of(c))
	}
	slices.Sort(times)
	return percentile(times, q)
}

// judge puts what the agent adds to a call into the report: at the median of the time that calls took, and at
// their 99th percentile of their own time, over all calls of the need calmest turns either way. Half of all calls
// meet nothing else on the machine, the slowest in a hundred mostly do. Thrift's may be latencyBound times HTTP's;
// where HTTP's is nothing, nothing was measured, which falls short too.
func judge(r *Report, direct, through []timedTurn, need int) {
	took := func(c timedCall) time.Duration { return c.took }
	var added [2][2]float64 // by quantile and protocol
	for i, name := range []string{"http", "thrift"} {
		direct, through := calmest(direct, need, i), calmest(through, need, i)
		figure := func(what string, q float64, of func(timedCall) time.Duration) float64 {
			d, t := quantile(direct, q, of), quantile(through, q, of)
			r.add(fmt.Sprintf("%s_%s_direct", name, what), float64(d.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_%s_through", name, what), float64(t.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_%s_added", name, what), float64((t - d).Microseconds()), "us")
			return float64((t - d).Microseconds())
		}
		added[0][i] = figure("p50", 0.5, took)
		figure("p99", 0.99, took) // with the machine's part; not judged
		added[1][i] = figure("p99_own", 0.99, timedCall.own)
	}
	r.add("turns", float64(len(through)), "")
	r.add("turns_judged", float64(need), "")
	r.add("turns_calm_direct", float64(calm(direct)), "")
	r.add("turns_calm_through", float64(calm(through)), "")
	for j, q := range []string{"p50", "p99_own"} {
		http, thrift := added[j][0], added[j][1]
		if http <= 0 {
			r.short("HTTP's added %s is %v us: nothing was measured", q, http)
			continue
		}
		ratio := thrift / http
		r.add("thrift_by_http_"+q, ratio, "")
		if ratio > latencyBound {
			r.short("Thrift's added %s is %.2f times HTTP's, %v allowed", q, ratio, latencyBound)
		}
	}
}
