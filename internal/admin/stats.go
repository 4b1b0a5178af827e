package admin

import (
	"strconv"
	"strings"
)

// Stats are the agent's figures for operators.
type Stats struct {
	Classes      []Class       // in the order of the settings
	Written      int64         // attempts completely written to backends
	Open         int64         // requests without an answer
	Listed       int           // backends in the endpoint list
	Unavailable  int           // those of them that get no requests
	Panics       int64         // that the process has recovered from
	Unserved     []RuleCount   // requests not served, by the rule that ended them
	SharedConfig *SharedConfig // nil: there is no shared configuration
}

// RuleCount counts the requests that one rule of admission, queue or retry has ended.
type RuleCount struct {
	Rule  string
	Count int64
}

// Class counts the answers to the requests of one class since the start of the process.
type Class struct {
	Name                     string
	Served, Rejected, Failed int64
}

// SharedConfig is the agent's state of the shared configuration.
type SharedConfig struct {
	Epoch       uint64 // 2n: version n is in force; 2n+1: what versions n and n+1 both permit
	LeaseMs     int64  // for how long its lease holds; 0: nothing is retried
	Strict      bool   // it acts by the strictest form of its settings
	Rejecting   bool   // it rejects requests
	Expirations int64  // of leases
	Renewals    int64  // calls to the configuration store
	Failed      int64  // those of them that failed
	Relayed     int64  // calls of peers that it relayed
	NotAdopted  int64  // configurations that it could not apply
	Adopted     int64  // configurations that it has applied
}

// String returns the figures as text, a line "name=value" for each. The names are an interface to the outside.
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
	for _, r := range s.Unserved {
		writeMetric(&out, "unserved."+r.Rule, r.Count)
	}
	if s.SharedConfig != nil {
		s.SharedConfig.write(&out)
	}
	return out.String()
}

func (c *SharedConfig) write(out *strings.Builder) {
	writeMetric(out, "agreed.stage", int64(c.Epoch))
	writeMetric(out, "agreed.lease_ms", c.LeaseMs)
	writeMetric(out, "agreed.strict", oneIf(c.Strict))
	writeMetric(out, "agreed.shut", oneIf(c.Rejecting))
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

func oneIf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
