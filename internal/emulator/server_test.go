package emulator

import (
	"testing"
)

// Wrong load reports do not change what servers can do.
func TestWrongLoadReportsCauseNoViolations(t *testing.T) {
	for kind := range reportKinds {
		s := overloadScenario()
		s.Servers[0].Report = kind
		if r := play(t, s); r.Tenants[0] < 0.9 || len(r.Violations) > 0 {
			t.Errorf("reports %q: tenants %v, violations %v", kind, r.Tenants, r.Violations)
		}
	}
}
