package emulator

import "fmt"

// Tenant is a customer with a portion of the service.
type Tenant struct {
	Name string `toml:"name"`
	// Quota is its part of the service, Asks its part of the load; both are relative.
	Quota      float64 `toml:"portion"`
	LoadWeight float64 `toml:"asks"`
}

// The parts of a request's worth, where tenants have portions: what goes beyond a portion is worth overWorth of
// the usual, and all portions together are portionOfCapacity of what the servers can do.
const overQuotaWeight, quotaFractionOfCapacity = 0.1, 0.85

// tokenBucket counts what of a flow is within a rate: a bucket of one second.
type tokenBucket struct {
	perS       float64
	tokens     float64
	refilledAt Time
}

// allow takes one and tells whether it is within the rate.
func (m *tokenBucket) allow(now Time) bool {
	m.tokens = min(m.tokens+float64(now-m.refilledAt)/float64(Second)*m.perS, m.perS)
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// quotaAccount is what a tenant asked for and was given, in worth: each by a meter of its own, so that it does not matter
// which of its requests are served within its portion.
type quotaAccount struct {
	offered, granted            tokenBucket
	offeredWeight, servedWeight float64
}

func (p *quotaAccount) servedFraction() float64 {
	if p.offeredWeight == 0 {
		return 1
	}
	return min(p.servedWeight/p.offeredWeight, 1)
}

// weightUnderQuota is what a request earns by the meter.
func weightUnderQuota(m *tokenBucket, now Time, credit float64) float64 {
	if m.perS == 0 || m.allow(now) {
		return credit
	}
	return credit * overQuotaWeight
}

// checkTenants fills what has a default and says what makes tenants unusable.
func (s *Scenario) checkTenants() error {
	for i := range s.Tenants {
		t := &s.Tenants[i]
		if t.LoadWeight == 0 {
			t.LoadWeight = t.Quota
		}
		if !(t.Quota > 0 && t.Quota <= 1) {
			return fmt.Errorf("tenant[%d].portion: must be above 0, to 1, is %v", i, t.Quota)
		}
		if !(t.LoadWeight >= 0 && t.LoadWeight <= 1000) {
			return fmt.Errorf("tenant[%d].asks: must be 0 to 1000, is %v", i, t.LoadWeight)
		}
	}
	if len(s.Tenants) > maxTenants {
		return fmt.Errorf("tenant: %d, at most %d", len(s.Tenants), maxTenants)
	}
	return nil
}

const maxTenants = 1000

// quotaAccounts are those of all tenants, and one for requests of none.
func (s *Scenario) quotaAccounts() []quotaAccount {
	if len(s.Tenants) == 0 {
		return make([]quotaAccount, 1)
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Quota
	}
	out := make([]quotaAccount, len(s.Tenants))
	for i, t := range s.Tenants {
		perS := s.Capacity() * quotaFractionOfCapacity * t.Quota / total
		out[i].offered, out[i].granted = tokenBucket{perS: perS, tokens: perS}, tokenBucket{perS: perS, tokens: perS}
	}
	return out
}

// drawTenant is who asks, by x from 0 to 1.
func (s *Scenario) drawTenant(x float64) int {
	total := 0.0
	for _, t := range s.Tenants {
		total += t.LoadWeight
	}
	x *= total
	for i, t := range s.Tenants {
		if x -= t.LoadWeight; x < 0 {
			return i
		}
	}
	return max(len(s.Tenants)-1, 0)
}
