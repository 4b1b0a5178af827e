package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
	"ringtrack.example/ringtrack/policy"
)

// copied is a log's state as a snapshot carries it.
func copied(t *testing.T, b *history.History) (out history.History) {
	t.Helper()
	if err := json.Unmarshal([]byte(asText(t, b)), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func asText(t *testing.T, of any) string {
	t.Helper()
	text, err := json.Marshal(of)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestTermsAreThoseOfTheBook has entries and snapshots change the log's state, also snapshots of another log, which the
// keepers never have: what the cache gives is what the book says then, and the answer the text that the encoder makes.
func TestTermsAreThoseOfTheBook(t *testing.T) {
	kept, steps := 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var logs [3]history.History
		var c termsCache
		b := &logs[0]
		for i := range 60 {
			switch rng.IntN(7) {
			case 0, 1:
				book := &sharedconfig.Config{MaxAttempts: 1 + rng.IntN(2), Cordoned: []string{fmt.Sprintf("<%d&>", rng.IntN(2))}}
				b.Apply(&history.Command{Publish: &history.Publish{ID: fmt.Sprint(i), Parent: b.Last(), Config: book}})
			case 2:
				b.Apply(&history.Command{Cordon: &history.Cordon{ID: fmt.Sprint(i), Server: "a", On: rng.IntN(2) == 0}})
			case 3, 4:
				at := b.Epoch
				b.Apply(&history.Command{Advance: &at})
			case 5:
				b = &logs[rng.IntN(len(logs))]
				*b = copied(t, b)
			case 6: // another log that goes on from here
				logs[rng.IntN(len(logs))] = copied(t, b)
			}
			before, want := c.terms, b.Transition()
			got := c.of(b)
			if asText(t, got) != asText(t, want) {
				t.Fatalf("seed %d, step %d: the cache has %s, the book %s", seed, i, asText(t, got), asText(t, want))
			}
			if steps++; got != nil && got == before {
				kept++
			}
			g := lease.Grant{Epoch: b.Epoch, LeaseMs: []float64{600, 2000}[rng.IntN(2)], EndpointsMs: 0.5}
			text, err := c.answer(b, g)
			if err != nil || (text == nil) != (want == nil) {
				t.Fatalf("seed %d, step %d: at stage %d: %q, %v", seed, i, b.Epoch, text, err)
			}
			if want == nil {
				continue
			}
			var plain bytes.Buffer
			json.NewEncoder(&plain).Encode(&client.RenewResponse{Epoch: g.Epoch, LeaseMs: g.LeaseMs, EndpointsMs: g.EndpointsMs, Config: json.RawMessage(asText(t, want.Config))})
			if !bytes.Equal(text, plain.Bytes()) {
				t.Fatalf("seed %d, step %d: the answer is %s, the encoder's %s", seed, i, text, plain.Bytes())
			}
		}
	}
	if t.Logf("%d of %d times the same terms", kept, steps); kept < steps/4 {
		t.Errorf("%d of %d times the same terms: too few", kept, steps)
	}
}

// leading is a keeper that leads with n holders on the stage before the one in force, which is a step between versions
// of so many classes.
func leading(t *testing.T, n, classes int) (k *Replica, now float64) {
	k = &Replica{cfg: &Config{TickMs: 50, LeaseMs: 2000, EndpointsMs: 3000}, at: long}
	now = 1e6
	k.desk = lease.NewLessor(0, k.cfg.LeaseMs, k.cfg.EndpointsMs)
	for v := range uint64(2) {
		book := &sharedconfig.Config{MaxAttempts: int(v) + 1, Classes: map[string]sharedconfig.Class{}}
		for c := range classes {
			book.Classes[fmt.Sprint("class", c)] = sharedconfig.Class{Effect: policy.NonIdempotent}
		}
		if _, err := k.state.Book.Apply(&history.Command{Publish: &history.Publish{ID: fmt.Sprint(v), Parent: v, Config: book}}); err != nil {
			t.Fatal(err)
		}
		for k.state.Book.Epoch < 2*v+2-v {
			at := k.state.Book.Epoch
			k.state.Book.Apply(&history.Command{Advance: &at})
		}
	}
	if k.state.Book.Epoch != 3 {
		t.Fatalf("stage %d", k.state.Book.Epoch)
	}
	for i := range n {
		k.desk.Grant(now, lease.Request{Holder: lease.Holder{Name: fmt.Sprint(i), Incarnation: "a"}, Epoch: 2}, 2)
	}
	return k, now
}

// change has all holders but one ask for the stage in force, and say that they took it up, the loop's step behind each;
// it returns how many objects that made.
func change(t *testing.T, n int) float64 {
	k, now := leading(t, n, 82)
	asks := make([]*ask, n-1)
	for i := range asks {
		asks[i] = &ask{Request: lease.Request{Holder: lease.Holder{Name: fmt.Sprint(i), Incarnation: "a"}, Epoch: 2}, answer: make(chan granted, 1)}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, a := range asks {
		k.grant(now, a)
		k.advance(now)
		taken := a.Request
		taken.Epoch = 3
		k.desk.Observe(now, taken)
		k.advance(now)
	}
	runtime.ReadMemStats(&after)
	for _, a := range asks {
		if g := <-a.answer; g.err != nil || g.grant.Epoch != 3 {
			t.Fatalf("%+v", g)
		}
	}
	if k.proposed != 0 {
		t.Fatal("the stage was left before all had taken it up")
	}
	return float64(after.Mallocs - before.Mallocs)
}

// TestAnAskCostsTheSameAtAnySize counts the objects that the leader's loop makes over a change. Beyond the terms, which
// are made once, an ask makes the same few whatever the number of holders.
func TestAnAskCostsTheSameAtAnySize(t *testing.T) {
	first := change(t, 60)
	t.Logf("60 holders: %.0f objects", first)
	for _, n := range []int{120, 240, 470, 940} {
		made := change(t, n)
		each := (made - first) / float64(n-60)
		t.Logf("%d holders: %.0f objects, %.2f for an ask more", n, made, each)
		if each > 4 {
			t.Errorf("%d holders: an ask more made %.1f objects, 4 at the most", n, each)
		}
	}
}
