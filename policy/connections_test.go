package policy

import "testing"

// Each of a thousand agents would keep idle connections to many servers open. They are closed if their price
// is higher than that of the handshakes.
func TestIdleConnectionsAreClosedWhereKeepingThemCostsMore(t *testing.T) {
	for _, c := range []struct {
		agents          int
		open, handshake float64
		closes          bool
	}{{1000, 0.05, 0.05, true}, {10, 0.05, 0.05, false}, {1000, 0, 0, false}, {1000, 0, 0.05, false}} {
		set := testSettings()
		set.Replicas, set.Prices.Connection, set.Prices.Handshake = c.agents, c.open, c.handshake
		r := newHarness(t, set, 8)
		closed := 0
		for range 200 {
			r.now += 50
			id, s := r.mustForward(0, r.b.rng.Uint64())
			if a := findAction(r.endAttempt(id, 0, s, OK, 20), ActionCloseIdle); a != nil && a.Server == s {
				closed++
			}
		}
		if c.closes && closed < 150 || !c.closes && closed > 20 {
			t.Errorf("%+v: closed %d times of 200", c, closed)
		}
	}
}
