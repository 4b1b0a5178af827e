package acceptance

import (
	"testing"
)

// A response that nobody asked for, on a new connection or behind another response, reaches no client, and
// nothing that may have run is repeated or rejected because of it.
func TestResponseToNoRequestIsNotTakenForAnAnswer(t *testing.T) {
	const parallel = 4 // agents at once
	busy := make(chan struct{}, parallel)
	for _, fault := range UnsolicitedFaults {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			busy <- struct{}{}
			defer func() { <-busy }()
			o := &Options{Seed: 1, Scale: 0.5, Log: t.Output()}
			r := &Report{Proof: t.Name(), Seed: o.Seed, Scale: o.Scale}
			if err := r.addUnsolicited(t.Context(), o, fault); err != nil {
				t.Fatal(err)
			}
			for _, failure := range r.Failures {
				t.Error(failure)
			}
		})
	}
}
