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

// Latency finds the other of its defects, too, which only the slowest calls show; TestProofs seeds the first.
func TestLatencyFindsATail(t *testing.T) {
	r, err := Latency(t.Context(), &Options{Seed: 2, Scale: 0.1, Defect: true})
	if err != nil {
		t.Fatal(err)
	}
	if t.Log(r.Line()); !strings.Contains(strings.Join(r.Failures, "; "), "p99_own") {
		t.Error("it is not found")
	}
}

// What is judged: each case changes calls that are otherwise alike in both protocols, Thrift's a little quicker.
func TestJudge(t *testing.T) {
	const us, ms = time.Microsecond, time.Millisecond
	type change func(i int, http, thrift *timedCall)
	for _, c := range []struct {
		name            string
		direct, through change
		short           []string // what it falls short of
	}{
		{name: "calm"},
		{name: "Thrift as slow as HTTP", through: func(i int, http, thrift *timedCall) { *thrift = *http }},
		{name: "each Thrift call 1 ms late", short: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { thrift.took += ms }},
		{name: "Thrift a fifth slower than HTTP", short: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { thrift.took = 200*us + (http.took-200*us)*12/10 }},
		{name: "every 50th Thrift call 5 ms late", short: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took += 5 * ms
				}
			}},
		{name: "Thrift stands once, for two calls in a hundred", short: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i >= 500 && i < 520 {
					thrift.took += 40 * ms
				}
			}},
		{name: "every 50th Thrift call 5 ms late, 1 ms of it the machine's", short: []string{"p99_own"},
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took, thrift.waited = thrift.took+5*ms, ms
				}
			}},
		{name: "each Thrift call 1 ms late, and the machine stands for many of all", short: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) {
				thrift.took += ms
				if i%10 == 0 {
					for _, c := range []*timedCall{http, thrift} {
						c.took, c.waited = c.took+20*ms, 20*ms
					}
				}
			}},
		{name: "the machine stands for two Thrift calls in a hundred",
			through: func(i int, http, thrift *timedCall) {
				if i%50 == 0 {
					thrift.took, thrift.waited = thrift.took+6*ms, 6*ms
				}
			}},
		{name: "the machine stands for many calls straight to a server",
			direct: func(i int, http, thrift *timedCall) {
				if i%30 == 0 {
					http.took, http.waited = http.took+30*ms, 30*ms
				}
			}},
		{name: "a whole stall that nobody accounts for falls on both",
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
		{name: "HTTP's way through is no longer than the direct one", short: []string{"p50", "p99_own"},
			through: func(i int, http, thrift *timedCall) { http.took = 150 * us }},
	} {
		t.Run(c.name, func(t *testing.T) {
			const turns, each = 150, 10 // of which the first 100 are calm
			var direct, through []timedTurn
			for j := range turns {
				d, th := timedTurn{took: 20 * ms}, timedTurn{took: 20 * ms}
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
					if j >= 100 { // what nobody accounts for falls on Thrift alone
						tt.took += 30 * ms
						d.stolen, th.waited = 10*ms, 40*ms
					}
					d.calls[0], d.calls[1] = append(d.calls[0], hd), append(d.calls[1], td)
					th.calls[0], th.calls[1] = append(th.calls[0], ht), append(th.calls[1], tt)
				}
				direct, through = append(direct, d), append(through, th)
			}
			slices.Reverse(direct) // the order is nothing
			r := &Report{}
			judge(r, direct, through, 100)
			short := strings.Join(r.Failures, "; ")
			for _, q := range []string{"p50", "p99_own"} {
				want := strings.Contains(strings.Join(c.short, " "), q)
				if got := strings.Contains(short, q+" is"); got != want {
					t.Errorf("%s falls short: %v, want %v: %s", q, got, want, r.Line())
				}
			}
		})
	}
}

// A call need not be served where the machine took all of its time, and only there.
func TestStarvedCalls(t *testing.T) {
	const within = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		call timedCall
		want bool
	}{
		"refused at once":                            {timedCall{took: time.Millisecond}, false},
		"refused at once on a late machine":          {timedCall{took: 20 * time.Millisecond, waited: time.Second}, false},
		"its time went to the agent":                 {timedCall{took: within}, false},
		"half of its time went to the agent":         {timedCall{took: within, waited: within / 2}, false},
		"its time went to the machine":               {timedCall{took: 1484 * time.Millisecond, waited: 2767 * time.Millisecond}, true},
		"answered at its end, the machine took it":   {timedCall{took: 1196 * time.Millisecond, waited: 1889 * time.Millisecond}, true},
		"a tenth of its time was left, and it ended": {timedCall{took: within * 8 / 10, waited: within}, false},
	} {
		if got := c.call.starved(within); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// What threads wait for a core is counted.
func TestRunQueue(t *testing.T) {
	var all sync.WaitGroup
	q := newRunQueue()
	defer q.close()
	on := func(f func()) { // in a thread of its own on the first core of those it may use, which ends with it
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
		on(func() {
			ready.Done()
			<-start
			for end := thread(t) + each; thread(t) < end; { // each runs that long, on one core
			}
			ran.Done()
			<-counted // a thread that has ended is not read any more
		})
	}
	ready.Wait()
	q.look()
	before := q.waited()
	close(start)
	ran.Wait()
	waited := q.waited() - before
	close(counted)
	all.Wait()
	// Either has run while the other was ready: both waited together for as long as the shorter took, less a slice.
	if waited < each/2 {
		t.Errorf("two threads that each ran %v on one core waited %v for it", each, waited)
	}
}

// thread is the processor time that this thread took.
func thread(t *testing.T) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Error(err)
	}
	return time.Duration(ts.Nano())
}
