package scale

import (
	"os"
	"strings"
	"testing"
	"time"
)

// An agent that takes 20 ms too long is found, at each size and in the chain.
func TestDataPathDefect(t *testing.T) {
	o := &Options{Seed: 1, Scale: dataPathTest.Smallest, Defect: true}
	r, err := dataPathTest.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	found := 0
	for _, s := range r.Short {
		if strings.Contains(s, "the agent's fastest calls") {
			found++
		}
	}
	if want := len(o.backendCounts()) + 1; found != want || len(r.Short) != want {
		t.Errorf("%d found, want %d and nothing else: %v", found, want, r.Short)
	}
}

// What a process has used is told, and grows.
func TestUsage(t *testing.T) {
	before, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Millisecond)
	for time.Now().Before(deadline) {
		os.ReadFile("/proc/self/status")
	}
	after, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if used := after.since(before); used.CPU <= 0 || used.Bytes <= 0 || used.RSS <= 0 {
		t.Errorf("%+v", used)
	}
	if _, err := readUsage(-1); err == nil {
		t.Error("a process that is none")
	}
}
