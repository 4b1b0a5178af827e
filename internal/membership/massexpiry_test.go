package membership

import (
	"fmt"
	"testing"
)

// If all nodes expire at once, those that expire after the limit is reached keep their state until discovery
// reports another one or the hold ends; servers that expired earlier stay expired.
func TestMergeMassExpiry(t *testing.T) {
	expireAll := func() *mergeHarness {
		m := newMergeHarness(t, nil)
		var all []Entry
		for i := range 10 {
			all = append(all, endpoint(fmt.Sprint("s-", i), Up))
		}
		m.updateDiscovery(true, all...)
		for i := range 10 {
			m.createNode(fmt.Sprint("s-", i), int64(i), 0)
		}
		m.expireNode("s-0")
		m.advance(5000)
		for i := 1; i < 10; i++ {
			m.expireNode(fmt.Sprint("s-", i))
		}
		return m
	}
	countUp := func(m *mergeHarness) (up int) {
		for _, e := range m.reported {
			if e.State == Up {
				up++
			}
		}
		return up
	}
	m := expireAll()
	if n := countUp(m); n != 5 {
		t.Errorf("%d are up of 9 that expired at once", n)
	}
	m.wantState("s-0", Draining)
	m.wantState("s-1", Draining)
	m.updateDiscovery(false, endpoint("s-9", Draining), endpoint("s-8", Removed))
	m.wantState("s-9", Draining)
	m.wantState("s-8", "")
	m.advance(9000)
	if n := countUp(m); n != 3 {
		t.Errorf("%d are up before the hold is over", n)
	}
	m.advance(2000)
	if n := countUp(m); n != 0 {
		t.Errorf("%d are up after the hold", n)
	}
	m = expireAll()
	for i := 1; i < 10; i++ { // the registry is back; first returns are not delayed
		m.createNode(fmt.Sprint("s-", i), int64(i), 0)
	}
	if n := countUp(m); n != 9 {
		t.Errorf("%d are up once all are back", n)
	}
	m.advance(20_000)
	if n := countUp(m); n != 9 {
		t.Errorf("%d are up after the hold, though all are back", n)
	}
}
