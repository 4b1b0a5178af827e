package scale

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestDataPathDefect checks that a delay of 20 ms behind the agent is detected at each size and in the chain.
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
		t.Errorf("%d detections, want %d and no other bound exceeded: %v", found, want, r.Short)
	}
}

// The usage of a process grows, and reading that of a process that does not exist fails.
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
		t.Error("no error for a process that does not exist")
	}
}
