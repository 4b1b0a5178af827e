package pressure

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// ordersUntilTheKill are the loads of an end whose clients open no connection after maxNewConnTime.
func ordersUntilTheKill(timeout time.Duration) []Load {
	load := Load{PerSecond: 200, Timeout: timeout, NewConnPercent: 10, HangPercent: 6, NewConnTime: maxNewConnTime}
	thriftLoad := load
	thriftLoad.Thrift = true
	return []Load{load, thriftLoad}
}

// checkStall runs an end with one stall.
func checkStall(t *testing.T, deadline time.Duration, stall Stall, change func(load *Load)) {
	t.Helper()
	t.Parallel()
	loads := ordersUntilTheKill(deadline * 9 / 10)
	for i := range loads {
		change(&loads[i])
	}
	e := &End{
		Scenario: Scenario{Seed: 1, LongestDeadline: deadline, Thrift: true},
		Loads:    loads,
		Before:   beforeEnd,
	}
	if stall.For > 0 {
		e.Stalls = []Stall{stall}
	}
	checkEnd(t, e)
}

// promptClients changes nothing about a load.
func promptClients(*Load) {}

// slowClients makes some clients send the body of a request later than its head.
func slowClients(load *Load) {
	load.SlowSendPercent = 10
	load.SlowSendTime = maxSlowSendTime
}

// A process that is stopped from some moment of its end until SIGKILL leaves no request unanswered that came later than
// excusedTime after SIGTERM.
func TestStopUntilTheKillLosesNoRequest(t *testing.T) {
	for _, deadline := range endDeadlines {
		kill := deadline + killSlack
		for _, from := range []time.Duration{
			50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond,
			kill * 7 / 10, kill * 8 / 10, kill - 250*time.Millisecond, kill - 120*time.Millisecond,
		} {
			t.Run(fmt.Sprintf("deadline %v/from %v", deadline, from), func(t *testing.T) {
				checkStall(t, deadline, Stall{from, untilTheKill}, promptClients)
			})
		}
	}
}

// The same with clients that need up to 0.6 s to send a request.
func TestStopUntilTheKillBesideSlowClients(t *testing.T) {
	for _, from := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("from %v", from), func(t *testing.T) {
			checkStall(t, 1200*time.Millisecond, Stall{from, untilTheKill}, slowClients)
		})
	}
}

// Clients that need up to 2 s to send a request have an answer at an end, though they have not sent all of it.
func TestEndBesideSlowClients(t *testing.T) {
	for _, deadline := range endDeadlines {
		t.Run(deadline.String(), func(t *testing.T) {
			checkStall(t, deadline, Stall{}, func(load *Load) {
				load.SlowSendPercent = 30
				load.SlowSendTime = 2 * time.Second
			})
		})
	}
}

// A process that goes on before SIGKILL answers what came while it was stopped.
func TestStopThatEndsBeforeTheKillLosesNoRequest(t *testing.T) {
	const beforeKill = 100 * time.Millisecond
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, from := range []time.Duration{-100 * time.Millisecond, 0, 100 * time.Millisecond, 400 * time.Millisecond, 650 * time.Millisecond} {
			for _, length := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
				if from+length > deadline+killSlack-beforeKill {
					continue
				}
				t.Run(fmt.Sprintf("deadline %v/from %v/for %v", deadline, from, length), func(t *testing.T) {
					checkStall(t, deadline, Stall{from, length}, promptClients)
				})
			}
		}
	}
}

// Clients that send on without waiting for answers get one for each request, unless the end of their connection crosses it.
// One end at a time, as a client that gets no core notices an end late.
func TestEndBesidePipeliningClients(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, test := range []struct {
			name   string
			stalls []Stall
		}{
			{"no stop", nil},
			{"a stop at the drain's begin", []Stall{{0, 300 * time.Millisecond}}},
			{"a stop from 0.3 s on", []Stall{{300 * time.Millisecond, 300 * time.Millisecond}}},
			{"a stop until the kill", []Stall{{excusedTime, untilTheKill}}},
			{"a late stop until the kill", []Stall{{deadline + killSlack - 250*time.Millisecond, untilTheKill}}},
		} {
			t.Run(fmt.Sprintf("deadline %v/%s", deadline, test.name), func(t *testing.T) {
				checkEnd(t, &End{
					Scenario:   Scenario{Seed: 1, LongestDeadline: deadline, Thrift: true},
					Loads:      ordersUntilTheKill(deadline * 9 / 10),
					Stalls:     test.stalls,
					Before:     beforeEnd,
					Pipelining: true,
				})
			})
		}
	}
}

// A Thrift client that has read the last reply of its connection sends nothing more on it, though the process is stopped right
// behind the reply.
func TestStopBehindTheLastReply(t *testing.T) {
	const (
		stops    = 40
		atOnce   = 8
		deadline = 300 * time.Millisecond
	)
	var running errgroup.Group
	running.SetLimit(atOnce)
	for i := range stops {
		load := ordersUntilTheKill(deadline * 9 / 10)[1]
		load.PerSecond = 600
		load.HangPercent = 1
		e := &End{
			Scenario: Scenario{Program: program, Seed: uint64(i), LongestDeadline: deadline, Thrift: true, MemoryMB: 64, Sockets: 1024},
			Loads:    []Load{load},
			Stalls:   []Stall{{time.Duration(i) * 6 * time.Millisecond, 250 * time.Millisecond}},
			Before:   beforeEnd,
		}
		running.Go(func() error {
			result, err := RunEnd(t.Context(), e)
			if err != nil {
				return err
			}
			for _, violation := range result.Violations() {
				t.Errorf("stopped from %v on: %s", e.Stalls[0].At, violation)
			}
			return nil
		})
	}
	if err := running.Wait(); err != nil {
		t.Error(err)
	}
}

// A process that hands over to another one loses no request either, though clients open connections all the time.
func TestHandOverOfAStoppedProcess(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for _, stall := range []Stall{
			{}, {-100 * time.Millisecond, 400 * time.Millisecond}, {50 * time.Millisecond, untilTheKill}, {200 * time.Millisecond, untilTheKill},
			{400 * time.Millisecond, 300 * time.Millisecond}, {excusedTime, untilTheKill},
		} {
			t.Run(fmt.Sprintf("deadline %v/from %v for %v", deadline, stall.At, min(stall.For, deadline+killSlack)), func(t *testing.T) {
				t.Parallel()
				loads := ordersUntilTheKill(deadline * 9 / 10)
				for i := range loads {
					loads[i].NewConnTime = 0
				}
				e := &End{
					Scenario: Scenario{Seed: 1, LongestDeadline: deadline, Thrift: true},
					Loads:    loads,
					Before:   beforeEnd,
					HandOver: true,
				}
				if stall.For > 0 {
					e.Stalls = []Stall{stall}
				}
				checkEnd(t, e)
			})
		}
	}
}
