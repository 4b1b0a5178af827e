package policy

import "fmt"

// Values of Settings.DiscoveryMode.
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"
)

// priorityByWork is the value of Settings.PriorityUnit with which priorities are not divided by the answer
// time of the class.
const priorityByWork = "work"

// SettingError reports an invalid setting.
type SettingError struct {
	Key    string // on the wire
	Reason string
}

func (e *SettingError) Error() string { return fmt.Sprintf("settings: %s: %s", e.Key, e.Reason) }

// validate returns a SettingError for the first invalid setting.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{Key: "classes", Reason: "none given"}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	if s.DiscoveryMode != discoveryPushed && s.DiscoveryMode != discoveryOnRequest {
		return &SettingError{Key: "membershipMode", Reason: fmt.Sprintf("unknown mode %q", s.DiscoveryMode)}
	}
	for _, setting := range []struct {
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
		if err := requireNonNegative(setting.key, setting.value); err != nil {
			return err
		}
	}
	return nil
}

// validate returns a SettingError for the first invalid setting of the class. key is the key of the class.
func (c *Class) validate(key string) error {
	if err := requirePositive(key+".aimMs", c.LatencyObjectiveMs); err != nil {
		return err
	}
	if err := requirePositive(key+".giveUpMs", c.ClientTimeoutMs); err != nil {
		return err
	}
	if err := requireNonNegative(key+".credit", c.PriorityWeight); err != nil {
		return err
	}
	switch c.Effect {
	case Idempotent, NonIdempotent:
		return nil
	case IdempotentByKey:
		if !c.DedupScope.known() {
			return &SettingError{Key: key + ".group", Reason: fmt.Sprintf("unknown group %q", c.DedupScope)}
		}
		return requireNonNegative(key+".keyTtlMs", c.IdempotencyWindowMs)
	}
	return &SettingError{Key: key + ".effect", Reason: fmt.Sprintf("unknown effect %q", c.Effect)}
}

// requirePositive returns a SettingError unless the value is above 0. NaN is invalid.
func requirePositive(key string, value float64) error {
	if value > 0 {
		return nil
	}
	return &SettingError{Key: key, Reason: fmt.Sprintf("must be above 0, is %v", value)}
}

// requireNonNegative returns a SettingError unless the value is 0 or above. NaN is invalid.
func requireNonNegative(key string, value float64) error {
	if value >= 0 {
		return nil
	}
	return &SettingError{Key: key, Reason: fmt.Sprintf("must not be negative, is %v", value)}
}
