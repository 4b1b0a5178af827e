package sharedconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// EncodedBytes is at least the length of the JSON text, and not far from it for usual names.
func TestEncodedBytesBoundsTheJSONText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(1, 40, MaxNameBytes)
		config := &Config{
			Classes:      rapid.MapOfN(name, rapid.Just(Class{Effect: "repeatable", DedupScope: "everywhere", IdempotencyWindowMs: 3_599_999.123456789}), 0, 3).Draw(t, "classes"),
			Servers:      rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) Server { return Server{rapid.Float64Range(minWeight, maxWeight).Draw(t, "weight")} }), 0, 9).Draw(t, "servers"),
			Cordoned:     rapid.SliceOfN(name, 0, 4).Draw(t, "cordoned"),
			Agents:       rapid.SliceOfN(name, 0, 4).Draw(t, "agents"),
			MaxAttempts:  3,
			DrainGraceMs: 12345.678901234567, OverloadFactor: 99.99999999999999, Listed: true,
		}
		text, err := json.Marshal(config)
		if err != nil || len(text) > config.EncodedBytes() {
			t.Fatalf("%d bytes of at most %d, %v: %s", len(text), config.EncodedBytes(), err, text)
		}
	})
	usual := &Config{Servers: map[string]Server{}}
	for i := range 1000 {
		usual.Servers[fmt.Sprintf("orders-server-dc1-rack07-unit%04d", i)] = Server{Weight: 1.25}
	}
	if text, _ := json.Marshal(usual); usual.EncodedBytes() > 2*len(text) {
		t.Errorf("%d bytes are counted as %d", len(text), usual.EncodedBytes())
	}
}
