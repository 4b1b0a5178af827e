package emulator

import "fmt"

// Tenant is a customer with a portion of the service.
type Tenant struct {
	Name string `toml:"name"`
	// Portion is its part of the service, Asks its part of the load; both are relative.
	Portion float64 `toml:"portion"`
	Asks    float64 `toml:"asks"`
}

// The parts of a request's worth, where tenants have portions: what goes beyond a portion is worth overWorth of
// the usual, and all portions together are portionOfCapacity of what the servers can do.
const overWorth, portionOfCapacity = 0.1, 0.85

// meter counts what of a flow is within a rate: a bucket of one second.
type meter struct {
	perS   float64
	tokens float64
	at     Time
}

// within takes one and tells whether it is within the rate.
func (m *meter) within(now Time) bool {
	m.tokens = min(m.tokens+float64(now-m.at)/float64(Second)*m.perS, m.perS)
	m.at = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// purse is what a tenant asked for and was given, in worth: each by a meter of its own, so that it does not matter
// which of its requests are served within its portion.
type purse struct {
	asks, gets meter
	asked, won float64
}

func (p *purse) part() float64 {
	if p.asked == 0 {
		return 1
	}
	return min(p.won/p.asked, 1)
}

// worthOf is what a request earns by the meter.
func worthOf(m *meter, now Time, credit float64) float64 {
	if m.perS == 0 || m.within(now) {
		return credit
	}
	return credit * overWorth
}

// checkTenants fills what has a default and says what makes tenants unusable.
func (s *Scenario) checkTenants() error {
	for i := range s.Tenants {
		t := &s.Tenants[i]
		if t.Asks == 0 {
			t.Asks = t.Portion
		}
		if !(t.Portion > 0 && t.Portion <= 1) {
			return fmt.Errorf("tenant[%d].portion: must be above 0, to 1, is %v", i, t.Portion)
		}
		if !(t.Asks >= 0 && t.Asks <= 1000) {
			return fmt.Errorf("tenant[%d].asks: must be 0 to 1000, is %v", i, t.Asks)
		}
	}
	if len(s.Tenants) > maxTenants {
		return fmt.Errorf("tenant: %d, at most %d", len(s.Tenants), maxTenants)
	}
	return nil
}

const maxTenants = 1000

// purses are those of all tenants, and one for requests of none.
func (s *Scenario) purses() []purse {
	if len(s.Tenants) == 0 {
		return make([]purse, 1)
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Portion
	}
	out := make([]purse, len(s.Tenants))
	for i, t := range s.Tenants {
		perS := s.Capacity() * portionOfCapacity * t.Portion / total
		out[i].asks, out[i].gets = meter{perS: perS, tokens: perS}, meter{perS: perS, tokens: perS}
	}
	return out
}

// drawTenant is who asks, by x from 0 to 1.
func (s *Scenario) drawTenant(x float64) int {
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Asks
	}
	x *= total
	for i, t := range s.Tenants {
		if x -= t.Asks; x < 0 {
			return i
		}
	}
	return max(len(s.Tenants)-1, 0)
}
