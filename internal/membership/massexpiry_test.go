package membership

import (
	"fmt"
	"testing"
)

// If all nodes expire at once, all but a part keep their state until discovery says otherwise or the hold is over;
// servers that expired before stay expired.
func TestMergeMassExpiry(t *testing.T) {
	start := func() *mergeHarness {
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
	count := func(m *mergeHarness) (up int) {
		for _, e := range m.reported {
			if e.State == Up {
				up++
			}
		}
		return up
	}
	m := start()
	if n := count(m); n != 5 {
		t.Errorf("%d are up of 9 that expired at once", n)
	}
	m.wantState("s-0", Draining)
	m.wantState("s-1", Draining)
	m.updateDiscovery(false, endpoint("s-9", Draining), endpoint("s-8", Removed))
	m.wantState("s-9", Draining)
	m.wantState("s-8", "")
	m.advance(9000)
	if n := count(m); n != 3 {
		t.Errorf("%d are up before the hold is over", n)
	}
	m.advance(2000)
	if n := count(m); n != 0 {
		t.Errorf("%d are up after the hold", n)
	}
	m = start()
	for i := 1; i < 10; i++ { // the registry is back: nothing flapped
		m.createNode(fmt.Sprint("s-", i), int64(i), 0)
	}
	if n := count(m); n != 9 {
		t.Errorf("%d are up once all are back", n)
	}
	m.advance(20_000)
	if n := count(m); n != 9 {
		t.Errorf("%d are up after the hold, though all are back", n)
	}
}
