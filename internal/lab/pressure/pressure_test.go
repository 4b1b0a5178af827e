package pressure

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	_ "ringtrack.example/ringtrack/internal/agent" // a cached result of these tests ends with a change of the program
)

// program is the path of the agent's program, which is built without the race detector: that would multiply its memory.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pressure")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "ringtrack")
	build := exec.Command("go", "build", "-race=false", "-o", program, "ringtrack.example/ringtrack/cmd/ringtrack")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// crowdDuration is how long a crowd misbehaves in a test.
const crowdDuration = 4 * time.Second

// Clients that misbehave take neither the process over its memory limit nor other clients' answers.
func TestCrowdsNeitherExhaustMemoryNorDelayOtherClients(t *testing.T) {
	tests := []struct {
		name     string
		scenario Scenario
	}{
		{"heads of short fields without an end, 64 MB", Scenario{MemoryMB: 64, Crowds: []Crowd{{EndlessHead, 400}}}},
		{"heads of short fields without an end, 16 MB", Scenario{MemoryMB: 16, Crowds: []Crowd{{EndlessHead, 400}}}},
		{"heads of short fields at once, 32 MB", Scenario{MemoryMB: 32, Crowds: []Crowd{{EndlessHeadAtOnce, 250}}}},
		{"whole heads of short fields, 24 MB", Scenario{MemoryMB: 24, Crowds: []Crowd{{ShortFieldsWithoutBody, 400}}}},
		{"whole heads of long fields, 16 MB", Scenario{MemoryMB: 16, Crowds: []Crowd{{LongFieldsWithoutBody, 440}}}},
		{"trailers, 24 MB", Scenario{MemoryMB: 24, Crowds: []Crowd{{SlowTrailers, 400}}}},
		{"half bodies, 24 MB", Scenario{MemoryMB: 24, Crowds: []Crowd{{PartOfBody, 440}}}},
		{"half bodies, 16 MB", Scenario{MemoryMB: 16, Crowds: []Crowd{{PartOfBody, 440}}}},
		{"slow bodies, 32 MB", Scenario{MemoryMB: 32, Crowds: []Crowd{{SlowBody, 440}}}},
		{"slow readers, 16 MB", Scenario{MemoryMB: 16, Crowds: []Crowd{{SlowReader, 400}}}},
		{"all of them, and kills, 16 MB", Scenario{MemoryMB: 16, Kills: 2, Crowds: []Crowd{
			{EndlessHead, 80}, {ShortFieldsWithoutBody, 80}, {LongFieldsWithoutBody, 80}, {PartOfBody, 80}, {SlowReader, 80}}}},
		{"readiness, 6 connections", Scenario{MemoryMB: 64, Crowds: []Crowd{{ReadyFlood, 6}}}},
		{"readiness, 100 connections", Scenario{MemoryMB: 64, Crowds: []Crowd{{ReadyFlood, 100}}}},
		{"readiness, pipelined", Scenario{MemoryMB: 64, Crowds: []Crowd{{PipelinedReadyFlood, 6}}}},
		{"readiness, new connections", Scenario{MemoryMB: 64, Crowds: []Crowd{{ReadyOnNewConnections, 6}}}},
		{"small requests", Scenario{MemoryMB: 64, Crowds: []Crowd{{SmallRequestFlood, 6}}}},
		{"unsound requests", Scenario{MemoryMB: 64, Crowds: []Crowd{{UnsoundRequestFlood, 6}}}},
		{"expired requests", Scenario{MemoryMB: 64, Crowds: []Crowd{{ExpiredRequestFlood, 6}}}},
		{"Thrift messages of the wrong type", Scenario{MemoryMB: 64, Thrift: true, Crowds: []Crowd{{ThriftReplyFlood, 6}}}},
		{"Thrift calls of unknown methods", Scenario{MemoryMB: 64, Thrift: true, Crowds: []Crowd{{ThriftUnknownFlood, 6}}}},
		{"Thrift one-way calls of unknown methods", Scenario{MemoryMB: 64, Thrift: true, Crowds: []Crowd{{ThriftOnewayFlood, 6}}}},
		{"Thrift calls", Scenario{MemoryMB: 64, Thrift: true, Crowds: []Crowd{{ThriftCallFlood, 6}}}},
		{"Thrift, half messages, 24 MB", Scenario{MemoryMB: 24, Thrift: true, Crowds: []Crowd{{PartOfThriftMessage, 220}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := test.scenario
			s.Program = program
			s.Sockets = 1024
			s.Duration = crowdDuration
			s.Seed = 1
			result, err := Run(t.Context(), &s)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			for _, violation := range result.Violations() {
				t.Error(violation)
			}
		})
	}
}

// stopWithin is how long after a client has stopped in the middle of a request it has its error or close.
const stopWithin = 3 * time.Second

// A client that stops in the middle of its body gets an error or a close in time, however much it has sent before.
func TestSilentBodyEndsInTime(t *testing.T) {
	addr := startAgent(t, &Scenario{MemoryMB: 64, Sockets: 1024})
	for _, sent := range []int{0, 1, 32 << 10, 96 << 10, 900 << 10, 3 << 20} {
		t.Run(fmt.Sprintf("%d bytes", sent), func(t *testing.T) {
			t.Parallel()
			took, err := TimeToEnd(addr, sent, 2*stopWithin)
			if err != nil || took > stopWithin {
				t.Errorf("ended after %v, want %v: %v", took, stopWithin, err)
			}
		})
	}
}

// A request whose body waits for a server that reads slowly is answered in time after the client's last byte, though
// most of it lies in sockets by then. A client that is slow itself is served.
func TestAnswerComesInTimeThoughTheServerReadsSlowly(t *testing.T) {
	addr := startAgent(t, &Scenario{MemoryMB: 64, Sockets: 1024})
	for _, test := range []struct {
		name   string
		upload Upload
		served bool
	}{
		{"2 MB", Upload{Path: slowPath, Bytes: 2 << 20, Timeout: time.Second, Piece: 64 << 10}, false},
		{"4 MB", Upload{Path: slowPath, Bytes: 4 << 20, Timeout: time.Second, Piece: 64 << 10}, false},
		{"5 MB", Upload{Path: slowPath, Bytes: 5 << 20, Timeout: time.Second, Piece: 64 << 10}, false},
		{"16 MB", Upload{Path: slowPath, Bytes: 16 << 20, Timeout: time.Second, Piece: 64 << 10}, false},
		{"2 MB with time", Upload{Path: slowPath, Bytes: 2 << 20, Timeout: 8 * time.Second, Piece: 64 << 10}, true},
		{"slow client", Upload{Path: "/api/1", Bytes: 1200 << 10, Timeout: 500 * time.Millisecond, Piece: 200 << 10, Pause: time.Second}, true},
		{"fast client and server", Upload{Path: "/api/1", Bytes: 60 << 20, Timeout: 500 * time.Millisecond, Piece: 64 << 10}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			status, took, err := test.upload.Send(addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("answered %d %v after the last byte", status, took)
			if took > test.upload.Timeout+lateSlack || test.served != (status == http.StatusOK) {
				t.Errorf("answered %d %v after the last byte, served %v wanted", status, took, test.served)
			}
		})
	}
}

// killAfter is when SIGKILL may follow SIGTERM: the longest deadline of the settings, and 0.7 s.
const killAfter = time.Second + 700*time.Millisecond

// A process ends in time though hundreds of clients connect again as soon as their connections are closed.
func TestEndBesideClientsThatConnectAgain(t *testing.T) {
	a := startProcess(t, &Scenario{MemoryMB: 64, Sockets: 1024, Thrift: true})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for n := range 400 {
		target := Target{HTTP: a.addr, Thrift: a.thriftAddr}
		behavior := []Behavior{ShortFieldsWithoutBody, ReadyOnNewConnections, PartOfThriftMessage}[n%3]
		go misbehave(ctx, behavior, target, newRand(1, uint64(n)))
	}
	time.Sleep(time.Second)
	if took, ended := a.terminate(killAfter); !ended {
		t.Errorf("still running %v after SIGTERM", took)
	} else {
		t.Logf("ended %v after SIGTERM", took)
	}
}

// startAgent starts an agent without a crowd, until the test ends, and returns its address.
func startAgent(t *testing.T, s *Scenario) string {
	t.Helper()
	return startProcess(t, s).addr
}

// startProcess starts an agent without a crowd, until the test ends.
func startProcess(t *testing.T, s *Scenario) *agentProcess {
	t.Helper()
	s.Program = program
	w, err := newWorld(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	if err := w.agent.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.agent.stop)
	return w.agent
}

// The random crowds: by default a few, for a long run -args -crowds 50.
var (
	randomCrowds = flag.Int("crowds", 2, "number of runs with random crowds")
	firstSeed    = flag.Uint64("seed", 1, "seed of the first of them")
)

// Crowds of several kinds at once, drawn at random, cost no more than one.
func TestRandomCrowds(t *testing.T) {
	for n := range *randomCrowds {
		s := RandomScenario(*firstSeed + uint64(n))
		t.Run(fmt.Sprintf("seed %d", s.Seed), func(t *testing.T) {
			s.Program = program
			s.Duration = crowdDuration
			result, err := Run(t.Context(), s)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v, %d kills, crowds of %v", result, s.Kills, s.Sizes())
			for _, violation := range result.Violations() {
				t.Error(violation)
			}
		})
	}
}
