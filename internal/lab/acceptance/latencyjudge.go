package acceptance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxThriftRatio is the largest permitted ratio of Thrift's added latency to HTTP's.
const maxThriftRatio = 1.10

// timedCall is a measured call.
type timedCall struct {
	took time.Duration
	// waited is how long threads of this process were ready to run during the call and had no core, which is
	// the time that other processes took.
	waited time.Duration
}

// own returns the call's time without the waits for a core. Waits that the product causes, for a timer, a
// lock or another goroutine, are part of it; so is time of unknown cause.
func (c timedCall) own() time.Duration { return max(c.took-c.waited, 0) }

// starved reports whether the machine took all of the call's time: the call took nine tenths of its timeout or
// more, and waits of this process's threads for a core account for all of it. Such a call need not be served;
// its round is a disturbed one.
func (c timedCall) starved(within time.Duration) bool { return c.took >= within*9/10 && c.own() == 0 }

// timedRound is a round: its calls by protocol, how long it took, how long threads of this process waited for
// a core in it, and the steal time of the machine's cores in it.
type timedRound struct {
	calls                [2][]timedCall
	took, waited, stolen time.Duration
}

// disturbed returns the average number of threads that waited for a core and of cores that were stolen during
// the round. It does not depend on the calls' times, so that no call is left out for having been slow.
func (t *timedRound) disturbed() float64 { return float64(t.waited+t.stolen) / float64(t.took) }

// maxCalmDisturbance is the largest disturbance of a round that need not be repeated.
const maxCalmDisturbance = 0.05

// countCalm counts the rounds that need not be repeated.
func countCalm(rounds []timedRound) (n int) {
	for i := range rounds {
		if rounds[i].disturbed() <= maxCalmDisturbance {
			n++
		}
	}
	return n
}

// leastDisturbed returns the calls of one protocol in the n rounds that the machine disturbed least.
func leastDisturbed(rounds []timedRound, n, protocol int) (calls []timedCall) {
	rounds = slices.Clone(rounds)
	slices.SortStableFunc(rounds, func(a, b timedRound) int { return cmp.Compare(a.disturbed(), b.disturbed()) })
	for _, t := range rounds[:min(n, len(rounds))] {
		calls = append(calls, t.calls[protocol]...)
	}
	return calls
}

// quantile returns a quantile of the times that of returns for the calls.
func quantile(calls []timedCall, q float64, of func(timedCall) time.Duration) time.Duration {
	var times []time.Duration
	for _, c := range calls {
		times = append(times, of(c))
	}
	slices.Sort(times)
	return percentile(times, q)
}

// judge reports the latency that the agent adds to a call: the difference between the two paths at the median
// of the calls' times and at the 99th percentile of their own times, over all calls of the least disturbed
// rounds of each path, as many as wanted. Other load disturbs hardly any call at the median, but most of the
// slowest in a hundred, which is why the judged 99th percentile leaves out waits for a core. Thrift's figures
// may be maxThriftRatio times HTTP's; if HTTP's is not above 0, nothing was measured, which fails, too.
func judge(r *Report, direct, through []timedRound, wanted int) {
	took := func(c timedCall) time.Duration { return c.took }
	var added [2][2]float64 // by quantile and protocol
	for i, name := range []string{"http", "thrift"} {
		direct, through := leastDisturbed(direct, wanted, i), leastDisturbed(through, wanted, i)
		figure := func(what string, q float64, of func(timedCall) time.Duration) float64 {
			d, t := quantile(direct, q, of), quantile(through, q, of)
			r.add(fmt.Sprintf("%s_%s_direct", name, what), float64(d.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_%s_through", name, what), float64(t.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_%s_added", name, what), float64((t - d).Microseconds()), "us")
			return float64((t - d).Microseconds())
		}
		added[0][i] = figure("p50", 0.5, took)
		figure("p99", 0.99, took) // with the waits for a core; not judged
		added[1][i] = figure("p99_own", 0.99, timedCall.own)
	}
	r.add("turns", float64(len(through)), "")
	r.add("turns_judged", float64(wanted), "")
	r.add("turns_calm_direct", float64(countCalm(direct)), "")
	r.add("turns_calm_through", float64(countCalm(through)), "")
	for j, q := range []string{"p50", "p99_own"} {
		http, thrift := added[j][0], added[j][1]
		if http <= 0 {
			r.fail("HTTP's added %s is %v us: nothing was measured", q, http)
			continue
		}
		ratio := thrift / http
		r.add("thrift_by_http_"+q, ratio, "")
		if ratio > maxThriftRatio {
			r.fail("Thrift's added %s is %.2f times HTTP's, %v allowed", q, ratio, maxThriftRatio)
		}
	}
}
