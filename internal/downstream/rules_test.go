package downstream_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/world"
)

// rules is the table, in the order of the printed results.
var rules = slices.Concat(answerRules, retryRules, membershipRules, clientRules, thriftRules)

// TestRules tests every rule with every protocol and prints the results as a table.
func TestRules(t *testing.T) {
	protocols := world.Protocols()
	results := make([][]string, len(rules))
	var mu sync.Mutex
	t.Run("each", func(t *testing.T) {
		for i, r := range rules {
			results[i] = make([]string, len(protocols))
			for j, p := range protocols {
				if r.thrift && !p.Thrift() {
					results[i][j] = "-"
					continue
				}
				t.Run(p.Name+"/"+r.name, func(t *testing.T) {
					t.Parallel()
					defer func() {
						mu.Lock()
						defer mu.Unlock()
						results[i][j] = "ok"
						if t.Skipped() {
							results[i][j] = "skip"
						}
						if t.Failed() {
							results[i][j] = "FAIL"
						}
					}()
					options := r.opts
					options.Seed = 7
					attempt := func() (late, wrong error) {
						w, err := world.New(p, options)
						if err != nil {
							t.Fatal(err)
						}
						defer w.Close()
						if r.timed != nil {
							late, wrong = r.timed(w)
						} else {
							r.run(t, w)
						}
						errs := []error{wrong, w.Stop()}
						switch breaches, texts := w.Ledger.Violations(time.Now().Add(time.Hour)); {
						case r.timed != nil && w.Ledger.Totals.Late > 0 && len(breaches) == 1 && breaches[1] == w.Ledger.Totals.Late:
							late = errors.Join(late, fmt.Errorf("late: %q", texts))
						case len(breaches) > 0:
							errs = append(errs, fmt.Errorf("rules broken %v: %q", breaches, texts))
						}
						if w.Leaked() {
							errs = append(errs, errors.New("memory for bodies is not released"))
						}
						return late, errors.Join(errs...)
					}
					var late, wrong error
					if r.timed != nil {
						late, wrong = retryWhenHostStalled(attempt)
					} else {
						late, wrong = attempt()
					}
					if late != nil || wrong != nil {
						t.Error(late, wrong)
					}
				})
			}
		}
	})
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-56s", "rule")
	for _, p := range protocols {
		fmt.Fprintf(&b, " | %-19s", p.Name)
	}
	for i, r := range rules {
		fmt.Fprintf(&b, "\n%-56s", r.name)
		for _, s := range results[i] {
			fmt.Fprintf(&b, " | %-19s", s)
		}
	}
	t.Log(b.String())
}
