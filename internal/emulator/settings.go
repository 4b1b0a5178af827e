package emulator

import "ringtrack.example/ringtrack/policy"

// connectTimeoutMs is the timeout of opening a connection.
const connectTimeoutMs = 150

// reportNames are the names of the values of a load report, in order.
var reportNames = [...]string{"qps", "util", "eps"}

// settings returns the balancer settings of one agent.
func (s *Scenario) settings(replicaIndex, zone int) policy.Settings {
	group := &s.Servers[0]
	out := policy.Settings{
		Contract: policy.Contract{
			AnswerSlackMs:        20,
			PollIntervalMs:       10_000,
			SlowStartMinCapacity: group.SlowStartMinCapacity,
			SlowStartMs:          group.SlowStartMs,
			DrainGraceMs:         250,
			OverloadFactor:       2.5,
			OverloadWindowMs:     1000,
		},
		Limits: policy.Limits{
			Cancelling:       true,
			ConnectTimeoutMs: connectTimeoutMs,
			KeepaliveMs:      60_000,
			MaxAttempts:      3,
			MaxRetryAfterMs:  600,
			RetryAfter:       true,
			MaxOpenRequests:  10_000,
		},
		Report:          policy.ReportFormat{Delivery: "inline", Names: reportNames[:]},
		DiscoveryMode:   "on_request",
		Replicas:        s.Agents,
		BatchIntervalMs: 5,
		Weights:         "nominal",
		PriorityUnit:    "request",
		ReplicaIndex:    replicaIndex,
		Zone:            zone,
		OverQuotaWeight: 1,
	}
	out.Objective.Total = 1
	out.ServerInfo.CacheKeys = group.KeyCache.SavedFraction > 0
	out.Prices.CrossZone = 0.02
	for i := range s.Classes {
		out.Classes = append(out.Classes, s.Classes[i].settings())
	}
	if len(s.Tenants) > 0 {
		out.Tenants = s.tenantSettings()
		out.OverQuotaWeight = overQuotaWeight
	}
	return out
}

func (c *ClassLoad) settings() policy.Class {
	out := policy.Class{
		Name:               c.Name,
		LatencyObjectiveMs: c.LatencyObjectiveMs,
		ClientTimeoutMs:    c.ClientTimeoutMs,
		PriorityWeight:     1,
		LateCredit:         0.2,
	}
	switch c.Effect {
	case effectSafe:
		out.Effect = policy.Idempotent
	case effectKeyed:
		out.Effect = policy.IdempotentByKey
		out.DedupScope = policy.ScopeAll
		out.IdempotencyWindowMs = 1200
		out.PriorityWeight = 2
	default:
		out.Effect = policy.NonIdempotent
		out.PriorityWeight = 5
	}
	if c.PriorityWeight > 0 {
		out.PriorityWeight = c.PriorityWeight
	}
	return out
}

func (s *Scenario) tenantSettings() []policy.Tenant {
	accounts := s.quotaAccounts()
	var out []policy.Tenant
	for i, t := range s.Tenants {
		out = append(out, policy.Tenant{Name: t.Name, QuotaWeight: t.Quota, QuotaPerS: accounts[i].offered.perS})
	}
	return out
}
