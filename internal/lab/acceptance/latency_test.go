package acceptance

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Latency detects the defect of even seeds, too, which only the slowest calls show; TestProofs seeds that of
// odd ones.
func TestLatencyFindsATail(t *testing.T) {
	r, err := Latency(t.Context(), &Options{Seed: 2, Scale: 0.1, Defect: true})
	if err != nil {
		t.Fatal(err)
	}
	if t.Log(r.Line()); !strings.Contains(strings.Join(r.Failures, "; "), "p99_own") {
		t.Error("the defect was not detected")
	}
}

// Each case changes calls of an undisturbed run, in which Thrift's are a little quicker than HTTP's, and
// gives the figures that have to fail.
func TestJudge(t *testing.T) {
	const us, ms = time.Microsecond, time.Millisecond
	type change func(i int, http, thrift *timedCall)
	for _, c := range []struct {
		name            string
		direct, through change
		failures        []string // the figures that exceed their bound
	}{
		{name: "calm"},
		{name: "Thrift as slow as HTTP", through: func(i int, http, thrift *timedCall) { *thrift = *http }},
		{name: "each Thrift call 1 ms late", failures: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { thrift.took += ms }},
		{name: "Thrift a fifth slower than HTTP", failures: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { thrift.took = 200*us + (http.took-200*us)*12/10 }},
		{name: "every 50th Thrift call 5 ms late", failures: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took += 5 * ms
				}
			}},
		{name: "one stall of Thrift, over two calls in a hundred", failures: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i >= 500 && i < 520 {
					thrift.took += 40 * ms
				}
			}},
		{name: "every 50th Thrift call 5 ms late, 1 ms of it a wait for a core", failures: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took, thrift.waited = thrift.took+5*ms, ms
				}
			}},
		{name: "each Thrift call 1 ms late, and many calls of both wait for a core", failures: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) {
				thrift.took += ms
				if i%10 == 0 {
					for _, c := range []*timedCall{http, thrift} {
						c.took, c.waited = c.took+20*ms, 20*ms
					}
				}
			}},
		{name: "two Thrift calls in a hundred wait for a core",
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took, thrift.waited = thrift.took+6*ms, 6*ms
				}
			}},
		{name: "many direct calls wait for a core",
			direct: func(i int, http, thrift *timedCall) {
				if i%30 == 0 {
					http.took, http.waited = http.took+30*ms, 30*ms
				}
			}},
		{name: "a stall of unknown cause affects both",
			through: func(i int, http, thrift *timedCall) {
				if i >= 500 && i < 520 {
					http.took, thrift.took = http.took+40*ms, thrift.took+40*ms
				}
			}},
		{name: "more waiting counted than a call took",
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.waited = 10 * ms
				}
			}},
		{name: "HTTP's way through is no longer than the direct one", failures: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { http.took = 150 * us }},
	} {
		t.Run(c.name, func(t *testing.T) {
			const rounds, each = 150, 10 // of which the first 100 are undisturbed
			var direct, through []timedRound
			for j := range rounds {
				d, th := timedRound{took: 20 * ms}, timedRound{took: 20 * ms}
				for k := range each {
					i := j*each + k
					more := time.Duration(i%100) * us
					hd, td := timedCall{took: 200*us + more}, timedCall{took: 200*us + more}
					ht, tt := timedCall{took: 900*us + 4*more}, timedCall{took: 600*us + 3*more}
					if c.direct != nil {
						c.direct(i, &hd, &td)
					}
					if c.through != nil {
						c.through(i, &ht, &tt)
					}
					if j >= 100 { // disturbed rounds have delays of unknown cause for Thrift alone, and must not count
						tt.took += 30 * ms
						d.stolen, th.waited = 10*ms, 40*ms
					}
					d.calls[0], d.calls[1] = append(d.calls[0], hd), append(d.calls[1], td)
					th.calls[0], th.calls[1] = append(th.calls[0], ht), append(th.calls[1], tt)
				}
				direct, through = append(direct, d), append(through, th)
			}
			slices.Reverse(direct) // the order must not matter
			r := &Report{}
			judge(r, direct, through, 100)
			failures := strings.Join(r.Failures, "; ")
			for _, q := range []string{"p50", "p99_own"} {
				want := strings.Contains(strings.Join(c.failures, " "), q)
				if got := strings.Contains(failures, q+" is"); got != want {
					t.Errorf("%s exceeds its bound: %v, want %v: %s", q, got, want, r.Line())
				}
			}
		})
	}
}

// A call may go unserved only if the waits for a core account for all of its time.
func TestStarvedCalls(t *testing.T) {
	const within = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		call timedCall
		want bool
	}{
		"rejected at once":                                   {timedCall{took: time.Millisecond}, false},
		"rejected at once on a busy machine":                 {timedCall{took: 20 * time.Millisecond, waited: time.Second}, false},
		"the agent took its time":                            {timedCall{took: within}, false},
		"the agent took half of its time":                    {timedCall{took: within, waited: within / 2}, false},
		"the machine took its time":                          {timedCall{took: 1484 * time.Millisecond, waited: 2767 * time.Millisecond}, true},
		"answered at its timeout, the machine took its time": {timedCall{took: 1196 * time.Millisecond, waited: 1889 * time.Millisecond}, true},
		"ended before nine tenths of its time":               {timedCall{took: within * 8 / 10, waited: within}, false},
	} {
		if got := c.call.starved(within); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// The time that threads wait for a core is counted.
func TestRunQueue(t *testing.T) {
	var all sync.WaitGroup
	q := newRunQueue()
	defer q.close()
	pinned := func(f func()) { // runs f in a thread of its own, pinned to the first allowed core, that ends with f
		all.Go(func() {
			runtime.LockOSThread()
			var set, one unix.CPUSet
			if err := unix.SchedGetaffinity(0, &set); err != nil {
				t.Error(err)
				return
			}
			for cpu := range 1024 {
				if set.IsSet(cpu) {
					one.Set(cpu)
					break
				}
			}
			if err := unix.SchedSetaffinity(0, &one); err != nil {
				t.Error(err)
				return
			}
			f()
		})
	}
	const each = 40 * time.Millisecond
	var ready, ran sync.WaitGroup
	start, counted := make(chan struct{}), make(chan struct{})
	ready.Add(2)
	ran.Add(2)
	for range 2 {
		pinned(func() {
			ready.Done()
			<-start
			for end := threadCPU(t) + each; threadCPU(t) < end; { // uses the core for that long
			}
			ran.Done()
			<-counted // the wait of a thread that has ended can no longer be read
		})
	}
	ready.Wait()
	q.scanThreads()
	before := q.waited()
	close(start)
	ran.Wait()
	waited := q.waited() - before
	close(counted)
	all.Wait()
	// Each ran while the other was ready: together they waited for as long as the shorter ran, less one time
	// slice.
	if waited < each/2 {
		t.Errorf("two threads that each ran %v on one core waited %v for it", each, waited)
	}
}

// threadCPU returns the CPU time that the calling thread has used.
func threadCPU(t *testing.T) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Error(err)
	}
	return time.Duration(ts.Nano())
}
