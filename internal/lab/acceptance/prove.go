// Package acceptance holds the long-running acceptance tests, called proofs. Each runs the product on
// loopback with stand-ins for what surrounds it, measures at the stand-ins, and reports the figures and each
// bound that is exceeded. `ringtrack-lab prove NAME` runs them.
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

// Options configure a run of a proof.
type Options struct {
	Seed  uint64
	Scale float64 // of sizes and counts; 1 is the full proof
	// Defect seeds a known defect, which the proof has to detect.
	Defect bool
	Log    io.Writer // progress; nil for none
}

// scaled returns n multiplied by the scale, but no less than minimum.
func (o *Options) scaled(n, minimum int) int { return max(int(float64(n)*o.Scale), minimum) }

func (o *Options) rng() *rand.Rand { return rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)) }

func (o *Options) logf(format string, args ...any) {
	if o.Log != nil {
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// Report is the result of a proof.
type Report struct {
	Proof    string   `json:"proof"`
	Seed     uint64   `json:"seed"`
	Scale    float64  `json:"scale"`
	Figures  []Figure `json:"figures"`
	Failures []string `json:"short,omitempty"` // bounds exceeded and checks failed
}

// Figure is a measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit,omitempty"`
}

func (r *Report) add(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{name, value, unit})
}

// Value returns the value of a figure by its name, 0 if there is none.
func (r *Report) Value(name string) float64 {
	for _, f := range r.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return 0
}

func (r *Report) fail(format string, args ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}

// Line formats the report as one line.
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

// JSON formats the report as indented JSON.
func (r *Report) JSON() string {
	b, _ := json.MarshalIndent(r, "", " ")
	return string(b)
}

// Proof describes a proof.
type Proof struct {
	Name  string
	About string
	Quick float64 // the scale of --quick
	Run   func(context.Context, *Options) (*Report, error)
}

// All lists the proofs.
var All = []Proof{
	{"agreed", "5 replicas and 40 agents, a process each, under pauses, partitions, kills and lying disks: no two agents act on contradicting configurations", 0.15, Agreed},
	{"agreed-model", "model check of who may act on which version: every state of a small model, a million random walks of a larger one", 0.01, AgreedModel},
	{"agreed-size", "10, 300 and 3,000 lease holders on three replicas: time from publish to in force, CPU, and no burst of requests when the leader dies", 0.1, AgreedSize},
	{"agreed-histories", "200 histories of publishes and reads while replicas fail and one disk lies: the configuration store is linearizable as one register (Porcupine)", 0.05, Histories},
	{"keeper-kills", "1,000 kills and power cuts of replicas during publishes: the log opens, nothing acknowledged is lost", 0.02, ReplicaKills},
	{"keeper-slow-disk", "60 publishes while replicas' disks take 900 ms for each sync: the leader stays, as no replica is dead", 0.12, ReplicaSlowDisk},
	{"cold", "100 proxies, one server in slow start: the requests of all proxies together stay under its overload bound", 1, Cold},
	{"crowd", "1,000 proxies, 1,000 servers, one drain: time, bytes and CPU, compared with go-control-plane's snapshot cache", 0.2, Crowd},
	{"drains", "1,000 drains under steady requests and with updates in flight: no request begins later than 250 ms after its drain", 0.4, Drains},
	{"storm", "1,000 proxies lose the control service at once; it restarts without state: all are served again", 0.3, Storm},
	{"ephemeral", "1,000 nodes deleted: no request begins at their servers later than 250 ms after; servers that fail silently, with the registry and with discovery alone", 0.25, Ephemeral},
	{"ephemeral-control", "drains reported by the deletion of a node: proxies of the control service follow within 250 ms", 0.4, EphemeralControl},
	{"ephemeral-faults", "a random walk of registry faults, drains and restarts: the four rules hold", 0.4, EphemeralFaults},
	{"ephemeral-flap", "600 flaps of a node: full share where the server never restarted, never over the slow-start bound where it did", 0.15, Flap},
	{"ephemeral-size", "10,000 nodes and 1,000 watchers: time, bytes, memory and the cost of one change, compared with the go-zookeeper library", 0.3, EphemeralSize},
	{"flat", "2 million requests with changing ids, keys and backends: the heap stays flat", 0.2, Flat},
	{"latency", "latency that the agent adds to a call at 500 calls a second, Thrift compared with HTTP", 0.5, Latency},
	{"soak", "one agent's process ended repeatedly by series of signals, SIGKILL at the earliest, while clients use the connections that stay open: rules, resets, exits", 0.3, Soak},
	{"stall", "1,000 proxies of which one stops reading: the others are not delayed", 0.3, Stall},
	{"whole-fleet", "40 agents, a process each, restarted in tenths while servers fail and are replaced and clients misbehave: the four rules, exits, starts", 0.15, WholeFleet},
	{"unsolicited", "servers that send responses nobody asked for: none reaches a client, nothing that may have run is repeated or rejected", 0.3, Unsolicited},
	{"thrift-kill", "10,000 non-idempotent Thrift calls while servers' connections are reset: none runs twice, none is lost", 0.5, ThriftKill},
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

// unreachableEntries returns n entries of servers that do not exist.
func unreachableEntries(n int) []membership.Entry {
	out := make([]membership.Entry, n)
	for i := range out {
		out[i] = membership.Entry{ID: fmt.Sprintf("s-%05d", i), Addr: fmt.Sprintf("127.%d.%d.%d:8000", 1+i/62500, 1+i/250%250, 1+i%250),
			Zone: zones[i%len(zones)], Kind: "fast", State: membership.Up, Weight: 1}
	}
	return out
}

// percentile returns the p-quantile of a sorted list, 0 if it is empty.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
