package policy

import (
	"errors"
	"math"
	"testing"
)

func TestInvalidSettingsAreReportedByKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"classes":             func(s *Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *Settings) { s.Classes[0].LatencyObjectiveMs = math.NaN() },
		"classes[1].giveUpMs": func(s *Settings) { s.Classes[1].ClientTimeoutMs = -1 },
		"classes[0].effect":   func(s *Settings) { s.Classes[0].Effect = "maybe" },
		"classes[2].group":    func(s *Settings) { s.Classes[2].DedupScope = "moon" },
		"contract.coldMs":     func(s *Settings) { s.Contract.SlowStartMs = -5 },
		"membershipMode":      func(s *Settings) { s.DiscoveryMode = "" },
	} {
		s := testSettings()
		invalidate(&s)
		_, err := New(s, 1)
		var invalid *SettingError
		if !errors.As(err, &invalid) || invalid.Key != key {
			t.Errorf("invalid %s: error %v does not name it", key, err)
		}
	}
}
