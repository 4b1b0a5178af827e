package emulator

import "fmt"

const (
	maxTenants    = 1000
	maxLoadWeight = 1000
	// overQuotaWeight is the factor on the priority weight of requests that exceed their tenant's quota.
	overQuotaWeight = 0.1
	// quotaFractionOfCapacity is the sum of all quotas as a fraction of the servers' capacity.
	quotaFractionOfCapacity = 0.85
)

// Tenant is a customer with a quota of the service.
type Tenant struct {
	Name string `toml:"name"`
	// Quota and LoadWeight are relative to those of the other tenants: LoadWeight is the tenant's share of
	// the load.
	Quota      float64 `toml:"portion"`
	LoadWeight float64 `toml:"asks"` // 0: same as Quota
}

// tokenBucket decides which events are within a rate; its size is the tokens of one second.
type tokenBucket struct {
	perS       float64
	tokens     float64
	refilledAt Time
}

func newTokenBucket(perS float64) tokenBucket {
	return tokenBucket{perS: perS, tokens: perS}
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(now Time) bool {
	b.tokens = min(b.tokens+float64(now-b.refilledAt)/float64(Second)*b.perS, b.perS)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// weigh returns a priority weight, reduced if the request exceeds the rate. Rate 0 is no limit.
func (b *tokenBucket) weigh(now Time, weight float64) float64 {
	if b.perS == 0 || b.allow(now) {
		return weight
	}
	return weight * overQuotaWeight
}

// quotaAccount sums the priority weight of a tenant's requests. Offered and served requests have separate
// buckets, so that the result does not depend on which of the requests are served.
type quotaAccount struct {
	offered       tokenBucket
	served        tokenBucket
	offeredWeight float64
	servedWeight  float64
}

func (a *quotaAccount) offer(now Time, weight float64) {
	a.offeredWeight += a.offered.weigh(now, weight)
}

func (a *quotaAccount) serve(now Time, weight float64) {
	a.servedWeight += a.served.weigh(now, weight)
}

func (a *quotaAccount) servedFraction() float64 {
	if a.offeredWeight == 0 {
		return 1
	}
	return min(a.servedWeight/a.offeredWeight, 1)
}

// checkTenants sets defaults and returns an error that names the first invalid key.
func (s *Scenario) checkTenants() error {
	for i := range s.Tenants {
		t := &s.Tenants[i]
		if t.LoadWeight == 0 {
			t.LoadWeight = t.Quota
		}
		if !(t.Quota > 0 && t.Quota <= 1) {
			return fmt.Errorf("tenant[%d].portion: must be above 0 and at most 1, is %v", i, t.Quota)
		}
		if !(t.LoadWeight >= 0 && t.LoadWeight <= maxLoadWeight) {
			return fmt.Errorf("tenant[%d].asks: must be from 0 to %d, is %v", i, maxLoadWeight, t.LoadWeight)
		}
	}
	if len(s.Tenants) > maxTenants {
		return fmt.Errorf("tenant: %d tenants, at most %d are supported", len(s.Tenants), maxTenants)
	}
	return nil
}

// quotaAccounts returns an account for each tenant, or one account without a quota if there are no tenants.
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
		out[i].offered = newTokenBucket(perS)
		out[i].served = newTokenBucket(perS)
	}
	return out
}

// drawTenant returns the tenant that a random number from 0 to 1 selects.
func (s *Scenario) drawTenant(x float64) int {
	total := 0.0
	for _, t := range s.Tenants {
		total += t.LoadWeight
	}
	x *= total
	for i, t := range s.Tenants {
		x -= t.LoadWeight
		if x < 0 {
			return i
		}
	}
	return max(len(s.Tenants)-1, 0)
}
