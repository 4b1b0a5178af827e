package emulator

import (
	"testing"
)

// Missing, late or wrong load reports cause no violations, and a tenant within its quota is still served.
func TestWrongLoadReportsCauseNoViolations(t *testing.T) {
	for kind := range reportKinds {
		s := overloadScenario()
		s.Servers[0].Report = kind
		if r := runProduct(t, s); r.Tenants[0] < 0.9 || len(r.Violations) > 0 {
			t.Errorf("reports %q: tenants %v, violations %v", kind, r.Tenants, r.Violations)
		}
	}
}
