package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
)

// Fault is one thing that goes wrong, from At until At+For. Times are ms from the start of the schedule.
type Fault struct {
	AtMs       int    `json:"at"`
	DurationMs int    `json:"for"`
	Kind       string `json:"kind"`
	Target     string `json:"who"`
	Detail     string `json:"with,omitempty"`
}

// Plan is one run, whole: the same plan makes the same faults at the same times.
type Plan struct {
	Seed     uint64  `json:"seed"`
	Replicas int     `json:"keepers"`
	Agents   int     `json:"agents"`
	Servers  int     `json:"servers"`
	LeaseMs  float64 `json:"lease_ms"`
	RunMs    int     `json:"run_ms"`
	Versions int     `json:"versions"` // at the most
	PauseMs  int     `json:"pause_ms"` // between the requests of a client, about
	Defect   string  `json:"defect,omitempty"`
	Faults   []Fault `json:"faults"`
}

// The kinds of faults. Those of keepers that lose what they had acknowledged end with the keeper's replacement.
const (
	FaultKill        = "kill"    // SIGKILL, started again
	FaultTerminate   = "term"    // SIGTERM, started again
	FaultFreeze      = "freeze"  // SIGSTOP, SIGCONT
	FaultOneWay      = "one-way" // With: out or in, and a mode
	FaultBothWays    = "both-ways"
	FaultLateAnswer  = "tardy" // answers are held up, then both ways are cut just behind them
	FaultSlowDisk    = "slow-disk"
	FaultDiskError   = "disk-error"
	FaultDiskFull    = "disk-full"
	FaultPowerCut    = "power-cut" // what was not synced is gone
	FaultLyingDisk   = "lie"       // syncs lie, then a power cut; replaced
	FaultWipe        = "wipe"      // replaced
	FaultStaleData   = "back"      // the folder of the schedule's start; replaced
	FaultBitFlip     = "bit"       // With: the file; replaced, if it notices
	FaultRestartLoop = "loop"      // restarted ten times a second
	FaultKillAll     = "all"       // every keeper is killed at once
	FaultServer      = "server"    // With: a stand-in's mode
)

var (
	oneWays = []string{"out stall", "in stall", "out lose", "in lose", "out delay", "in delay", "in trickle", "out reset", "in reset"}
	modes   = map[string]Mode{"stall": Stall, "lose": Drop, "delay": Delay, "trickle": Trickle, "reset": Reset}
)

// DrawFaults draws a plan's faults from its seed. At the same time never more than a minority of the keepers loses what it
// had acknowledged, or has not been replaced yet; as many as there are may be away.
func (p *Plan) DrawFaults() {
	rng := rand.New(rand.NewPCG(p.Seed, 0xa9ee))
	p.Faults = nil
	add := func(f Fault) { p.Faults = append(p.Faults, f) }
	keeper := func() string { return fmt.Sprintf("k%d", 1+rng.IntN(p.Replicas)) }
	agent := func() string { return fmt.Sprintf("a%d", 1+rng.IntN(p.Agents)) }
	// One keeper after the other, so that most of the time a majority is there; agents all the time.
	for at := 400 + rng.IntN(600); at < p.RunMs-600; at += 1200 + rng.IntN(1200) {
		long := 200 + rng.IntN(1000)
		switch rng.IntN(6) {
		case 0:
			add(Fault{at, long / 2, FaultKill, keeper(), ""})
		case 1:
			add(Fault{at, long, FaultFreeze, keeper(), ""})
		case 2, 3:
			add(Fault{at, long, FaultOneWay, keeper(), oneWays[rng.IntN(len(oneWays))]})
		case 4:
			add(Fault{at, long, FaultBothWays, keeper(), ""})
		case 5:
			add(Fault{at, long, []string{FaultSlowDisk, FaultDiskError, FaultDiskFull, FaultPowerCut, FaultTerminate}[rng.IntN(5)], keeper(), ""})
		}
	}
	for at := 300 + rng.IntN(400); at < p.RunMs-600; at += 200 + rng.IntN(400) {
		long := 200 + rng.IntN(1500)
		switch rng.IntN(8) {
		case 0, 1:
			add(Fault{at, 100 + rng.IntN(2900), FaultFreeze, agent(), ""})
		case 2, 3:
			add(Fault{at, long, FaultOneWay, agent(), oneWays[rng.IntN(len(oneWays))]})
		case 4:
			add(Fault{at, long / 4, []string{FaultKill, FaultKill, FaultTerminate, FaultRestartLoop}[rng.IntN(4)], agent(), ""})
		case 5, 6:
			add(Fault{at, long, []string{FaultBothWays, FaultLateAnswer}[rng.IntN(2)], agent(), ""})
		case 7:
			add(Fault{at, 500 + rng.IntN(1500), FaultServer, fmt.Sprintf("s-%02d", rng.IntN(p.Servers)), []string{"failing", "breaking", "silent"}[rng.IntN(3)]})
		}
	}
	if p.RunMs >= 16_000 {
		// The hardest, one after the other, each with the time that the replacement takes.
		for i, kind := range []string{FaultWipe, FaultStaleData, FaultLyingDisk, FaultBitFlip, FaultKillAll} {
			add(Fault{p.RunMs * (i + 1) / 6, 300, kind, keeper(), []string{"log", "snapshot", "identity"}[rng.IntN(3)]})
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
}

// LoadPlan reads a plan that was written to be replayed.
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

// Save writes it.
func (p *Plan) Save(path string) error {
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Shrink takes faults out of a plan for as long as what is left still fails, tries runs at the most, and returns the
// smallest that did. Processes are not run in lockstep, so that a run may miss what another found.
func Shrink(p *Plan, tries int, fails func(*Plan) bool) *Plan {
	best := p
	for size := len(best.Faults) / 2; size > 0 && tries > 0; size /= 2 {
		for at := 0; at+size <= len(best.Faults) && tries > 0; tries-- {
			less := *best
			less.Faults = slices.Delete(slices.Clone(best.Faults), at, at+size)
			if fails(&less) {
				best = &less
			} else {
				at += size
			}
		}
	}
	return best
}
