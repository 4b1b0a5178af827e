package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
)

// FaultKind names a kind of fault in a plan.
type FaultKind string

// The kinds of faults. After a fault in which a replica loses acknowledged data, the replica is replaced.
const (
	FaultKill        FaultKind = "kill"    // SIGKILL, then a restart
	FaultTerminate   FaultKind = "term"    // SIGTERM, then a restart
	FaultFreeze      FaultKind = "freeze"  // SIGSTOP, then SIGCONT
	FaultOneWay      FaultKind = "one-way" // Detail: the direction, out or in, and a mode
	FaultBothWays    FaultKind = "both-ways"
	FaultLateAnswer  FaultKind = "tardy" // answers are delayed; as soon as they arrive, both directions stall
	FaultSlowDisk    FaultKind = "slow-disk"
	FaultDiskError   FaultKind = "disk-error"
	FaultDiskFull    FaultKind = "disk-full"
	FaultPowerCut    FaultKind = "power-cut" // unsynced writes are lost
	FaultLyingDisk   FaultKind = "lie"       // syncs have no effect, then a power cut; replaced
	FaultWipe        FaultKind = "wipe"      // the data directory is emptied; replaced
	FaultStaleData   FaultKind = "back"      // the data directory as at the start; replaced
	FaultBitFlip     FaultKind = "bit"       // a bit flips in a file, Detail; replaced
	FaultRestartLoop FaultKind = "loop"      // a restart every restartLoopInterval
	FaultKillAll     FaultKind = "all"       // SIGKILL to all replicas, then a restart
	FaultServer      FaultKind = "server"    // Detail: the mode of a test server
)

// Fault is one fault. Times are in ms, from the start of the schedule.
type Fault struct {
	AtMs       int       `json:"at"`
	DurationMs int       `json:"for"`
	Kind       FaultKind `json:"kind"`
	Target     string    `json:"who"`
	Detail     string    `json:"with,omitempty"`
}

// Plan describes one run: runs of the same plan inject the same faults at the same times.
type Plan struct {
	Seed     uint64  `json:"seed"`
	Replicas int     `json:"keepers"`
	Agents   int     `json:"agents"`
	Servers  int     `json:"servers"`
	LeaseMs  float64 `json:"lease_ms"`
	RunMs    int     `json:"run_ms"`
	Versions int     `json:"versions"` // upper bound
	PauseMs  int     `json:"pause_ms"` // between the requests of a client, on average
	Defect   string  `json:"defect,omitempty"`
	Faults   []Fault `json:"faults"`
}

const (
	// planSeedStream is the second word of the generator's seed, by which it differs from the other
	// generators of a run.
	planSeedStream = 0xa9ee
	// faultFreeEndMs is the time before the end of a run in which no fault begins.
	faultFreeEndMs = 600
	// minDataLossRunMs is the shortest run for which faults that lose data are drawn, as replacing a replica
	// takes seconds.
	minDataLossRunMs = 16_000
)

var (
	oneWayDetails = []string{
		"out stall", "in stall", "out lose", "in lose", "out delay", "in delay", "in trickle", "out reset", "in reset",
	}
	modesByName = map[string]Mode{
		"stall":   Stall,
		"lose":    Drop,
		"delay":   Delay,
		"trickle": Trickle,
		"reset":   Reset,
	}
	replicaDiskFaults = []FaultKind{FaultSlowDisk, FaultDiskError, FaultDiskFull, FaultPowerCut, FaultTerminate}
	agentRestarts     = []FaultKind{FaultKill, FaultKill, FaultTerminate, FaultRestartLoop}
	agentPartitions   = []FaultKind{FaultBothWays, FaultLateAnswer}
	dataLossFaults    = []FaultKind{FaultWipe, FaultStaleData, FaultLyingDisk, FaultBitFlip, FaultKillAll}
	dataFiles         = []string{"log", "snapshot", "identity"}
	serverFaults      = []string{"failing", "breaking", "silent"}
)

// DrawFaults draws the faults of a plan from its seed. At any time only a minority of the replicas has lost
// acknowledged data without having been replaced since; any number of replicas may be unreachable at once.
func (p *Plan) DrawFaults() {
	d := &faultDrawer{Plan: p, rng: rand.New(rand.NewPCG(p.Seed, planSeedStream))}
	p.Faults = nil
	d.replicaFaults()
	d.agentFaults()
	if p.RunMs >= minDataLossRunMs {
		d.dataLoss()
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
}

// faultDrawer adds random faults to a plan. The order of the draws determines the plan.
type faultDrawer struct {
	*Plan
	rng *rand.Rand
}

func (d *faultDrawer) add(f Fault) { d.Faults = append(d.Faults, f) }

func (d *faultDrawer) replica() string { return replicaName(d.rng.IntN(d.Replicas)) }

func (d *faultDrawer) agent() string { return agentName(d.rng.IntN(d.Agents)) }

func (d *faultDrawer) server() string { return serverName(d.rng.IntN(d.Servers)) }

// pick returns a random element of a list.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// replicaFaults adds faults of one replica after another, so that a majority works most of the time.
func (d *faultDrawer) replicaFaults() {
	rng := d.rng
	for at := 400 + rng.IntN(600); at < d.RunMs-faultFreeEndMs; at += 1200 + rng.IntN(1200) {
		duration := 200 + rng.IntN(1000)
		switch rng.IntN(6) {
		case 0:
			d.add(Fault{at, duration / 2, FaultKill, d.replica(), ""})
		case 1:
			d.add(Fault{at, duration, FaultFreeze, d.replica(), ""})
		case 2, 3:
			d.add(Fault{at, duration, FaultOneWay, d.replica(), pick(rng, oneWayDetails)})
		case 4:
			d.add(Fault{at, duration, FaultBothWays, d.replica(), ""})
		case 5:
			d.add(Fault{at, duration, pick(rng, replicaDiskFaults), d.replica(), ""})
		}
	}
}

// agentFaults adds faults of agents and servers, which may overlap.
func (d *faultDrawer) agentFaults() {
	rng := d.rng
	for at := 300 + rng.IntN(400); at < d.RunMs-faultFreeEndMs; at += 200 + rng.IntN(400) {
		duration := 200 + rng.IntN(1500)
		switch rng.IntN(8) {
		case 0, 1:
			d.add(Fault{at, 100 + rng.IntN(2900), FaultFreeze, d.agent(), ""})
		case 2, 3:
			d.add(Fault{at, duration, FaultOneWay, d.agent(), pick(rng, oneWayDetails)})
		case 4:
			d.add(Fault{at, duration / 4, pick(rng, agentRestarts), d.agent(), ""})
		case 5, 6:
			d.add(Fault{at, duration, pick(rng, agentPartitions), d.agent(), ""})
		case 7:
			d.add(Fault{at, 500 + rng.IntN(1500), FaultServer, d.server(), pick(rng, serverFaults)})
		}
	}
}

// dataLoss adds each of dataLossFaults once, far enough apart for the replacement of a replica.
func (d *faultDrawer) dataLoss() {
	const faultDurationMs = 300
	for i, kind := range dataLossFaults {
		at := d.RunMs * (i + 1) / (len(dataLossFaults) + 1)
		d.add(Fault{at, faultDurationMs, kind, d.replica(), pick(d.rng, dataFiles)})
	}
}

// LoadPlan reads a plan that Save wrote.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	return p, nil
}

// Save writes a plan to a file.
func (p *Plan) Save(path string) error {
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Shrink removes faults from a plan as long as the remaining ones still fail, in at most maxRuns runs, and
// returns the smallest plan that failed. As processes do not run in lockstep, a run may pass although the
// same plan failed before.
func Shrink(p *Plan, maxRuns int, fails func(*Plan) bool) *Plan {
	smallest := p
	for size := len(smallest.Faults) / 2; size > 0 && maxRuns > 0; size /= 2 {
		for at := 0; at+size <= len(smallest.Faults) && maxRuns > 0; maxRuns-- {
			candidate := *smallest
			candidate.Faults = slices.Delete(slices.Clone(smallest.Faults), at, at+size)
			if fails(&candidate) {
				smallest = &candidate
			} else {
				at += size
			}
		}
	}
	return smallest
}
