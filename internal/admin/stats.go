package admin

import (
	"strconv"
	"strings"
)

// Stats holds the agent's metrics.
type Stats struct {
	Classes       []Class       // in the order of the settings
	Written       int64         // attempts completely written to backends
	Open          int64         // requests not yet answered
	Listed        int           // backends in the endpoint list
	Unavailable   int           // listed backends that get no requests
	Panics        int64         // panics that the process has recovered from
	Disagreements int64         // requests rejected as two readers of their head disagree
	Unserved      []RuleCount   // requests not served, by the rule that ended them
	Unsolicited   []PlaceCount  // bytes of backends that answer no request
	SharedConfig  *SharedConfig // nil: no shared configuration is used
}

// RuleCount counts the requests that one admission, queue or retry rule has ended.
type RuleCount struct {
	Rule  string
	Count int64
}

// PlaceCount counts how often unsolicited bytes of a backend were found at one place of a connection.
type PlaceCount struct {
	Place string
	Count int64
}

// Class counts the answers to requests of one class since the process started.
type Class struct {
	Name                     string
	Served, Rejected, Failed int64
}

// SharedConfig holds the metrics of the shared configuration.
type SharedConfig struct {
	Epoch       uint64 // 2n: version n; 2n+1: transition, what versions n and n+1 both permit
	LeaseMs     int64  // remaining time of the lease; 0: nothing is retried
	Strict      bool   // the strictest form of the settings applies
	Rejecting   bool   // requests are rejected, since the server rules have expired
	Expirations int64  // leases that have expired
	Renewals    int64  // calls to the configuration store
	Failed      int64  // of these, the calls that failed
	Relayed     int64  // calls that were relayed for peers
	NotAdopted  int64  // configurations that could not be applied
	Adopted     int64  // configurations that were applied
}

// String formats the metrics as text, one line "name=value" each. The names are part of the external
// interface.
func (s *Stats) String() string {
	var out strings.Builder
	for _, c := range s.Classes {
		writeMetric(&out, "fulfilled."+c.Name, c.Served)
		writeMetric(&out, "throttled."+c.Name, c.Rejected)
		writeMetric(&out, "faulted."+c.Name, c.Failed)
	}
	writeMetric(&out, "relayed", s.Written)
	writeMetric(&out, "open_requests", s.Open)
	writeMetric(&out, "registry_entries", int64(s.Listed))
	writeMetric(&out, "out_of_rotation", int64(s.Unavailable))
	writeMetric(&out, "recovered_panics", s.Panics)
	writeMetric(&out, "framing_disagreements", s.Disagreements)
	for _, r := range s.Unserved {
		writeMetric(&out, "unserved."+r.Rule, r.Count)
	}
	for _, u := range s.Unsolicited {
		writeMetric(&out, "unsolicited."+u.Place, u.Count)
	}
	if s.SharedConfig != nil {
		s.SharedConfig.write(&out)
	}
	return out.String()
}

func (c *SharedConfig) write(out *strings.Builder) {
	writeMetric(out, "agreed.stage", int64(c.Epoch))
	writeMetric(out, "agreed.lease_ms", c.LeaseMs)
	writeMetric(out, "agreed.strict", boolToInt(c.Strict))
	writeMetric(out, "agreed.shut", boolToInt(c.Rejecting))
	writeMetric(out, "agreed.lapses", c.Expirations)
	writeMetric(out, "agreed.asks", c.Renewals)
	writeMetric(out, "agreed.asks_failed", c.Failed)
	writeMetric(out, "agreed.asks_relayed", c.Relayed)
	writeMetric(out, "agreed.unable", c.NotAdopted)
	writeMetric(out, "agreed.taken_up", c.Adopted)
}

func writeMetric(out *strings.Builder, name string, value int64) {
	out.WriteString("app." + name + "=" + strconv.FormatInt(value, 10) + "\n")
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
