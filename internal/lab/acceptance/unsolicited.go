package acceptance

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/unsolicited"
)

const (
	unsolicitedServers  = 6
	unsolicitedClients  = 24
	unsolicitedRequests = 480 // of each fault, at full scale
	unsolicitedDeadline = 1200 * time.Millisecond
	// unsolicitedShare is the share of the connections or responses that have the fault.
	unsolicitedShare = 0.2
	// unsolicitedLatest is how late a response comes that is some milliseconds late, at most.
	unsolicitedLatest = 10 * time.Millisecond
	// unsolicitedQuiet is a quiet time in which connections carry several requests.
	unsolicitedQuiet = 250 * time.Millisecond
	// unsolicitedLeast is the least share of the requests that have to be served for a run to count.
	unsolicitedLeast = 0.5
)

// UnsolicitedFaults are the faults of the proof Unsolicited, each tested with an agent of its own.
var UnsolicitedFaults = []unsolicited.Fault{
	{Name: "none"},
	{Name: "rejection at accept", Moment: unsolicited.AfterAccept, Rejected: true, Share: unsolicitedShare},
	{Name: "closing rejection at accept", Moment: unsolicited.AfterAccept, Rejected: true, Closing: true, Share: unsolicitedShare},
	{Name: "response at accept", Moment: unsolicited.AfterAccept, Share: unsolicitedShare},
	{Name: "rejection 2 ms after accept", Moment: unsolicited.AfterAccept, Delay: 2 * time.Millisecond, Rejected: true, Share: unsolicitedShare},
	{Name: "rejection 20 ms after accept", Moment: unsolicited.AfterAccept, Delay: 20 * time.Millisecond, Rejected: true, Share: unsolicitedShare},
	{Name: "closing rejection 20 ms after accept", Moment: unsolicited.AfterAccept, Delay: 20 * time.Millisecond, Rejected: true, Closing: true, Share: unsolicitedShare},
	{Name: "response 20 ms after accept", Moment: unsolicited.AfterAccept, Delay: 20 * time.Millisecond, Share: unsolicitedShare},
	{Name: "second response after 5 ms", Moment: unsolicited.AfterResponse, Delay: 5 * time.Millisecond, Share: unsolicitedShare},
	{Name: "second response after 30 ms", Moment: unsolicited.AfterResponse, Delay: 30 * time.Millisecond, Share: unsolicitedShare},
	{Name: "second response after 80 ms", Moment: unsolicited.AfterResponse, Delay: 80 * time.Millisecond, Share: unsolicitedShare},
	{Name: "second response after 300 ms", Moment: unsolicited.AfterResponse, Delay: 300 * time.Millisecond, Share: unsolicitedShare},
	{Name: "rejection 80 ms after a response", Moment: unsolicited.AfterResponse, Delay: 80 * time.Millisecond, Rejected: true, Share: unsolicitedShare},
	{Name: "rejection 250 ms after a response", Moment: unsolicited.AfterResponse, Delay: 250 * time.Millisecond, Rejected: true, Share: unsolicitedShare},
	{Name: "second response after 4 ms following a quiet time", Moment: unsolicited.AfterResponse, Delay: 4 * time.Millisecond, Latest: unsolicitedLatest, Quiet: unsolicitedQuiet, Share: unsolicitedShare},
	{Name: "second response after 9 ms following a quiet time", Moment: unsolicited.AfterResponse, Delay: 9 * time.Millisecond, Latest: unsolicitedLatest, Quiet: unsolicitedQuiet, Share: unsolicitedShare},
	{Name: "rejection after 4 ms following a quiet time", Moment: unsolicited.AfterResponse, Delay: 4 * time.Millisecond, Latest: unsolicitedLatest, Quiet: unsolicitedQuiet, Rejected: true, Share: unsolicitedShare},
	{Name: "rejection after 9 ms following a quiet time", Moment: unsolicited.AfterResponse, Delay: 9 * time.Millisecond, Latest: unsolicitedLatest, Quiet: unsolicitedQuiet, Rejected: true, Share: unsolicitedShare},
	{Name: "rejection at accept of each connection", Moment: unsolicited.AfterAccept, Rejected: true, Share: 1},
	{Name: "response at accept of each connection", Moment: unsolicited.AfterAccept, Share: 1},
}

// Unsolicited runs an agent's process for each fault of UnsolicitedFaults, and checks that clients get only
// responses that were made for their requests, and that requests that may have run are neither repeated nor
// rejected. The seeded defect is servers that run what they reject.
func Unsolicited(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "unsolicited", Seed: o.Seed, Scale: o.Scale}
	faults := UnsolicitedFaults
	if o.Defect {
		faults = []unsolicited.Fault{{Name: "runs what it rejects", RunsRejected: true}}
	}
	for _, fault := range faults {
		if err := r.addUnsolicited(ctx, o, fault); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// addUnsolicited runs an agent with one fault and adds the result to the report.
func (r *Report) addUnsolicited(ctx context.Context, o *Options, fault unsolicited.Fault) error {
	violations, details, totals, err := runUnsolicited(ctx, o, fault)
	if err != nil {
		return err
	}
	o.logf("%s: %+v, %+v", fault.Name, totals, violations)
	r.add(fault.Name+": served", float64(totals.Served), "")
	r.add(fault.Name+": failed", float64(totals.Failed), "")
	if n := violations.Total(); n > 0 {
		r.fail("%s: %d violations, %+v: %s", fault.Name, n, violations, strings.Join(details, "; "))
	}
	if least := unsolicitedLeast * float64(totals.Requests); float64(totals.Served) < least && fault.Share < 1 {
		r.fail("%s: only %d of %d served", fault.Name, totals.Served, totals.Requests)
	}
	return nil
}

// runUnsolicited runs servers with a fault, an agent's process and its clients.
func runUnsolicited(
	ctx context.Context, o *Options, fault unsolicited.Fault,
) (violations unsolicited.Violations, details []string, totals unsolicited.Totals, err error) {
	record := unsolicited.NewRecord()
	f := &fleet{o: o, ledger: lab.NewLedger(lab.DefaultRules()), deadline: unsolicitedDeadline, endWithin: unsolicitedDeadline + killSlack}
	discovery, err := lab.NewDiscoveryService()
	if err != nil {
		return violations, nil, totals, err
	}
	defer discovery.Close()
	f.discoveries[0], f.discoveries[1] = discovery, discovery
	for i := range unsolicitedServers {
		s, err := unsolicited.NewServer(fmt.Sprintf("s-%02d", i), zones[i%2], fault, o.Seed*unsolicitedServers+uint64(i), record)
		if err != nil {
			return violations, nil, totals, err
		}
		defer s.Close()
		discovery.Set(s.Entry)
	}
	dir, err := os.MkdirTemp("", "unsolicited")
	if err != nil {
		return violations, nil, totals, err
	}
	defer os.RemoveAll(dir)
	addrs, err := freeAddrs(1)
	if err != nil {
		return violations, nil, totals, err
	}
	a := &fleetAgent{f: f, dir: filepath.Join(dir, "agent"), addr: addrs[0]}
	if err := os.Mkdir(a.dir, 0o700); err != nil {
		return violations, nil, totals, err
	}
	if err := a.start(ctx); err != nil {
		return violations, nil, totals, err
	}
	defer a.kill()
	load := unsolicited.Load{Agent: a.addr, Requests: o.scaled(unsolicitedRequests, 60), Clients: unsolicitedClients,
		Timeout: unsolicitedDeadline, UnsafeClass: "order", Keyed: "send"}
	load.Run(ctx, record)
	violations, details, totals = record.Results()
	if violations.Total() > 0 {
		a.kill() // after which its log is complete
		o.logf("%s: log of the agent:\n%s", fault.Name, a.cmd.Stderr)
	}
	return violations, details, totals, ctx.Err()
}
