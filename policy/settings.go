package policy

import "fmt"

// Values of Settings.DiscoveryMode.
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"
)

// priorityByWork is the value of Settings.PriorityUnit for which a priority is not divided by the work of
// the request.
const priorityByWork = "work"

// validate reports the first setting that makes no sense, by its key.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case !(c.LatencyObjectiveMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("aimMs"), c.LatencyObjectiveMs)
		case !(c.ClientTimeoutMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("giveUpMs"), c.ClientTimeoutMs)
		case !(c.PriorityWeight >= 0):
			return fmt.Errorf("%s: must not be negative, is %v", at("credit"), c.PriorityWeight)
		case c.Effect != Idempotent && c.Effect != IdempotentByKey && c.Effect != NonIdempotent:
			return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Effect)
		case c.Effect == IdempotentByKey && !c.DedupScope.known():
			return fmt.Errorf("%s: unknown group %q", at("group"), c.DedupScope)
		case c.Effect == IdempotentByKey && !(c.IdempotencyWindowMs >= 0):
			return fmt.Errorf("%s: must not be negative, is %v", at("keyTtlMs"), c.IdempotencyWindowMs)
		}
	}
	if s.DiscoveryMode != discoveryPushed && s.DiscoveryMode != discoveryOnRequest {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.DiscoveryMode)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.PollIntervalMs},
		{"contract.coldFrom", s.Contract.SlowStartMinCapacity},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.OverloadFactor},
		{"contract.tipAfterMs", s.Contract.OverloadWindowMs},
		{"limits.maxAttempts", float64(s.Limits.MaxAttempts)},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"replicasOfMe", float64(s.Replicas)},
		{"roundMs", s.BatchIntervalMs},
	} {
		if !(f.value >= 0) {
			return fmt.Errorf("settings: %s: must not be negative, is %v", f.key, f.value)
		}
	}
	return nil
}
