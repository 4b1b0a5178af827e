// Package acceptance holds the long proofs: each runs the product on loopback beside stand-ins, counts at
// the stand-ins, and says by how much it holds. `ringtrack-lab prove NAME` runs them.
package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// Options say how a proof is run.
type Options struct {
	Seed  uint64
	Scale float64 // of sizes and counts; 1 is the whole proof
	// Defect seeds the one defect of the lab that the proof is to find.
	Defect bool
	Log    io.Writer // progress; nil: none
}

// scaled is n at the scale, and least at the least.
func (o *Options) scaled(n, least int) int { return max(int(float64(n)*o.Scale), least) }

func (o *Options) rng() *rand.Rand { return rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)) }

func (o *Options) logf(format string, args ...any) {
	if o.Log != nil {
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// Report is what a proof found.
type Report struct {
	Proof    string   `json:"proof"`
	Seed     uint64   `json:"seed"`
	Scale    float64  `json:"scale"`
	Figures  []Figure `json:"figures"`
	Failures []string `json:"short,omitempty"` // what fell short of its bound
}

// Figure is one thing measured.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit,omitempty"`
}

func (r *Report) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{name, value, unit})
}

// Value returns a figure by name, 0 where there is none.
func (r *Report) Value(name string) float64 {
	for _, f := range r.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return 0
}

func (r *Report) short(format string, args ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}

// Line is the report on one line.
func (r *Report) Line() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: seed %d scale %g:", r.Proof, r.Seed, r.Scale)
	for _, f := range r.Figures {
		fmt.Fprintf(&b, " %s %.4g%s;", f.Name, f.Value, f.Unit)
	}
	if len(r.Failures) == 0 {
		b.WriteString(" holds")
	} else {
		b.WriteString(" FALLS SHORT: " + strings.Join(r.Failures, "; "))
	}
	return b.String()
}

// JSON is the report as text.
func (r *Report) JSON() string {
	b, _ := json.MarshalIndent(r, "", " ")
	return string(b)
}

// Proof is one proof.
type Proof struct {
	Name  string
	About string
	Quick float64 // the scale of --quick
	Run   func(context.Context, *Options) (*Report, error)
}

// All are the proofs, by name.
var All = []Proof{
	{"agreed", "5 keepers and 40 agents, a process each, under stops, cuts, kills and lying disks: none acts on rules that contradict another's", 0.15, Agreed},
	{"agreed-model", "who may act on which version: every state of a small world, a million random walks of a larger one", 0.01, AgreedModel},
	{"agreed-size", "10, 300 and 3,000 holders at three keepers: time from a publish to in force, CPU, and no storm as the leader dies", 0.1, AgreedSize},
	{"agreed-histories", "200 histories of publishes and reads while keepers fail and one disk lies: the book is one register (Porcupine)", 0.05, Histories},
	{"keeper-kills", "1,000 kills and power cuts of keepers under publishing: the log opens, nothing acknowledged is lost", 0.02, ReplicaKills},
	{"keeper-slow-disk", "60 publishes while disks of keepers take 900 ms for each sync: the leader stays, as nobody is dead", 0.12, ReplicaSlowDisk},
	{"cold", "100 proxies, one cold server: what all send it stays under its fall budget", 1, Cold},
	{"crowd", "1,000 proxies, 1,000 servers, one drain: time, bytes and CPU, beside go-control-plane's snapshot cache", 0.2, Crowd},
	{"drains", "1,000 drains under steady requests and with pushes in flight: nothing new later than 250 ms", 0.4, Drains},
	{"storm", "1,000 proxies lose the service at once; it comes back empty: all are served again", 0.3, Storm},
	{"ephemeral", "1,000 nodes deleted: nothing new later than 250 ms; servers that die, told by the registry and by the roster alone", 0.25, Ephemeral},
	{"ephemeral-control", "drains, told by the end of a node: proxies of the control service follow within 250 ms", 0.4, EphemeralControl},
	{"ephemeral-faults", "a random walk of faults on the registry, of drains and of restarts: the four rules hold", 0.4, EphemeralFaults},
	{"ephemeral-flap", "600 flaps of a node: warm where it never restarted, never over the cold budget where it did", 0.15, Flap},
	{"ephemeral-size", "10,000 nodes and 1,000 watchers: time, bytes, memory and what one change costs, beside the go-zookeeper library", 0.3, EphemeralSize},
	{"flat", "2 million requests with ids, keys and backends that change: the heap stays flat", 0.2, Flat},
	{"latency", "what the agent adds to a call at 500 calls a second, Thrift beside HTTP", 0.5, Latency},
	{"soak", "one agent's process ended again and again by series of signals, SIGKILL at the earliest, while clients use what stays open: rules, resets, exits", 0.3, Soak},
	{"stall", "1,000 proxies of which one reads nothing: the others notice nothing", 0.3, Stall},
	{"whole-fleet", "40 agents, a process each, restarted by tenths among failing and replaced servers and rude clients: the four rules, exits, starts", 0.15, WholeFleet},
	{"thrift-kill", "10,000 unsafe Thrift calls while servers' connections are reset: none runs twice, none is lost", 0.5, ThriftKill},
}

// Find returns a proof by name.
func Find(name string) (Proof, bool) {
	i := slices.IndexFunc(All, func(p Proof) bool { return p.Name == name })
	if i < 0 {
		return Proof{}, false
	}
	return All[i], true
}

var zones = []string{"east", "west", "south"}

// paper are entries of servers that nobody reaches.
func paper(n int) []membership.Entry {
	out := make([]membership.Entry, n)
	for i := range out {
		out[i] = membership.Entry{ID: fmt.Sprintf("s-%05d", i), Addr: fmt.Sprintf("127.%d.%d.%d:8000", 1+i/62500, 1+i/250%250, 1+i%250),
			Zone: zones[i%len(zones)], Kind: "fast", State: membership.Up, Weight: 1}
	}
	return out
}

// percentile of a sorted list.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
